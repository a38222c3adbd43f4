"""Tests of loading valid and invalid settings files."""

import pathlib
import tempfile
import unittest

from trefoilgw.settings import core as settings

KEY = "00112233445566778899aabbccddeeff"
ENTRY = f"""\
http_address = "127.0.0.1:0"
stream_address = "10.0.0.1:7000"
admin_address = "10.0.0.1:7001"
domain = "tx-1"
platform_address = "10.0.9.1:2379"
stream_key = "{KEY}"
"""
AGENT = f"""\
name = "worker-01"
domain = "scl-2"
target_address = "127.0.0.1:9000"
services = ["proofs"]
entries = ["10.0.0.1:7000"]
stream_key = "{KEY}"
"""
OPERATOR = """\
platform_address = "10.0.9.1:2379"
author = "Ana"
"""

# Case: (loader, base text, replaced text, new text, line, part of the text).
INVALID_FILES = {
    "syntax error": (
        "entry",
        'domain = "tx-1"',
        "domain = = 1",
        4,
        "not valid TOML",
    ),
    "key twice": ("operator", "author", "platform_address", 2, "TOML"),
    "unterminated string": ("operator", '"Ana"', '"Ana', 2, "not valid TOML"),
    "unknown key": ("entry", "domain", "domian = 1\ndomain", 4, "'domain'?"),
    "unknown table": ("operator", "author", '[log]\na="b"\nx', 2, "'log'"),
    "type": ("entry", '"tx-1"', "7", 4, "domain must be a string, not an int"),
    "boolean slots": ("agent", "domain", "slots = true\ndomain", 2, "boolean"),
    "float slots": ("agent", "domain", "slots = 8.0\ndomain", 2, "a float"),
    "date": ("operator", '"Ana"', "2026-01-01", 2, "not a date"),
    "slots range": ("agent", "domain", "slots = 0\ndomain", 2, "1 to 1024"),
    "connections": ("agent", "domain", "connections = 7\ndomain", 2, "(8)"),
    "host name": ("entry", "10.0.9.1", "kv.example", 5, "IPv4"),
    "no port": ("entry", "10.0.9.1:2379", "10.0.9.1", 5, "IPv4"),
    "empty port": ("entry", "10.0.9.1:2379", "10.0.9.1:", 5, "port number"),
    "signed port": ("entry", "9.1:2379", "9.1:+1", 5, "port number"),
    "large port": ("entry", "9.1:2379", "9.1:70000", 5, "1 to 65535"),
    "port 0 to connect to": ("entry", "9.1:2379", "9.1:0", 5, "1 to 65535"),
    "octet above 255": ("entry", "10.0.9.1", "10.0.9.256", 5, "IPv4"),
    "wildcard": ("entry", "10.0.0.1:7000", "0.0.0.0:7000", 2, "own IP number"),
    "short key": ("entry", KEY, "ab" * 15, 6, "32 to 256"),
    "key not hex": ("entry", KEY, "x" * 32, 6, "hex digits"),
    "name": ("agent", "worker-01", "Worker 1", 1, "lower case"),
    "long name": ("agent", "worker-01", "a" * 64, 1, "63"),
    "no services": ("agent", '["proofs"]', "[]", 4, "1 to 256"),
    "not a list": ("agent", '["proofs"]', '"proofs"', 4, "an array"),
    "service twice": ("agent", '["proofs"]', '["a",\n"a"]', 5, "twice"),
    "invalid element": (
        "agent",
        '["10.0.0.1:7000"]',
        '[ # seeds, "quoted"\n  "10.0.0.1:1",\n\n  "x"\n]',
        8,
        "IPv4",
    ),
    "blank author": ("operator", "Ana", "  ", 2, "1 to 100"),
    "author of two lines": ("operator", '"Ana"', r'"a\nb"', 2, "printable"),
}
BASES = {
    "entry": (settings.load_entry, ENTRY),
    "agent": (settings.load_agent, AGENT),
    "operator": (settings.load_operator, OPERATOR),
}


class LoadTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "x.toml"

    def load(self, role, text):
        self.path.write_bytes(
            text if isinstance(text, bytes) else text.encode()
        )
        return BASES[role][0](self.path)

    def test_valid_files(self):
        entry = self.load("entry", ENTRY + 'peers = ["10.0.0.2:7000"]\n')
        self.assertEqual(("10.0.0.2:7000",), entry.peers)
        agent = self.load("agent", AGENT)
        self.assertEqual((8, 64, ""), self.values_with_defaults(agent))
        self.assertEqual(("proofs",), agent.services)
        operator = self.load("operator", OPERATOR)
        self.assertEqual("Ana", operator.author)

    @staticmethod
    def values_with_defaults(agent):
        return agent.slots, agent.connections, agent.admin_address

    def test_each_invalid_value_is_reported_at_its_line(self):
        """An invalid value that passes can cause an outage.

        A finding at the wrong line delays the correction.
        """
        for case, (role, old, new, line, text) in INVALID_FILES.items():
            with self.subTest(case):
                self.assertIn(old, BASES[role][1])
                found = self.load(role, BASES[role][1].replace(old, new, 1))
                place = f"{self.path}:{line}"
                matches = [item for item in found if text in item.text]
                self.assertEqual([place], [item.place for item in matches])

    def test_all_faults_are_reported_together(self):
        """An operator must not discover the next fault at the next start."""
        text = (
            'http_address = "x"\nstream_address = 1\nadmin_address = ""\n'
            'domain = "-"\nplatform_address = []\nstream_key = "ab"\n'
            'peers = ["a",\n"10.0.0.1:70000"]\nport = 3\n'
        )
        found = self.load("entry", text)
        lines = [int(item.place.rsplit(":", 1)[1]) for item in found]
        self.assertEqual([1, 2, 3, 4, 5, 6, 7, 8, 9], lines)

    def test_every_missing_key_is_reported(self):
        """A missing key must not cause a crash when it is first used."""
        for role, count in {"entry": 6, "agent": 6, "operator": 2}.items():
            with self.subTest(role):
                found = self.load(role, "")
                missing = [item for item in found if "missing" in item.text]
                self.assertEqual(count, len(missing))

    def test_unreadable_files(self):
        cases = {
            "not UTF-8": (b'author = "a"\n\xff', 2),
            "larger": (b"#" * (settings.MAX_FILE_BYTES + 1), 1),
        }
        for text, (data, line) in cases.items():
            with self.subTest(text):
                (finding,) = self.load("operator", data)
                self.assertIn(text, finding.text)
                self.assertEqual(f"{self.path}:{line}", finding.place)
        (finding,) = settings.load_operator(self.path.with_name("none"))
        self.assertIn("can't read", finding.text)

    def test_key_is_not_shown(self):
        """The shared key is a secret: findings and logs must not contain it."""
        entry = self.load("entry", ENTRY)
        self.assertNotIn(KEY, repr(entry))
        for bad in (KEY + "zz", KEY + "0", KEY * 9):
            found = self.load("entry", ENTRY.replace(KEY, bad))
            self.assertEqual(1, len(found))
            self.assertNotIn(KEY, found[0].text)


if __name__ == "__main__":
    unittest.main()
