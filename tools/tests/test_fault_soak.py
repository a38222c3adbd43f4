"""Tests of the fault soak and of its relays."""

import http.client
import pathlib
import tempfile
import types
import unittest

from tools import deployments
from tools import fault_soak


class PlanTest(unittest.TestCase):
    def test_faults_follow_from_the_seed(self):
        """A seed that failed must be played again with the same faults."""
        plan = fault_soak.Plan(seed=7)
        self.assertEqual(plan.steps(), fault_soak.Plan(seed=7).steps())
        self.assertNotEqual(plan.steps(), fault_soak.Plan(seed=8).steps())

    def test_faults_hit_hosts_of_the_deployment(self):
        """A fault at a host that does not exist would be left out."""
        plan = fault_soak.Plan(seconds=300.0, schedulers=2, runners=3)
        steps = plan.steps()
        self.assertEqual(set(fault_soak.Fault), {x.fault for x in steps})
        for step in steps:
            limit = 2 if step.fault.startswith("scheduler") else 3
            self.assertLess(step.number, limit)


class RunsTest(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.soak = fault_soak.make_soak(
            fault_soak.Plan(runners=1), pathlib.Path(directory.name)
        )
        self.addCleanup(self.soak.deployment.close)
        self.path = self.soak.deployment.record_path(0)

    def test_run_of_a_killed_target_ends_with_it(self):
        """It would overlap with every later run of its task otherwise."""
        self.path.write_text(
            '{"task": "a", "run": 1, "started_s": 5.0, "ended_s": null}\n'
        )
        self.soak.killed_s[0] = [4.0, 6.0, 9.0]
        self.assertEqual([6.0], [x["ended_s"] for x in self.soak.runs()])

    def test_run_that_goes_on_overlaps_with_the_next(self):
        """It is what the soak looks for."""
        self.path.write_text(
            '{"task": "a", "run": 1, "started_s": 5.0, "ended_s": null}\n'
            '{"task": "a", "run": 2, "started_s": 6.0, "ended_s": 7.0}\n'
        )
        runs = self.soak.runs()
        self.assertEqual(1, len(deployments.overlapping_runs(runs)))


class RelayTest(unittest.TestCase):
    def test_relay_cuts_and_opens_again(self):
        """A cut that leaves connections open would show nothing."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        deployment = deployments.make_deployment(
            pathlib.Path(directory.name), runners=1, relayed=True
        )
        self.addCleanup(deployment.close)
        deployment.start_target(0)
        deployment.relay = deployment.start_relays()
        errors = {
            "open": types.NoneType,
            "silent": TimeoutError,
            "reset": ConnectionResetError,
            "refuse": ConnectionRefusedError,
        }
        for how in ("open", "silent", "reset", "refuse", "open"):
            with self.subTest(how=how):
                deployment.cut_target(0, how)
                error = self.call(deployment)
                # eventlet may take a reset for an orderly end, which is a
                # subclass.
                self.assertIsInstance(error, errors[how])

    def call(self, deployment):
        """Returns the error of a call through the relay, or None."""
        connection = http.client.HTTPConnection(
            deployment.relay_address(0), timeout=0.3
        )
        try:
            connection.request("GET", "/control/runs", b"{}")
            connection.getresponse().read()
        except OSError as error:
            return error
        finally:
            connection.close()
        return None


class SoakTest(unittest.TestCase):
    def play(self, seed):
        """Plays a short soak; returns it and its runs."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        plan = fault_soak.Plan(
            seed, seconds=20.0, schedulers=2, runners=4, load=0.35, max_s=2.5
        )
        soak = fault_soak.make_soak(plan, pathlib.Path(directory.name))
        self.addCleanup(soak.deployment.close)
        soak.play()
        return soak, soak.runs()

    def test_no_task_has_two_runs_at_a_time(self):
        """Faults of all kinds overlap, under load, with real processes."""
        for seed in (1, 2):
            with self.subTest(seed=seed):
                soak, runs = self.play(seed)
                pairs = [
                    (x["task"], soak.describe(x), soak.describe(y))
                    for x, y in deployments.overlapping_runs(runs)
                ]
                self.assertEqual([], pairs)
                self.assertGreater(soak.answers.get(200, 0), 0)


class LoadTest(unittest.TestCase):
    def test_default_plan_has_the_load_of_a_small_deployment(self):
        """The pace decides whether a fault meets a task at all."""
        plan = fault_soak.Plan()
        used = sum(
            x.jobs_s * x.tasks * x.run_s * plan.millicores
            for x in fault_soak.KINDS
        )
        room = plan.runners * plan.cores * 1000
        self.assertTrue(0.5 < used / room < 0.9)


if __name__ == "__main__":
    unittest.main()
