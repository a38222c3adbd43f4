"""Tests of the log lines of a runner."""

import json
import unittest
from unittest import mock

import attrs
import eventlet

from trefoilgw.evacuation import log_lines
from trefoilgw.messages import runs
from trefoilgw.platform import hosting
from trefoilgw.platform.tests import test_decoding
from trefoilgw.processes import performing
from trefoilgw.room.tests import fixtures
from trefoilgw.room.tests.fixtures import A
from trefoilgw.runner import driving
from trefoilgw.runner import links
from trefoilgw.runner import program
from trefoilgw.timers import clock
from trefoilgw.work import core as work


class EndTest(unittest.TestCase):
    def test_end_that_is_sent_again_is_logged_once(self):
        """A second line would look like another run."""
        document = json.dumps(test_decoding.SETTINGS).encode()
        runner = program.Runner(hosting.decode(document))
        allocator = runner.allocator = fixtures.make_allocator(A)
        fixtures.start_confirmed(allocator, A, "j.0.0.0")
        allocator.run_ended("j.0.0.0", 1, work.Ending.FAILED, 0.5)
        with self.assertLogs(program.log, "INFO") as logged:
            runner.flush()
            allocator.owner_connected(A, 0.6)
            runner.flush()
        self.assertEqual(["run ended"], [x.msg for x in logged.records])
        self.assertEqual(1, sum(runner.counts.ended.values.values()))


class UnexpectedErrorTest(unittest.TestCase):
    def test_one_action_that_fails_loses_no_other(self):
        """A start that is never sent would use its room for ever."""
        document = json.dumps(test_decoding.SETTINGS).encode()
        runner = program.Runner(hosting.decode(document))
        allocator = runner.allocator = fixtures.make_allocator(A)
        started = []
        fixtures.start_confirmed(allocator, A, "j.0.0.0")
        allocator.run_ended("j.0.0.0", 1, work.Ending.FAILED, 0.5)
        orders = tuple(fixtures.make_order(f"k.0.0.{x}") for x in range(2))
        groups = (runs.RunGroup("p", orders),)
        allocator.start_runs(A, runs.StartRuns(0, groups), 0.5)
        stream = mock.Mock()
        stream.send.side_effect = ValueError
        runner.links.links["s1"] = links.Link("s1", 0.0, A, stream)
        start = mock.patch.object(
            driving.TargetDriver,
            "start",
            lambda _, task, *__: started.append(task),
        )
        with start, self.assertLogs(performing.log, "ERROR") as logged:
            runner.flush()
            eventlet.sleep(0.0)
        # The end of the run goes out again on the next stream.
        stream.close.assert_called()
        self.assertEqual({"action failed"}, {x.msg for x in logged.records})
        self.assertEqual(["k.0.0.0", "k.0.0.1"], started)


class EvacuationTest(unittest.TestCase):
    def setUp(self):
        document = json.dumps(test_decoding.SETTINGS).encode()
        self.runner = program.Runner(hosting.decode(document))
        self.allocator = self.runner.allocator = fixtures.make_allocator(A)
        self.own = self.runner.settings.domain

    def push(self, revision, *domains, origin="10.1.0.13:7720"):
        """Has a scheduler push a set of evacuated domains."""
        link = links.Link(origin, 0.0, A)
        message = runs.EvacuationPush(revision, domains)
        self.runner.links._handle(link, message)

    def test_obeys_the_set_of_the_highest_revision(self):
        """A scheduler that was cut off would undo the evacuation."""
        with self.assertLogs(log_lines.log) as logged:
            self.push(7, self.own, "other")
            self.push(5)
            self.assertTrue(self.allocator.evacuated)
            self.push(7)
            self.assertTrue(self.allocator.evacuated)
            self.push(8, "other")
        self.assertFalse(self.allocator.evacuated)
        self.assertEqual(
            [
                ("domain evacuated", "other", 7),
                ("domain evacuated", self.own, 7),
                ("domain taken back", self.own, 8),
            ],
            [(x.msg, x.domain, x.revision) for x in logged.records],
        )
        self.assertEqual({"10.1.0.13:7720"}, {x.origin for x in logged.records})

    def test_another_domain_changes_nothing(self):
        """Only the target's own domain decides."""
        self.push(7, "other")
        self.assertFalse(self.allocator.evacuated)
        self.assertTrue(self.allocator.usable)

    def test_schedulers_learn_at_once(self):
        """Until then they send orders that are refused."""
        with mock.patch.object(links.Links, "send") as send:
            self.runner.flush()
            send.reset_mock()
            self.push(7, self.own)
        reports = [call.args[1] for call in send.call_args_list]
        self.assertEqual([False], [x.usable for x in reports])

    def test_report_of_a_cold_target_limits_it_after_an_evacuation(self):
        """Its report arrives before or while the domain is evacuated."""
        self.push(7, self.own)
        target = fixtures.make_target(sequence=2)
        self.runner._target_reported(attrs.evolve(target, cold_s=60.0))
        self.push(8)
        self.assertLess(self.allocator.free().cpu_millicores, 2000)
        # A late report of an earlier sequence does not count.
        self.runner._target_reported(fixtures.make_target(sequence=1))
        self.allocator.tick(clock.boottime())
        self.assertLess(self.allocator.free().cpu_millicores, 2000)
        self.runner._target_reported(fixtures.make_target(sequence=3))
        self.allocator.tick(clock.boottime())
        self.assertEqual(4000, self.allocator.free().cpu_millicores)


if __name__ == "__main__":
    unittest.main()
