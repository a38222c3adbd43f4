"""Tests of the decoding of configuration files with places."""

import json
import unittest

from trefoilgw.platform import configuration_files
from trefoilgw.platform import configurations

DOCUMENT = {
    "version": 7,
    "routes": [
        {
            "name": "r-a",
            "host": "A.example",
            "prefix": "/a/",
            "kind": "unsafe",
            "timeoutMs": 1608,
            "targetLatencyMs": 64,
            "priority": 0,
            "service": "s",
            "maxAttempts": 3,
            "stretch": 1.6,
        }
    ],
    "services": [{"name": "s", "maxConns": 64, "standby": False}],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 262144,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
}


def encode(document):
    return json.dumps(document, indent=2).encode()


class ConfigurationFilesTest(unittest.TestCase):
    def decode(self, data):
        return configuration_files.decode(data, "new.json")

    def test_agrees_with_the_programs(self):
        """A check that reads a file in another way proves nothing."""
        document = self.decode(encode(DOCUMENT)).document
        in_force = configurations.decode(encode(DOCUMENT))
        self.assertEqual(in_force.version, document.version)
        self.assertEqual(
            in_force.queues, tuple(x.queue for x in document.queues)
        )
        self.assertEqual(
            in_force.services, frozenset(x.name for x in document.services)
        )
        self.assertEqual(in_force.body_limit_bytes, document.limits.body_bytes)
        self.assertEqual(1.608, document.queues[0].timeout_s)
        self.assertEqual(15.0, document.limits.idle_timeout_s)

    def test_places_name_line_and_field(self):
        place = self.decode(encode(DOCUMENT)).document.queues[0].place
        self.assertEqual("new.json:4 routes[0]", place.record)
        self.assertEqual("new.json:7 routes[0].prefix", place.of("prefix"))
        self.assertEqual(place.record, place.of("unknown"))

    def test_tabs_do_not_hide_the_lines(self):
        data = json.dumps(DOCUMENT, indent="\t").encode()
        place = self.decode(data).document.queues[0].place
        self.assertEqual("new.json:7 routes[0].prefix", place.of("prefix"))

    def test_all_malformed_fields_are_found(self):
        """An operator corrects a file in one pass."""
        broken = {
            **DOCUMENT,
            "version": "7",
            "routes": [
                {**DOCUMENT["routes"][0], "prefix": 1, "stretch": -1},
                3,
            ],
            "limits": {"maxBodyBytes": 1.5},
        }
        file = self.decode(encode(broken))
        self.assertIsNone(file.document)
        self.assertEqual(
            [
                ("new.json:2", "version has the wrong type"),
                ("new.json:7", "routes[0].prefix has the wrong type"),
                ("new.json:14", "routes[0].stretch is out of range"),
                ("new.json:16", "routes[1] is not an object"),
                ("new.json:26", "limits.maxBodyBytes has the wrong type"),
            ],
            [(x.place, x.text) for x in file.faults],
        )

    def test_missing_fields_name_their_record(self):
        route = dict(DOCUMENT["routes"][0])
        del route["service"]
        file = self.decode(encode({**DOCUMENT, "routes": [route]}))
        self.assertEqual("new.json:4", file.faults[0].place)
        self.assertIn("routes[0].service is missing", file.faults[0].text)

    def test_what_is_no_json_object(self):
        """The line of a syntax error is where an editor must go."""
        cases = (
            (b'{\n"version": 7,\n}', "new.json:3", "not JSON"),
            (b"[1]", "new.json", "not a JSON object"),
            (b"\xff", "new.json", "not JSON"),
            (b"[" * 100_000, "new.json", "not JSON"),
        )
        for data, place, text in cases:
            with self.subTest(data[:20]):
                (fault,) = self.decode(data).faults
                self.assertEqual(place, fault.place)
                self.assertIn(text, fault.text)


if __name__ == "__main__":
    unittest.main()
