"""Tests for decoding the platform's JSON bodies."""

import json
import tracemalloc
import unittest

from trefoilgw.platform import configurations
from trefoilgw.platform import fields
from trefoilgw.platform import hosting
from trefoilgw.platform import reports
from trefoilgw.platform import submissions
from trefoilgw.platform import targets
from trefoilgw.work import core as work
from trefoilgw.work import requests

KEY = "5c0e7a21d94b36f8"
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "Nony24.example",
            "prefix": "/lohu930/",
            "kind": "unsafe",
            "timeoutMs": 1500,
            "targetLatencyMs": 60,
            "priority": 2,
            "service": "huvo11a",
            "maxAttempts": 3,
            "stretch": 1.6,
        }
    ],
    "services": [{"name": "huvo11a", "admissionCheck": True}],
    "limits": {"maxBodyBytes": 262144},
}
SETTINGS = {
    "node": "side-a-1",
    "serves": ["side"],
    "ip": "10.1.0.14",
    "zone": "za",
    "listen": {"control": "10.1.0.14:8166"},
    "portRange": [7720, 7735],
    "seeds": ["10.1.0.13:8166", "10.2.0.30:8166"],
    "bounds": {"maxHoldMs": 1000, "stopTimeoutMs": 50, "graceS": 6},
    "orders": "rpc",
    "app": "10.1.0.14:8165",
    "platform": {"address": "10.200.1.7:8169"},
    "somethingNew": 1,
}
REPORT = {
    "service": "huvo11a",
    "state": "ready",
    "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0},
    "seq": 4,
    "born": 1780926979642,
}


def encode_json(body, **changes):
    return json.dumps({**body, **changes}).encode()


def configuration():
    return configurations.decode(encode_json(CONFIGURATION))


def submission(steps, **changes):
    queue = configuration().queues[0]
    body = {"spec": "s", "steps": steps, "bestEffort": True, **changes}
    return submissions.decode(KEY, queue, json.dumps(body).encode())


class ConfigurationTest(unittest.TestCase):
    def test_decodes_queues(self):
        """A wrong unit would change every objective by a factor of 1000."""
        queue = work.Queue(
            "r-1", "nony24.example", "/lohu930/", "huvo11a", 2, 3, 1.6, 0.06
        )
        self.assertEqual((queue,), configuration().queues)

    def test_longest_prefix_wins(self):
        """One prefix may be the start of another."""
        long = {**CONFIGURATION["routes"][0], "prefix": "/lohu930/x/"}
        routes = [*CONFIGURATION["routes"], {**long, "name": "r-2"}]
        found = configurations.decode(encode_json(CONFIGURATION, routes=routes))
        route = found.route("nony24.example", "/lohu930/x/5")
        self.assertEqual("r-2", route.name)
        self.assertIsNone(found.route("other.example", "/lohu930/5"))

    def test_malformed_document_raises_field_error(self):
        """A partly decoded configuration must never come into force."""
        for data in (b"", b"[]", b"{}", encode_json(CONFIGURATION, routes=[1])):
            with (
                self.subTest(data=data),
                self.assertRaises(fields.FieldError),
            ):
                configurations.decode(data)


class SubmissionTest(unittest.TestCase):
    def test_decodes_tasks(self):
        """The target relies on the task names, the scheduler on the units."""
        step = {"count": 2, "cpu": 500, "memMb": 256, "estimateMs": 900}
        found = submission([step])
        names = [x.name for x in found.job.tasks]
        self.assertEqual([f"{KEY}.0.0.0", f"{KEY}.0.0.1"], names)
        task = found.job.tasks[0]
        self.assertEqual(work.Demand(500, 256, 0), task.demand)
        self.assertEqual(0.9, task.declared_s)

    def test_unknown_fields_are_ignored(self):
        """Newer writers may add fields."""
        found = submission([{"count": 1, "colour": "red"}], mood="good")
        self.assertIsInstance(found, requests.Submit)

    def test_rejects_malformed_submissions(self):
        """Invalid input must be refused instead of raising an error."""
        bad_steps = (
            [],
            [{"count": 0}],
            [{"count": 10_000}],
            [{"count": -1}],
            [{"count": 1, "cpu": -5}],
            [{"count": True}],
            [{"count": 1, "estimateMs": "long"}],
            [{"count": 1, "estimateMs": 10**400}],
            [{"count": 1, "cpu": 10**30}],
            [7],
            "none",
        )
        for steps in bad_steps:
            with self.subTest(steps=steps):
                self.assertIsInstance(submission(steps), requests.Malformed)
        queue = configuration().queues[0]
        surrogate = b'{"spec": "\\ud800", "steps": [{"count": 1}]}'
        for data in (
            b"",
            b"\xff",
            b"[]",
            b"{" * 100_000,
            b'{"spec": 1}',
            surrogate,
        ):
            with self.subTest(data=data[:20]):
                found = submissions.decode(KEY, queue, data)
                self.assertIsInstance(found, requests.Malformed)

    def test_rejects_a_large_payload(self):
        """The target does not accept a payload above the limit."""
        found = submission([{"count": 1}], spec="x" * 4001)
        self.assertIsInstance(found, requests.TooLarge)

    def test_rejects_unsupported_properties(self):
        """A job must not be accepted if a property would then be ignored."""
        cases = [
            ([{"count": 1}], {"bestEffort": False}),
            ([{"count": 1}], {"repeats": 3}),
        ]
        for name, value in {
            "after": [0],
            "gang": True,
            "requiredLabels": "a",
            "affinity": "r1-3",
            "antiAffinity": 2,
            "longRunning": True,
            "fills": True,
        }.items():
            cases.append(([{"count": 1, name: value}], {}))
        for steps, changes in cases:
            with self.subTest(steps=steps, changes=changes):
                found = submission(steps, **changes)
                self.assertIsInstance(found, requests.Unsupported)

    def test_rejects_queues_that_need_advice(self):
        """Targets refuse starts for such a queue unless they carry a ticket."""
        route = {**CONFIGURATION["routes"][0], "advice": {"decideMs": 5}}
        found = configurations.decode(
            encode_json(CONFIGURATION, routes=[route])
        )
        body = {"spec": "s", "steps": [{"count": 1}], "bestEffort": True}
        refused = submissions.decode(
            KEY, found.queues[0], json.dumps(body).encode()
        )
        self.assertEqual(requests.Unsupported("advice"), refused)


class ReportTest(unittest.TestCase):
    def test_decodes_a_target(self):
        """Capacity and start time of a target decide which tasks run there."""
        found = reports.decode("i-7", encode_json(REPORT))
        capacity = work.Demand(16000, 32768, 0)
        self.assertEqual(
            work.Target("i-7", 1780926979642, "huvo11a", capacity, False, 4),
            found,
        )
        draining = reports.decode("i-7", encode_json(REPORT, state="draining"))
        self.assertTrue(draining.draining)

    def test_decodes_how_long_a_target_stays_cold(self):
        """Full load on a cold target makes all of its runs late."""
        found = reports.decode("i-1", encode_json(REPORT, coldRemainingMs=1500))
        self.assertEqual(1.5, found.cold_s)

    def test_malformed_reports_raise_field_error(self):
        """Another program may send reports that are not valid."""
        for changes in (
            {"state": "napping"},
            {"seq": "4"},
            {"capacity": 5},
            {"service": None},
        ):
            with (
                self.subTest(changes=changes),
                self.assertRaises(fields.FieldError),
            ):
                reports.decode("i-7", encode_json(REPORT, **changes))

    def test_deregistration_names_the_life_that_ends(self):
        """A late one of an earlier life must not end the runs of this one."""
        self.assertEqual(7, reports.decode_leave(b'{"born": 7, "other": 1}'))
        self.assertEqual(0, reports.decode_leave(b""))
        with self.assertRaises(fields.FieldError):
            reports.decode_leave(b'{"born": -1}')


class SettingsTest(unittest.TestCase):
    def test_decodes_settings(self):
        """The settings file is the only source of these units and addresses."""
        found = hosting.decode(encode_json(SETTINGS))
        self.assertEqual("10.1.0.14:7720", found.stream_address)
        self.assertEqual(
            ("10.1.0.13:7720", "10.2.0.30:7720"), found.seed_streams()
        )
        self.assertEqual(1.0, found.lease_limit_s)
        self.assertEqual("10.1.0.14:8166", found.reports_address)
        self.assertEqual((), found.unsupported)

    def test_processors_are_the_share_of_a_faster_core(self):
        """`cores` is a speed: the process uses one core at a time."""
        for limits, processors in (
            ({"cpuShare": 0.717, "cores": 3}, 2.151),
            ({"cpuShare": 0.645}, 0.645),
            ({}, 1.0),
            (None, 1.0),
        ):
            found = hosting.decode(encode_json(SETTINGS, limits=limits))
            self.assertAlmostEqual(processors, found.processors)

    def test_odd_processors_do_not_stop_the_process(self):
        """Only the selection of streams depends on them."""
        for limits in (
            {"cpuShare": -1.0},
            {"cpuShare": "much"},
            {"cpuShare": 0.5, "cores": []},
            {"cpuShare": True},
        ):
            found = hosting.decode(encode_json(SETTINGS, limits=limits))
            self.assertEqual(0.0, found.processors)

    def test_evacuations_only_where_the_settings_ask_for_them(self):
        """Other deployments keep their calls and messages."""
        self.assertFalse(
            hosting.decode(encode_json(SETTINGS)).follows_evacuations
        )
        bounds = {**SETTINGS["bounds"], "evacuateMs": 5000}
        for changes in ({"bounds": bounds}, {"contracts": ["base", "places"]}):
            with self.subTest(changes=changes):
                found = hosting.decode(encode_json(SETTINGS, **changes))
                self.assertTrue(found.follows_evacuations)

    def test_decodes_the_failure_domains(self):
        """An evacuation of another one is most likely misspelled."""
        zones = {"scl-a": "scl", "scl-b": "scl"}
        found = hosting.decode(encode_json(SETTINGS, zones=zones))
        self.assertEqual({"scl-a", "scl-b"}, found.domains)

    def test_limits_of_the_host(self):
        """What callers may hold follows from them."""
        limits = {"cpuShare": 0.5, "memoryMb": 200.5, "maxFds": 4100}
        found = hosting.decode(encode_json(SETTINGS, limits=limits))
        self.assertEqual(200 * 2**20 + 2**19, found.memory_limit_bytes)
        self.assertEqual(4100, found.descriptor_limit)
        for limits in (None, {}, {"memoryMb": 0, "maxFds": 0}):
            with self.subTest(limits=limits):
                found = hosting.decode(encode_json(SETTINGS, limits=limits))
                self.assertEqual(160 * 2**20, found.memory_limit_bytes)
                self.assertEqual(4096, found.descriptor_limit)

    def test_lists_unsupported_settings(self):
        """A process must not start with settings that it can't honor."""
        found = hosting.decode(encode_json(SETTINGS, orders="heartbeat"))
        self.assertEqual(1, len(found.unsupported))


class HoldTest(unittest.TestCase):
    def test_decodes_running_and_ended_runs(self):
        """Scheduling relies on the progress, which is the fourth column."""
        body = {
            "clockMs": 482113,
            "born": 17,
            "running": [["t.0.0.1", 2, "", 41, 1500]],
            "finished": [
                [58, "t.0.0.9", 1, "done", ""],
                [59, "t.0.0.8", 1, "lapsed", ""],
            ],
        }
        listing = targets.decode_hold(fields.Fields(body))
        self.assertEqual(482.113, listing.clock_s)
        self.assertEqual({("t.0.0.1", 2): 0.41}, listing.running)
        self.assertEqual(
            [(58, work.Ending.DONE), (59, work.Ending.LOST)],
            [(x.number, x.ending) for x in listing.ended],
        )

    def test_malformed_rows_raise_field_error(self):
        """A misread end could be confirmed and then be lost."""
        for row in ([1], [1, "t", 1, "vanished", ""], "x"):
            body = {"clockMs": 1, "finished": [row]}
            with self.subTest(row=row), self.assertRaises(fields.FieldError):
                targets.decode_hold(fields.Fields(body))


class DecodedSizeTest(unittest.TestCase):
    def test_estimate_is_an_upper_bound(self):
        """A body of 1 MB took up to 40 MB while it was decoded."""
        count = 20_000
        values = {
            "objects": b"{}",
            "objects in objects": b'{"":{}}',
            "keys": b'{"a":0,"b":1}',
            "arrays": b"[]",
            "arrays of one": b"[0]",
            "numbers": b"-6",
            "large numbers": b"257",
            "floats": b"1e9",
            "wide texts": b'"\xc4\x81"',
            "very wide texts": b'"\xf0\x9f\x98\x80"',
            "escaped texts": b'"\\ud83d\\ude00aaaaaaaaaaaa"',
        }
        bodies = {
            name: b'{"a":[' + b",".join([value] * count) + b"]}"
            for name, value in values.items()
        }
        bodies["different keys"] = json.dumps(
            {f"{x:x}": -x for x in range(count)}
        ).encode()
        bodies["one text"] = b'{"a":"' + b"a" * 500_000 + b'"}'
        bodies["one wide text"] = (
            b'{"a":"\xf0\x9f\x98\x80' + b"a" * 500_000 + b'"}'
        )
        for name, data in bodies.items():
            with self.subTest(name):
                tracemalloc.start()
                fields.parse(data)
                _, peak_bytes = tracemalloc.get_traced_memory()
                tracemalloc.stop()
                estimate_bytes = fields.estimate_decoded_bytes(data)
                self.assertGreaterEqual(estimate_bytes, peak_bytes)
                with self.assertRaises(fields.FieldError):
                    fields.parse(data, estimate_bytes - 1)

    def test_large_legal_body_is_decoded(self):
        """The bound must not refuse a job that the pages allow."""
        steps = [
            {
                "count": 1,
                "cpu": 500,
                "memMb": 256,
                "gpu": 1,
                "estimateMs": 900,
                "checkpointing": True,
                "image": "some-image-name",
                "allowDuplicates": True,
                "other": list(range(200)),
            }
            for _ in range(submissions.MAX_TASKS)
        ]
        body = {"spec": "{" * 4000, "steps": steps, "bestEffort": True}
        data = json.dumps(body).encode()
        self.assertGreater(len(data), 1_000_000)
        configuration = configurations.decode(encode_json(CONFIGURATION))
        queue = configuration.queues[0]
        found = submissions.decode(KEY, queue, data, None, 33 * 1024 * 1024)
        self.assertIsInstance(found, requests.Submit)
        self.assertGreater(submissions.job_bytes(found.job), 600_000)

    def test_body_with_too_many_values_is_malformed(self):
        """A refusal must name the cause, and nothing may be decoded."""
        configuration = configurations.decode(encode_json(CONFIGURATION))
        queue = configuration.queues[0]
        data = b'{"spec":"a","steps":[' + b"{}," * 10_000 + b"{}]}"
        found = submissions.decode(KEY, queue, data, None, 1_000_000)
        self.assertIsInstance(found, requests.Malformed)
        self.assertIn("bytes of memory", found.detail)

    def test_reports_are_bounded_as_well(self):
        """A report may have 4 MiB, which took 160 MB decoded."""
        data = encode_json(REPORT, labels=[{}] * 10_000)
        with self.assertRaises(fields.FieldError):
            reports.decode("i", data, 1_000_000)
        with self.assertRaises(fields.FieldError):
            reports.decode_leave(data, 1_000_000)
        self.assertEqual("i", reports.decode("i", data, 10**8).instance)


if __name__ == "__main__":
    unittest.main()
