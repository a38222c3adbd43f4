"""Tests of callers that leave in a pause, and of the lines of repeats."""

import json
import logging
import types
import unittest
from unittest import mock

import attrs
import eventlet

from trefoilgw.messages import runs
from trefoilgw.platform import callers
from trefoilgw.platform import hosting
from trefoilgw.platform.tests import test_decoding
from trefoilgw.scheduler import decision_log
from trefoilgw.scheduler import program
from trefoilgw.scheduling import actions
from trefoilgw.scheduling import jobs
from trefoilgw.scheduling.tests import fixtures
from trefoilgw.work import core as work

# Events that tell of an attempt that did not do its task.
REPEAT_EVENTS = ("task repeated", "run not done")


class FakeCaller:
    """A caller whose disconnection the event loop has not reported yet.

    Attributes:
        gone: Whether it has closed its connection.
    """

    def __init__(self, gone=False):
        self.gone = gone
        self.connection = callers.Connection(
            lambda callback: None, lambda: self.gone
        )


def make_program(**changes):
    """Returns a scheduler program, not started, with one usable runner.

    Args:
        **changes: Fields of the settings that differ.
    """
    document = {
        **test_decoding.SETTINGS,
        "serves": ["front"],
        "listen": {"front": "127.0.0.1:1", "ready": "127.0.0.1:2"},
        **changes,
    }
    parts = program.Program(hosting.decode(json.dumps(document).encode()))
    parts.configuration_watcher.current = types.SimpleNamespace(version=1)
    fixtures.connect_runner(parts.scheduler, "r1")
    return parts


class PauseTest(unittest.TestCase):
    def test_job_of_a_caller_that_has_left_is_not_admitted(self):
        """Such a caller has sent its job to another scheduler.

        After a pause, requests are read that waited to be accepted. Their
        tasks ran beside those of the second submission.
        """
        parts = make_program()
        caller = FakeCaller(gone=True)
        self.assertIsNone(parts.submit(fixtures.job("j"), caller.connection))
        self.assertEqual({}, parts.scheduler.admitted)

    def test_jobs_of_callers_that_left_in_a_pause_are_cancelled_at_once(self):
        """The next tick could place their tasks again before.

        It ran before the event loop had reported the closed connections if
        handling the requests that had arrived took longer than a tick.
        """
        parts = make_program()
        leaving, staying = FakeCaller(), FakeCaller()
        for key, caller in (("left", leaving), ("stays", staying)):
            eventlet.spawn(parts.submit, fixtures.job(key), caller.connection)
        eventlet.sleep(0.0)
        self.assertEqual({"left", "stays"}, parts.scheduler.admitted.keys())
        leaving.gone = True
        parts.drop_closed_callers(2.4)
        self.assertEqual({"stays"}, parts.scheduler.admitted.keys())


class BrokenError(Exception):
    """Stands for any error of the program."""


class UnexpectedErrorTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.parts = make_program()

    def test_one_action_that_fails_loses_no_other(self):
        """An order that is never sent leaves its task waiting for ever."""
        outcomes = []
        for key in ("j", "k"):
            caller = FakeCaller().connection
            eventlet.spawn(
                lambda *args: outcomes.append(self.parts.submit(*args)),
                fixtures.job(key),
                caller,
            )
        eventlet.sleep(0.0)
        broken = mock.patch.object(
            decision_log, "log_job_ended", side_effect=[BrokenError, None]
        )
        for task in ("j.0.0.0", "k.0.0.0"):
            run = self.parts.scheduler.admitted[task[0]].tasks[0].run
            ended = runs.RunEnded(task, run, "done", "", 0.4, "ended")
            self.parts.scheduler.run_ended("r1", ended, 0.5)
        with broken:
            self.parts.flush()
        eventlet.sleep(0.0)
        self.assertEqual([actions.Completed()] * 2, outcomes)
        self.assertEqual({}, self.parts.waiters)

    def test_stream_that_has_lost_an_order_is_closed(self):
        """The runner tells on the next one that it does not have it."""
        stream = mock.Mock()
        stream.send.side_effect = BrokenError
        self.parts.clients.runners["r1"] = stream
        self.parts.scheduler.submit(fixtures.job("j"), 1, 0.0)
        self.parts.flush()
        stream.close.assert_called_once()

    def test_job_without_a_caller_is_cancelled(self):
        """Its caller got an error and may submit it elsewhere."""
        caller = FakeCaller().connection
        caller = attrs.evolve(caller, watch=mock.Mock(side_effect=BrokenError))
        with self.assertRaises(BrokenError):
            self.parts.submit(fixtures.job("j"), caller)
        self.assertEqual({}, self.parts.scheduler.admitted)
        self.assertEqual({}, self.parts.waiters)

    def test_second_caller_keeps_the_job(self):
        """It submitted the same job and still waits for it."""
        eventlet.spawn(
            self.parts.submit, fixtures.job("j"), FakeCaller().connection
        )
        eventlet.sleep(0.0)
        broken = attrs.evolve(
            FakeCaller().connection, watch=mock.Mock(side_effect=BrokenError)
        )
        with self.assertRaises(BrokenError):
            self.parts.submit(fixtures.job("j"), broken)
        self.assertEqual({"j"}, self.parts.scheduler.admitted.keys())
        self.assertEqual(1, len(self.parts.waiters["j"]))


class WeightTest(unittest.TestCase):
    def gauge(self, parts, name):
        """Returns the value of a gauge as it is served."""
        lines = parts.registry.exposition().decode().splitlines()
        (found,) = [x for x in lines if x.startswith(f"trefoilgw_{name} ")]
        return float(found.split()[1])

    def test_scheduler_starts_with_the_weight_of_its_host(self):
        """A new host would get the streams of any other one."""
        with self.assertNoLogs(program.log, "WARNING"):
            parts = make_program(limits={"cpuShare": 0.717, "cores": 3})
        self.assertEqual(2151, parts.membership.record.weight)
        self.assertEqual(2151, parts.roster.record.weight)
        self.assertEqual(2151, self.gauge(parts, "reach_weight"))
        self.assertEqual(0, self.gauge(parts, "runners_connected"))

    def test_odd_processors_are_bounded_with_one_line(self):
        """The settings are read again every two seconds."""
        for share, weight in ((0, 1000), (-3, 1000), (1e300, 16_000)):
            with self.assertLogs(program.log, "WARNING") as logged:
                parts = make_program(limits={"cpuShare": share})
                for _ in range(3):
                    parts.reload(parts.settings)
            self.assertEqual(1, len(logged.records))
            self.assertEqual(weight, parts.membership.record.weight)

    def test_changed_processors_change_the_weight(self):
        """The platform may resize a host while the process runs."""
        parts = make_program(limits={"cpuShare": 0.5})
        parts.reload(attrs.evolve(parts.settings, processors=1.5))
        self.assertEqual(1500, parts.membership.record.weight)
        self.assertGreater(parts.membership.record.weight_ms, 0)

    def test_uneven_load_changes_the_weight_with_one_line(self):
        """Operators must find out why a scheduler lost or got runners."""
        parts = make_program(limits={"cpuShare": 0.5})
        report = fixtures.make_report(schedulers=5, others_started=(0, 0, 20))
        parts.scheduler.capacity_reported("r1", report, 0.0)
        parts.scheduler.admitted_cpu.record(2, 100_000)
        now_s = 100.0
        with (
            self.assertLogs(program.log, "INFO") as logged,
            mock.patch.object(program.clock, "boottime", lambda: now_s),
        ):
            for _ in range(15):
                now_s += 1.0
                parts._measure_reach()
        self.assertEqual(1, len(logged.records))
        self.assertEqual(707, parts.membership.record.weight)


class LatenessTest(unittest.TestCase):
    def test_late_ticks_are_measured(self):
        """A host without processor time must not admit more than it serves."""
        parts = make_program()
        now_s = 100.0
        with mock.patch.object(program.clock, "boottime", lambda: now_s):
            for _ in range(20):
                parts._tick()
                now_s += program.TICK_S
            self.assertAlmostEqual(0.0, parts.scheduler.lateness.mean_s)
            for _ in range(20):
                parts._tick()
                now_s += program.TICK_S + 0.2
        self.assertAlmostEqual(
            0.2, parts.scheduler.lateness.delay_s, delta=0.01
        )


class RepeatTest(unittest.TestCase):
    def setUp(self):
        self.parts = make_program()
        caller = FakeCaller()
        eventlet.spawn(
            self.parts.submit, fixtures.job("j", tasks=5), caller.connection
        )
        eventlet.sleep(0.0)
        self.stream = types.SimpleNamespace(
            hello=types.SimpleNamespace(name="r1"),
            sent=[],
            send=lambda message: None,
            close=lambda reason: None,
        )
        self.parts.clients.runners["r1"] = self.stream

    def end(self, index, ending, evidence):
        """Handles the end of a run; returns the lines about it and its task."""
        (run,) = {
            x.run for x in self.job_tasks() if x.spec.name == f"j.0.0.{index}"
        }
        message = runs.RunEnded(
            f"j.0.0.{index}", run, ending, "why", 0.1, evidence, "i-1", 7
        )
        with self.assertLogs("trefoilgw.scheduler", "INFO") as logged:
            logging.getLogger("trefoilgw.scheduler").info("end of the list")
            for _ in range(2):
                self.parts.clients._handle_runner_message(self.stream, message)
        return [x for x in logged.records if x.msg in REPEAT_EVENTS]

    def job_tasks(self):
        return self.parts.scheduler.admitted["j"].tasks

    def counted(self):
        return self.parts.counts.repeated.values

    def test_each_repeat_has_one_line(self):
        """Two lines of one repeat, or none, would mislead who counts them.

        The second message stands for one that is sent again after a reconnect.
        """
        for index, (ending, evidence, level) in enumerate(
            (
                ("failed", "ended", logging.WARNING),
                ("lost", "lease_expired", logging.WARNING),
                ("lost", "other_life", logging.WARNING),
                ("not_run", "not_run", logging.INFO),
            )
        ):
            with self.subTest(evidence=evidence):
                (line,) = self.end(index, ending, evidence)
                self.assertEqual("task repeated", line.msg)
                self.assertEqual(level, line.levelno)
                self.assertEqual(evidence, line.evidence)
                self.assertEqual(f"j.0.0.{index}", line.task)
                self.assertEqual(("r1", "i1"), (line.runner, line.incarnation))
                self.assertEqual(("i-1", 7), (line.instance, line.born))
                self.assertEqual("why", line.reason)
                self.assertGreaterEqual(line.age_s, 0.0)
                self.assertEqual(1, self.counted()[(evidence,)])
        not_done = self.parts.counts.not_done.values
        self.assertEqual(
            {("failed", "why"): 1, ("lost", "why"): 2, ("not_run", "why"): 1},
            not_done,
        )

    def test_repeat_without_evidence_is_a_failure(self):
        """It may be the cause of two runs of a task at a time."""
        (line,) = self.end(0, "lost", "none")
        self.assertEqual(
            ("none", logging.WARNING), (line.evidence, line.levelno)
        )

    def test_task_that_is_done_or_has_failed_is_not_repeated(self):
        """The last failure has a line of its own."""
        self.assertEqual([], self.end(0, "done", "ended"))
        self.job_tasks()[1].failures = 2
        (line,) = self.end(1, "failed", "ended")
        self.assertEqual("run not done", line.msg)
        self.assertEqual({}, self.counted())
        not_done = self.parts.counts.not_done.values
        self.assertEqual({("failed", "why"): 1}, not_done)

    def test_every_evidence_has_a_level(self):
        """A new value must not fail in the midst of the scheduler's actions."""
        with self.assertLogs(decision_log.log, "INFO") as logged:
            for evidence in work.Evidence:
                end = jobs.RunEnd(work.Ending.LOST, "", evidence)
                decision_log.log_task_repeated(
                    actions.Repeated("j.0.0.0", 1, "r1", "i1", end, 0.5)
                )
        self.assertEqual(
            [str(x) for x in work.Evidence],
            [x.evidence for x in logged.records],
        )


if __name__ == "__main__":
    unittest.main()
