"""Tests of the fault soak: its plan, its checks and a short play."""

import pathlib
import tempfile
import unittest

from tools import deployments
from tools import fault_soak
from tools.soak import checks
from tools.soak import faults
from tools.soak import plan as soak_plan
from tools.soak.plan import Fault


class PlanTest(unittest.TestCase):
    def test_faults_follow_from_the_seed(self):
        """A seed that failed must be played again with the same faults."""
        plan = soak_plan.Plan(seed=7)
        self.assertEqual(plan.steps(), soak_plan.Plan(seed=7).steps())
        self.assertNotEqual(plan.steps(), soak_plan.Plan(seed=8).steps())

    def test_faults_hit_hosts_of_the_deployment(self):
        """A fault at a host that does not exist would be left out."""
        plan = soak_plan.Plan(seconds=600.0, schedulers=2, runners=3)
        steps = plan.steps()
        self.assertEqual(set(Fault), {x.fault for x in steps})
        for step in steps:
            limit = 2 if step.fault.part in ("scheduler", "store") else 3
            self.assertLess(step.number, limit)

    def test_only_chosen_faults_are_played(self):
        """A fault that is to be traced alone must not be mixed with others."""
        chosen = (Fault.HOST_POWER, Fault.STORE_SLOW)
        plan = soak_plan.Plan(seconds=60.0, faults=chosen)
        self.assertEqual(set(chosen), {x.fault for x in plan.steps()})

    def test_each_fault_is_carried_out(self):
        """A kind without a handler would be left out silently."""
        injector = faults.Injector(deployments.make_deployment(pathlib.Path()))
        self.addCleanup(injector.deployment.close)
        for fault in Fault:
            with self.subTest(fault=fault):
                self.assertTrue(callable(injector.handler(fault)))

    def test_new_faults_need_relays_between_all_hosts(self):
        """Without relays their cuts would be errors, or show nothing."""
        for fault in (Fault.HOST_CUT, Fault.TARGET_BACK, Fault.STORE_CUT):
            self.assertIn(fault, soak_plan.LINKED)
        for fault in (Fault.TARGET_REFUSE, Fault.SCHEDULER_STOP):
            self.assertNotIn(fault, soak_plan.LINKED)


class RecordingTest(unittest.TestCase):
    """The checks on recordings that hold one fault each, and on sound ones."""

    kind = soak_plan.Kind("check", 1.0, 2, 0.4)

    def call(self, *submissions):
        """Returns a call with submissions of status, state and waiting time."""
        call = checks.Call("k", self.kind)
        for status, state, waited_s in submissions:
            call.submissions.append(
                checks.Submission(0, 0.0, 12.0, False, waited_s, status, state)
            )
        return call

    def run_of(self, task, how="done"):
        """Returns a run of a task of the call."""
        return {"task": f"k.0.0.{task}", "how": how}

    def test_completed_job_needs_an_end_of_each_task(self):
        """A job answered as completed although a task was lost."""
        call = self.call((200, "completed", 1.0))
        both = [self.run_of(0), self.run_of(1)]
        self.assertEqual([], checks.unfinished_jobs([call], both))
        for runs in (both[:1], [both[0], self.run_of(1, "lapsed")]):
            found = checks.unfinished_jobs([call], runs)
            self.assertEqual(["k: 1 of 2 tasks done"], found)

    def test_failed_job_needs_no_end(self):
        """A job may fail after the last attempt of a task."""
        call = self.call((200, "failed", 1.0))
        runs = [self.run_of(0), self.run_of(1, "failed")]
        self.assertEqual([], checks.unfinished_jobs([call], runs))

    def test_rejected_job_must_not_have_started(self):
        """A rejection promises that nothing of the job ever runs."""
        for status in (429, 503):
            call = self.call((status, "", 1.0))
            self.assertEqual([], checks.started_rejects([call], []))
            runs = [self.run_of(1, "stopped")]
            self.assertEqual(1, len(checks.started_rejects([call], runs)))

    def test_earlier_submission_may_have_started(self):
        """Without an answer, the job may run through another scheduler."""
        call = self.call((0, "", 0.5), (503, "", 1.0))
        self.assertEqual([], checks.started_rejects([call], [self.run_of(0)]))

    def test_call_without_an_answer_is_stuck_once_faults_are_over(self):
        """A job that is kept and never started, although all is well again."""
        call = self.call((0, "", 12.0))
        self.assertEqual(1, len(checks.stuck_calls([call], 3.0, 8.0)))
        self.assertEqual([], checks.stuck_calls([call], 5.0, 8.0))
        self.assertEqual(1, len(checks.unanswered_calls([call])))
        answered = self.call((502, "", 12.0))
        self.assertEqual([], checks.stuck_calls([answered], 3.0, 8.0))
        self.assertEqual([], checks.unanswered_calls([answered]))

    def evacuated_starts(self, started_s, store_faults=(), target=1):
        """Checks a run beside an evacuation of target 1 from 10 to 25 s."""
        run = {"task": "a", "run": 1, "target": target, "started_s": started_s}
        return checks.evacuated_starts(
            [run],
            [checks.Evacuation("zone-1", 10.0, 25.0)],
            {1: "zone-1", 2: "zone-2"},
            5.0,
            list(store_faults),
        )

    def test_run_in_an_evacuated_domain_is_found(self):
        """A start that the operators have forbidden."""
        for started_s in (9.0, 14.0, 26.0):
            self.assertEqual([], self.evacuated_starts(started_s))
        self.assertEqual(1, len(self.evacuated_starts(16.0)))
        self.assertEqual([], self.evacuated_starts(16.0, target=2))

    def test_hidden_store_delays_an_evacuation(self):
        """Nobody can know of it meanwhile; each later fault counts anew."""
        faults_s = ((8.0, 11.0), (15.5, 17.0))
        self.assertEqual([], self.evacuated_starts(21.0, faults_s))
        self.assertEqual(1, len(self.evacuated_starts(22.5, faults_s)))
        self.assertEqual(1, len(self.evacuated_starts(16.0, [(2.0, 9.0)])))

    def test_caller_that_leaves_is_not_stuck(self):
        """It gave up before any answer was due."""
        call = self.call((0, "", 12.0))
        call.last.leaves = True
        self.assertEqual([], checks.stuck_calls([call], 0.0, 8.0))
        self.assertEqual([], checks.unanswered_calls([call]))


class RunsTest(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.soak = fault_soak.make_soak(
            soak_plan.Plan(runners=1), pathlib.Path(directory.name)
        )
        self.addCleanup(self.soak.deployment.close)
        self.path = self.soak.deployment.record_path(0)

    def test_run_of_a_killed_target_ends_with_it(self):
        """It would overlap with every later run of its task otherwise."""
        self.path.write_text(
            '{"task": "a", "run": 1, "started_s": 5.0, "ended_s": null}\n'
        )
        self.soak.injector.killed_s[0] = [4.0, 6.0, 9.0]
        self.assertEqual([6.0], [x["ended_s"] for x in self.soak.runs()])

    def test_run_that_goes_on_overlaps_with_the_next(self):
        """It is what the soak looks for."""
        self.path.write_text(
            '{"task": "a", "run": 1, "started_s": 5.0, "ended_s": null}\n'
            '{"task": "a", "run": 2, "started_s": 6.0, "ended_s": 7.0, '
            '"how": "done"}\n'
        )
        runs = self.soak.runs()
        self.assertEqual(1, len(deployments.overlapping_runs(runs)))
        self.assertEqual(1, len(self.soak.findings()[fault_soak.TWICE]))


class HeldNamesTest(unittest.TestCase):
    def names(self, fault):
        """Returns what a fault at host 1 holds."""
        return faults.held_names(soak_plan.Step(1.0, fault, 1, 1.0))

    def test_process_has_one_fault_at_a_time(self):
        """A process that is killed twice would be started twice."""
        for fault in (Fault.TARGET_KILL, Fault.TARGET_BACK, Fault.HOST_MOVE):
            self.assertIn("target-1", self.names(fault))
        for fault in (Fault.RUNNER_FREEZE, Fault.HOST_POWER):
            self.assertIn("runner-1", self.names(fault))

    def test_cuts_cross_faults_of_processes(self):
        """Restarts behind a cut are a case of their own."""
        cut = self.names(Fault.TARGET_REFUSE) | self.names(Fault.HOST_CUT)
        ends = self.names(Fault.HOST_POWER) | self.names(Fault.TARGET_KILL)
        self.assertEqual(set(), cut & ends)


class SoakTest(unittest.TestCase):
    def play(self, seed):
        """Plays a short soak; returns it."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        plan = soak_plan.Plan(
            seed, seconds=20.0, schedulers=2, runners=4, load=0.35, max_s=2.5
        )
        soak = fault_soak.make_soak(plan, pathlib.Path(directory.name))
        self.addCleanup(soak.deployment.close)
        soak.play()
        return soak

    def test_no_task_has_two_runs_at_a_time(self):
        """Faults of all kinds overlap, under load, with real processes."""
        for seed in (1, 2):
            with self.subTest(seed=seed):
                soak = self.play(seed)
                found = soak.findings()
                for kind in fault_soak.BROKEN:
                    self.assertEqual([], found[kind])
                self.assertGreater(soak.answers.get(200, 0), 0)


class LoadTest(unittest.TestCase):
    def test_default_plan_has_the_load_of_a_small_deployment(self):
        """The pace decides whether a fault meets a task at all."""
        plan = soak_plan.Plan()
        used = sum(
            x.jobs_s * x.tasks * x.run_s * plan.millicores
            for x in soak_plan.KINDS
        )
        room = plan.runners * plan.cores * 1000
        self.assertTrue(0.5 < used / room < 0.9)


if __name__ == "__main__":
    unittest.main()
