"""Tests of the checks of a configuration."""

import unittest

import attrs

from trefoilgw.configcheck import core
from trefoilgw.work import core as work

HERE = core.Place("record", {"prefix": "prefix", "version": "version"})


def make_queue(name="fast", host="a.example", prefix="/a/", **fields):
    timeout_s = fields.pop("timeout_s", 1.5)
    values = {
        "service": "s",
        "priority": 0,
        "attempts_limit": 2,
        "stretch": 1.6,
        "latency_s": 0.06,
        **fields,
    }
    queue = work.Queue(name=name, host=host, prefix=prefix, **values)
    return core.QueueEntry(queue, timeout_s, HERE)


def make_service(name="s", connections_limit=64, standby=False):
    return core.ServiceEntry(name, connections_limit, standby, HERE)


SERVICES = (make_service(),)
LIMITS = core.RequestLimits(16384, 262144, 3.0, 15.0, HERE)


def make_document(*queues, services=SERVICES, limits=LIMITS):
    return core.Document(8, queues, services, limits, HERE)


class CheckTest(unittest.TestCase):
    def check(self, *queues, environment=None, **fields):
        return core.check(
            make_document(*queues, **fields),
            environment or core.Environment(payload_limit_bytes=4000),
        )

    def assert_errors(self, result, *parts):
        texts = [x.text for x in result.errors]
        self.assertEqual(len(parts), len(texts), texts)
        for part, text in zip(parts, texts, strict=True):
            self.assertIn(part, text)

    def test_sound_document_has_no_findings(self):
        """A check that finds fault with a sound file is soon ignored."""
        result = self.check(
            make_queue(), make_queue("slow", prefix="/b/", stretch=3.0)
        )
        self.assertEqual(core.Result(), result)

    def test_queues_that_no_request_matches(self):
        """Such a queue is in force, and all its callers are refused."""
        cases = (
            ({"prefix": "a/"}, "begin with a slash"),
            ({"prefix": "/a?x="}, "holds no '?'"),
            ({"prefix": "/a b/"}, "holds no ' '"),
            ({"host": ""}, "no host name"),
            ({"host": "a.example:80"}, "without a port"),
        )
        for fields, text in cases:
            with self.subTest(fields):
                self.assert_errors(self.check(make_queue(**fields)), text)

    def test_second_queue_of_a_prefix_is_shadowed(self):
        """The first of two queues with one prefix gets all requests."""
        result = self.check(make_queue(), make_queue("copy"))
        self.assert_errors(result, "queue 'fast' has the same host and prefix")
        self.assertEqual("prefix", result.errors[0].place)

    def test_same_prefix_at_another_host_is_sound(self):
        result = self.check(make_queue(), make_queue("b", host="b.example"))
        self.assertEqual(core.Result(), result)

    def test_longer_prefix_that_takes_some_keys(self):
        """Jobs whose keys begin with the digits would be refused."""
        result = self.check(make_queue(), make_queue("b", prefix="/a/0f"))
        self.assertEqual((), result.errors)
        self.assertIn("keys begin with '0f'", result.warnings[0].text)
        nested = self.check(make_queue(), make_queue("b", prefix="/a/0f/"))
        self.assertEqual(core.Result(), nested)

    def test_repeated_names(self):
        result = self.check(
            make_queue(),
            make_queue(prefix="/b/"),
            services=(make_service(), make_service()),
        )
        self.assert_errors(
            result, "queue 'fast' is also", "service 's' is also"
        )

    def test_services_that_are_missing_off_or_unused(self):
        """Jobs of a queue without targets are all rejected."""
        self.assert_errors(
            self.check(make_queue(service="t")), "'t', which is not defined"
        )
        off = (make_service(standby=True),)
        self.assert_errors(
            self.check(make_queue(), services=off), "are switched off"
        )
        unused = (make_service(), make_service("t"))
        result = self.check(make_queue(), services=unused)
        self.assertEqual((), result.errors)
        self.assertIn("no queue uses", result.warnings[0].text)

    def test_objectives_that_no_job_meets(self):
        self.assert_errors(self.check(make_queue(stretch=0.5)), "least is 1")
        self.assert_errors(
            self.check(make_queue(latency_s=1.5)), "ends requests after 1.5 s"
        )
        self.assertEqual(core.Result(), self.check(make_queue(timeout_s=0.0)))

    def test_limits_that_contradict_each_other(self):
        """A body limit below the longest payload refuses legal jobs."""
        small = attrs.evolve(LIMITS, body_bytes=4000, head_bytes=0)
        self.assert_errors(
            self.check(make_queue(), limits=small),
            "can't hold the longest payload",
            "no request is served",
        )
        hasty = attrs.evolve(LIMITS, idle_timeout_s=1.0)
        result = self.check(make_queue(), limits=hasty)
        self.assertIn("sooner than", result.warnings[0].text)

    def test_limits_above_what_targets_accept(self):
        environment = core.Environment(target_connections=32)
        self.assert_errors(
            self.check(make_queue(), environment=environment),
            "64 connections to a target, which accepts 32",
        )
        none = (make_service(connections_limit=0),)
        self.assert_errors(
            self.check(make_queue(), services=none), "allows no connection"
        )

    def test_version_that_would_be_ignored(self):
        """Schedulers ignore a version that is not above the one in force."""
        environment = core.Environment(version_in_force=8)
        result = self.check(make_queue(), environment=environment)
        self.assert_errors(result, "would be ignored")
        self.assertEqual("version", result.errors[0].place)

    def test_unsupported_features_are_warnings(self):
        result = self.check(make_queue(unsupported="advice"))
        self.assertEqual((), result.errors)
        self.assertIn("not implemented", result.warnings[0].text)


if __name__ == "__main__":
    unittest.main()
