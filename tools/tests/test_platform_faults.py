"""End-to-end fault tests on the platform stand-ins, with real processes."""

import base64
import contextlib
import http.client
import json
import pathlib
import tempfile
import threading
import time
import unittest

import urllib3

from tools import deployments

# Delay after which a caller without an answer submits its job again.
RESEND_DELAY_S = 1.3
# So many that reading their requests takes longer than a scheduler's tick.
LEAVING_CALLERS = 200


class PlatformTestCase(unittest.TestCase):
    """Test case with a deployment of its own for each test.

    Attributes:
        relayed: Whether runners reach their targets through relays.
        evacuations: Whether the settings ask for evacuations.
    """

    relayed = False
    evacuations = False

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.deployment = deployments.make_deployment(
            pathlib.Path(directory.name),
            relayed=self.relayed,
            evacuations=self.evacuations,
        )
        self.addCleanup(self.deployment.close)
        self.deployment.start()
        self.answers = {}

    def submit_in_thread(self, number, key, body):
        """Submits a job in a thread, which stores the answer in `answers`."""

        def run():
            try:
                self.answers[key] = self.deployment.submit(number, key, body)
            except urllib3.exceptions.HTTPError as error:
                self.answers[key] = (0, str(error))

        thread = threading.Thread(target=run)
        thread.start()
        self.addCleanup(thread.join)
        return thread

    def runs_of(self, key):
        """Returns the runs of a job at all targets."""
        return [x for x in self.deployment.runs() if x["task"].startswith(key)]

    def wait_for_runs(self, key, count):
        """Waits until a number of runs of a job have started."""
        deadline_s = time.monotonic() + 5.0
        while len(self.runs_of(key)) < count:
            self.assertLess(time.monotonic(), deadline_s, "runs not started")
            time.sleep(0.02)

    def assert_no_overlap(self):
        """Asserts that no task ran at two targets at the same time."""
        self.assertEqual(
            [], deployments.overlapping_tasks(self.deployment.runs())
        )


class CallerTest(PlatformTestCase):
    def test_serves_and_refuses(self):
        """Valid jobs must complete; bad requests must get the right status."""
        deployment = self.deployment
        status, body = deployment.submit(
            0, deployments.new_key(), deployments.job_body(6, 0.1)
        )
        self.assertEqual((200, {"state": "completed"}), (status, body))
        cases = [
            (400, "POST", "/proof/xyz", {}),
            (400, "POST", f"/proof/{deployments.new_key()}", b"not JSON"),
            (
                400,
                "POST",
                f"/proof/{deployments.new_key()}",
                deployments.job_body(0, 0.1),
            ),
            (413, "POST", f"/proof/{deployments.new_key()}", b"x" * 300_000),
            (
                404,
                "POST",
                f"/none/{deployments.new_key()}",
                deployments.job_body(1, 0.1),
            ),
            (410, "GET", f"/proof/{deployments.new_key()}", None),
            (410, "DELETE", f"/proof/{deployments.new_key()}", None),
            (200, "GET", "/proof/", None),
        ]
        for expected, method, path, body in cases:
            with self.subTest(method=method, path=path):
                self.assertEqual(
                    expected, deployment.call(1, method, path, body)[0]
                )
        stored = {**deployments.job_body(1, 0.1), "bestEffort": False}
        status, body = deployment.submit(0, deployments.new_key(), stored)
        self.assertEqual(503, status)
        self.assertIn("unsupported", body["reason"])

    def test_caller_that_leaves_ends_its_job(self):
        """A job that continued could overlap with its second submission."""
        deployment, key = self.deployment, deployments.new_key()
        with self.assertRaises(urllib3.exceptions.HTTPError):
            path = f"/proof/{key}"
            deployment.call(
                0, "POST", path, deployments.job_body(2, 5.0), timeout_s=0.4
            )
        time.sleep(0.3)
        self.assertEqual({"stopped"}, {x["how"] for x in self.runs_of(key)})
        status, _ = deployment.submit(1, key, deployments.job_body(2, 0.1))
        self.assertEqual(200, status)
        self.assert_no_overlap()

    def test_configuration_comes_into_force(self):
        """A queue that was removed must no longer accept jobs."""
        self.deployment.configure(5, routes=[])
        time.sleep(0.5)
        for number in range(self.deployment.schedulers):
            key = deployments.new_key()
            status, _ = self.deployment.submit(
                number, key, deployments.job_body(1, 0.1)
            )
            self.assertEqual(404, status)

    def test_store_down_changes_nothing_for_callers(self):
        """Schedulers must serve jobs while the store is down."""
        self.deployment.set_store_faults(down=True)
        time.sleep(2.0)
        for number in range(self.deployment.schedulers):
            key = deployments.new_key()
            status, _ = self.deployment.submit(
                number, key, deployments.job_body(2, 0.1)
            )
            self.assertEqual(200, status)

    def test_late_scheduler_learns_the_configuration_from_a_peer(self):
        """A scheduler that starts while the store is down must serve jobs."""
        self.deployment.process("scheduler-1").kill()
        self.deployment.set_store_faults(down=True)
        self.deployment.start_scheduler(1)
        self.deployment.wait_serving(5.0)


class OddEntryTest(PlatformTestCase):
    def test_odd_entries_in_the_list_of_schedulers(self):
        """One of them ended each reading, so that nobody found the others."""
        deployment = self.deployment
        entries = {
            "nested": b"[" * 100_000,
            "number": b'{"address": ' + b"9" * 5000 + b"}",
            "port": b'{"address": "127.0.1.9:99999", "domain": "d", '
            b'"incarnation": "x"}',
            "half": b'{"address": "\\ud800:1", "domain": "d", '
            b'"incarnation": "x"}',
            "bytes": b"\xff\xfe",
        }
        for name, data in entries.items():
            body = {
                "key": f"trefoilgw/schedulers/{name}",
                "data": base64.b64encode(data).decode(),
            }
            deployment.call_control(deployment.store, "put", body)
        deployment.process("scheduler-1").kill()
        deployment.process("scheduler-1").wait(5.0)
        deployment.start_scheduler(1)
        deployment.wait_serving(8.0)
        for name in ("scheduler-0", "scheduler-1", "runner-0"):
            self.assertTrue(deployment.process(name).running())
            lines = deployment.log_lines(name)
            for event in (
                "timer callback failed",
                "roster update failed",
                "message handler failed",
            ):
                self.assertFalse(any(event in x for x in lines), (name, event))


class LostProcessTest(PlatformTestCase):
    def test_killed_scheduler(self):
        """Callers submit again; the first runs must have ended by then."""
        deployment, key = self.deployment, deployments.new_key()
        thread = self.submit_in_thread(0, key, deployments.job_body(4, 3.0))
        self.wait_for_runs(key, 4)
        deployment.process("scheduler-0").kill()
        thread.join()
        time.sleep(RESEND_DELAY_S)
        self.assertTrue(all(x["ended_s"] for x in self.runs_of(key)))
        status, _ = deployment.submit(1, key, deployments.job_body(4, 0.2))
        self.assertEqual(200, status)
        self.assert_no_overlap()

    def test_frozen_scheduler(self):
        """A resumed scheduler must not run jobs that ran elsewhere."""
        deployment, key = self.deployment, deployments.new_key()
        self.submit_in_thread(0, key, deployments.job_body(2, 3.0))
        self.wait_for_runs(key, 2)
        deployment.process("scheduler-0").freeze()
        time.sleep(RESEND_DELAY_S)
        self.assertTrue(all(x["ended_s"] for x in self.runs_of(key)))
        deployment.process("scheduler-0").thaw()
        deployment.wait_serving()
        self.assert_no_overlap()

    def test_woken_scheduler_takes_no_jobs_of_callers_that_left(self):
        """Such callers have sent their jobs to another scheduler.

        Reading many waiting requests takes longer than a tick, so that their
        tasks were started before the closed connections were noticed.
        """
        deployment = self.deployment
        deployment.process("scheduler-0").freeze()
        keys = [deployments.new_key() for _ in range(LEAVING_CALLERS)]
        callers = [self.leave_early(0, key) for key in keys]
        for caller in callers:
            caller.join()
        time.sleep(RESEND_DELAY_S)
        deployment.process("scheduler-0").thaw()
        time.sleep(1.0)
        left = {x["task"].partition(".")[0] for x in deployment.runs()}
        self.assertEqual(set(), left & set(keys))

    def leave_early(self, number, key):
        """Submits a job in a thread and leaves before there is an answer."""

        def run():
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                path = f"/proof/{key}"
                body = deployments.job_body(2, 0.3, 100)
                self.deployment.call(number, "POST", path, body, 0.5)

        thread = threading.Thread(target=run)
        thread.start()
        return thread

    def test_caller_whose_end_is_not_seen(self):
        """Its job went on beside its second submission.

        A caller that is cut off can't close its connection.
        """
        deployment, key = self.deployment, deployments.new_key()
        connection = http.client.HTTPConnection(
            deployment.scheduler_ip(0), deployment.ports[0]
        )
        self.addCleanup(connection.close)
        body = json.dumps(deployments.job_body(4, 6.0))
        headers = {"Host": deployments.HOST_NAME, "X-Deadline-Ms": "1500"}
        connection.request("POST", f"/proof/{key}", body, headers)
        self.wait_for_runs(key, 4)
        time.sleep(1.5 + RESEND_DELAY_S)
        answer = (503, {})
        deadline_s = time.monotonic() + 5.0
        while answer[0] == 503 and time.monotonic() < deadline_s:
            answer = deployment.submit(1, key, deployments.job_body(4, 0.2))
        self.assertEqual((200, {"state": "completed"}), answer)
        self.assert_no_overlap()

    def test_killed_runner(self):
        """Its runs expire and must be repeated elsewhere without overlap."""
        deployment, key = self.deployment, deployments.new_key()
        thread = self.submit_in_thread(0, key, deployments.job_body(9, 0.8))
        self.wait_for_runs(key, 9)
        deployment.process("runner-0").kill()
        time.sleep(0.3)
        deployment.start_runner(0)
        thread.join()
        self.assertEqual(200, self.answers[key][0])
        self.assert_no_overlap()

    def test_frozen_runner(self):
        """A resumed runner must not act, as its target's lease has expired."""
        deployment, key = self.deployment, deployments.new_key()
        thread = self.submit_in_thread(0, key, deployments.job_body(9, 0.8))
        self.wait_for_runs(key, 9)
        deployment.process("runner-0").freeze()
        thread.join()
        deployment.process("runner-0").thaw()
        time.sleep(1.0)
        self.assertEqual(200, self.answers[key][0])
        self.assert_no_overlap()

    def test_killed_target(self):
        """The runs of a crashed target must be repeated elsewhere."""
        deployment, key = self.deployment, deployments.new_key()
        thread = self.submit_in_thread(0, key, deployments.job_body(6, 0.6))
        self.wait_for_runs(key, 6)
        deployment.process("target-0").kill()
        thread.join()
        self.assertEqual((200, {"state": "completed"}), self.answers[key])

    def test_planned_stop_answers_what_is_open(self):
        """A planned stop must answer the requests that are being served."""
        deployment, key = self.deployment, deployments.new_key()
        thread = self.submit_in_thread(0, key, deployments.job_body(2, 1.5))
        self.wait_for_runs(key, 2)
        deployment.process("scheduler-0").terminate()
        thread.join()
        self.assertEqual(200, self.answers[key][0])
        self.assertEqual(0, deployment.process("scheduler-0").wait(8.0))


class BadTargetTest(PlatformTestCase):
    def test_orders_carried_out_late(self):
        """A start that got no response may be carried out late."""
        deployment, key = self.deployment, deployments.new_key()
        for number in range(deployment.runners):
            deployment.set_target_faults(number, lose_starts=2, late_s=0.4)
        status, _ = deployment.submit(0, key, deployments.job_body(6, 0.5))
        self.assertEqual(200, status)
        time.sleep(0.6)
        self.assert_no_overlap()

    def test_hanging_target(self):
        """Runs without progress must be repeated elsewhere."""
        deployment, key = self.deployment, deployments.new_key()
        deployment.set_target_faults(0, hang=True)
        started_s = time.monotonic()
        status, _ = deployment.submit(0, key, deployments.job_body(8, 0.3))
        self.assertEqual(200, status)
        self.assertLess(time.monotonic() - started_s, 2.0)
        self.assert_no_overlap()

    def test_target_that_fails_everything(self):
        """One target's failures must not use up the attempts of many jobs."""
        deployment = self.deployment
        deployment.set_target_faults(0, fail=True)
        states = []
        for _ in range(10):
            _, body = deployment.submit(
                0, deployments.new_key(), deployments.job_body(3, 0.05)
            )
            states.append(body.get("state"))
        self.assertEqual(["completed"] * 10, states)

    def test_reports_of_another_writer_end_no_run(self):
        """They name a target that started later, at the same runner."""
        deployment, key = self.deployment, deployments.new_key()
        thread = self.submit_in_thread(0, key, deployments.job_body(9, 0.9))
        self.wait_for_runs(key, 9)
        now_ms = int(time.time() * 1000)
        for instance in ("i-odd", "i-other"):
            deployment.report(0, instance, {"seq": 1, "born": now_ms})
            time.sleep(0.1)
        deployment.report(0, "i-odd", {"seq": 2, "born": 0})
        thread.join()
        self.assertEqual(200, self.answers[key][0])
        self.assert_no_overlap()
        self.assertEqual({"done"}, {x["how"] for x in self.runs_of(key)})

    def test_draining_target_gets_nothing_new(self):
        """A run started at a draining target would end with the target."""
        deployment = self.deployment
        deployment.set_target_faults(0, draining=True)
        time.sleep(0.8)
        before = len(deployment.runs())
        key = deployments.new_key()
        deployment.submit(0, key, deployments.job_body(8, 0.1))
        self.assertGreater(len(deployment.runs()), before)
        address = f"{deployment.runner_ip(0)}:{deployment.ports[4]}"
        tasks = [
            x["task"] for x in deployment.call_control(address, "runs")["runs"]
        ]
        self.assertFalse(any(x.startswith(key) for x in tasks))


class CutOffTargetTest(PlatformTestCase):
    relayed = True

    def play_cuts(self, how, deregistered=False):
        """Cuts one target off while tasks run everywhere, three times.

        Args:
            how: Mode of the cuts.
            deregistered: Whether it deregisters before each cut.
        """
        deployment, key = self.deployment, deployments.new_key()
        thread = self.submit_in_thread(0, key, deployments.job_body(9, 0.9))
        self.wait_for_runs(key, 9)
        for _ in range(3):
            if deregistered:
                deployment.deregister(0)
            deployment.cut_target(0, how)
            time.sleep(0.3)
            deployment.cut_target(0, "open")
            time.sleep(0.2)
        thread.join()
        self.assertEqual(200, self.answers[key][0])
        self.assert_no_overlap()

    def test_target_that_refuses_connections_may_work_on(self):
        """Its runs were given up at once and began again elsewhere."""
        self.play_cuts("refuse")

    def test_target_that_has_deregistered_may_work_on(self):
        """Its runs were given up at its first refused connection."""
        self.play_cuts("refuse", deregistered=True)

    def test_target_that_resets_connections_may_work_on(self):
        """A connection that is reset while it opens is no proof either."""
        self.play_cuts("reset")

    def test_silent_target_may_work_on(self):
        """Its runs end once their leases have expired."""
        self.play_cuts("silent")


if __name__ == "__main__":
    unittest.main()
