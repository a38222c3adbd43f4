"""Tests of the search for repeats without evidence."""

import io
import json
import logging
import unittest

import eventlet

from tools import repeats
from trefoilgw.logs import core as logs
from trefoilgw.messages import runs as messages
from trefoilgw.scheduler.tests import test_program
from trefoilgw.scheduling import core as scheduling
from trefoilgw.scheduling.tests import fixtures

JOB = "0123456789abcdef"
TASK = f"{JOB}.0.0.0"


def line(event, **fields):
    return json.dumps({"message": event, **fields})


def admitted(first_run=10):
    return line("job admitted", job=JOB, first_run=first_run)


def repeated(run, evidence="ended", reason="", task=TASK):
    return line(
        "task repeated", task=task, run=run, evidence=evidence, reason=reason
    )


def left_out(failures=None, **lines):
    counts = {name.replace("_", " "): count for name, count in lines.items()}
    return line("lines left out", lines=counts, failures=failures or {})


def run(number, task=TASK):
    return {"task": task, "run": number, "started_s": 1.0, "ended_s": 2.0}


class RepeatsTest(unittest.TestCase):
    def unexplained(self, lines, *numbers):
        """Returns the numbers of the runs that no line explains."""
        found = repeats.find_unexplained(lines, map(run, numbers))
        self.assertEqual({TASK}, {TASK} | {x[0] for x in found.unexplained})
        return [x[1] for x in found.unexplained]

    def test_repeat_without_a_line(self):
        """It is what the search is for."""
        self.assertEqual([11], self.unexplained([admitted()], 10, 11))
        self.assertEqual(
            [12], self.unexplained([admitted(), repeated(10)], 10, 11, 12)
        )

    def test_repeat_with_a_line(self):
        """A refused run explains the next one, and is in no record."""
        lines = [admitted(), repeated(10, "not_run"), repeated(11)]
        self.assertEqual([], self.unexplained(lines, 11, 12))
        self.assertEqual([12], self.unexplained(lines[:2], 11, 12))
        self.assertEqual([11], self.unexplained(lines[:1], 11))

    def test_line_without_evidence_explains_nothing(self):
        """The runner could not tell why the run could not work any longer."""
        lines = [admitted(), repeated(10, "none")]
        self.assertEqual([11], self.unexplained(lines, 10, 11))

    def test_line_of_another_task_explains_nothing(self):
        """Tasks of a job have the same numbers."""
        lines = [admitted(), repeated(10, task=f"{JOB}.0.0.1")]
        self.assertEqual([11], self.unexplained(lines, 10, 11))

    def test_number_after_a_higher_one_was_seen(self):
        """The scheduler skips numbers if a target refuses the run as old."""
        lines = [admitted(), repeated(10, "not_run", "old")]
        number = 11 + scheduling.RUN_NUMBER_SKIP
        self.assertEqual([], self.unexplained(lines, number))
        self.assertEqual([11], self.unexplained(lines, 11))

    def test_job_that_is_submitted_again_is_no_repeat(self):
        """Another scheduler admits it with a number of its own."""
        lines = [admitted(), admitted(2000)]
        self.assertEqual([], self.unexplained(lines, 10, 2000))
        self.assertEqual([2001], self.unexplained(lines, 10, 2001))

    def test_lowest_number_is_the_first_if_no_admission_is_shown(self):
        """The line may have been left out."""
        self.assertEqual([], self.unexplained([], 10))
        self.assertEqual([11], self.unexplained([], 10, 11))

    def test_lines_left_out_are_counted(self):
        """A flood hides lines, which must not look like a fault."""
        lines = [
            admitted(),
            "not a line",
            left_out({"task repeated": 1}, task_repeated=2, tasks_sent=50),
            left_out(job_admitted=1),
        ]
        found = repeats.find_unexplained(lines, map(run, (10, 11, 12)))
        self.assertEqual(3, found.not_shown)
        self.assertEqual(2, len(found.unexplained))
        self.assertEqual(0, found.certain)
        found = repeats.find_unexplained(lines[:2], map(run, (10, 11, 12)))
        self.assertEqual(2, found.certain)

    def test_refusals_left_out_hide_no_run_that_has_started(self):
        """They come in floods; the line of such a run would be a failure."""
        for failures, certain in ((0, 1), (1, 0)):
            hidden = left_out({"task repeated": failures}, task_repeated=9)
            found = repeats.find_unexplained(
                [admitted(), hidden], map(run, (10, 11))
            )
            with self.subTest(failures=failures):
                self.assertEqual(((TASK, 11),), found.after_started)
                self.assertEqual(certain, found.certain)
        found = repeats.find_unexplained([admitted(), hidden], [run(11)])
        self.assertEqual((), found.after_started)
        self.assertEqual(0, found.certain)

    def test_run_that_started_although_it_is_logged_as_not_run(self):
        """Such a run may work beside the next one."""
        lines = [admitted(), repeated(10, "not_run")]
        found = repeats.find_unexplained(lines, map(run, (10, 11)))
        self.assertEqual(((TASK, 10),), found.contradicted)
        self.assertTrue(found.faulty)
        found = repeats.find_unexplained(lines, [run(11)])
        self.assertFalse(found.faulty)

    def test_two_lines_of_one_repeat(self):
        """Each repeat has exactly one."""
        lines = [admitted(), repeated(10), repeated(10, "not_run")]
        found = repeats.find_unexplained(lines, map(run, (10, 11)))
        self.assertEqual(((TASK, 10),), found.repeated_lines)


class LoggedLinesTest(unittest.TestCase):
    def setUp(self):
        root = logging.getLogger()
        self.addCleanup(root.setLevel, root.level)
        self.addCleanup(setattr, root, "handlers", root.handlers[:])
        self.addCleanup(logging.captureWarnings, False)
        self.log = io.StringIO()
        logs.configure("scheduler", stream=self.log)

    def find(self, evidence):
        """Returns the unexplained runs of a scheduler that repeats a task."""
        parts = test_program.make_program()
        caller = test_program.FakeCaller()
        job = fixtures.job("j")
        eventlet.spawn(parts.submit, job, caller.connection)
        eventlet.sleep(0.0)
        (task,) = parts.scheduler.admitted["j"].tasks
        first = task.run
        fixtures.connect_runner(parts.scheduler, "r2")
        ended = messages.RunEnded(
            "j.0.0.0", first, "lost", "target_gone", 0.1, evidence, "i-1", 7
        )
        parts.scheduler.run_ended("r1", ended, 0.5)
        parts.flush()
        recorded = [run(x, "j.0.0.0") for x in (first, first + 1)]
        lines = self.log.getvalue().splitlines()
        return repeats.find_unexplained(lines, recorded).unexplained

    def test_lines_of_the_scheduler_are_understood(self):
        """A renamed field would make each repeat look unexplained, or none."""
        self.assertEqual((), self.find("other_life"))

    def test_repeat_without_evidence_is_found(self):
        """The same with an end that names no evidence."""
        self.assertEqual(1, len(self.find("none")))


if __name__ == "__main__":
    unittest.main()
