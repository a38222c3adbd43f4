"""Tests of the target stand-in: counts, slots and faults."""

import json
import random
import unittest

import eventlet
import urllib3

from tools.standins import target as target_module

PAYLOAD = {"run_ms": 0, "value": "v", "kind": "preview"}


class TargetTest(unittest.TestCase):
    def setUp(self):
        self.target = target_module.Target(2, random.Random(1))
        self.base = f"http://{self.target.serve()}"
        self.addCleanup(self.target.close)
        self.http = urllib3.PoolManager(maxsize=8, retries=False)
        self.addCleanup(self.http.clear)

    def run_task(self, task="j/0", payload=PAYLOAD):
        return self.http.request(
            "POST",
            f"{self.base}/run/clicks",
            body=json.dumps(payload),
            headers={"Trefoilgw-Task": task},
        )

    def control(self, method, path, content=None):
        body = None if content is None else json.dumps(content)
        answer = self.http.request(
            method, f"{self.base}/control/{path}", body=body
        )
        return json.loads(answer.data)

    def test_answer_returns_the_value(self):
        answer = self.run_task()
        self.assertEqual(200, answer.status)
        self.assertEqual({"value": "v"}, json.loads(answer.data))

    def test_tally_shows_a_double_start(self):
        """A second start of a task must appear in the counts."""
        for task in ("j/0", "j/1", "j/0"):
            self.run_task(task)
        tally = self.control("GET", "starts")
        self.assertEqual({"j/0": 2, "j/1": 1}, tally["starts"])
        self.assertEqual(["j/0"], tally["double"])
        self.assertEqual({"v": 3}, tally["values"])
        self.control("POST", "reset")
        self.assertEqual({}, self.control("GET", "starts")["starts"])

    def test_faults(self):
        """Tests that rely on a fault prove nothing if it has no effect."""
        cases = (
            ({"fail_all": True}, PAYLOAD, 500),
            ({"fail_kind": "preview"}, PAYLOAD, 500),
            ({"fail_kind": "preview"}, {**PAYLOAD, "kind": "other"}, 200),
            ({"straggle_share": 1.0, "straggle_factor": 2.0}, PAYLOAD, 200),
            ({}, PAYLOAD, 200),
        )
        for faults, payload, status in cases:
            with self.subTest(faults=faults):
                self.control("POST", "faults", faults)
                self.assertEqual(status, self.run_task(payload=payload).status)

    def test_straggling_multiplies_the_run_time(self):
        self.target.set_faults(target_module.Faults(1.0, 3.0))
        self.assertEqual(3.0, self.target._run_duration_s({"run_ms": 1000}))

    def test_more_tasks_than_slots_are_seen(self):
        """An overcommitted target must appear in the counts."""
        self.target.set_faults(target_module.Faults(freeze=True))
        tasks = [eventlet.spawn(self.run_task, f"j/{n}") for n in range(3)]
        while self.target.at_once < 3:
            eventlet.sleep(0)
        status = self.control("GET", "status")
        self.assertEqual({"running": 2, "waiting": 1}, status)
        self.control("POST", "faults", {})
        self.assertEqual([200] * 3, [task.wait().status for task in tasks])
        self.assertEqual(3, self.control("GET", "starts")["max_at_once"])

    def test_stop_ends_a_running_task(self):
        """A stopped task must not be reported as completed."""
        task = eventlet.spawn(self.run_task, "j/0", {"run_ms": 3_600_000})
        while "j/0" not in self.target._running:
            eventlet.sleep(0)
        answer = self.http.request("DELETE", f"{self.base}/run/j/0")
        self.assertEqual(200, answer.status)
        self.assertEqual(409, task.wait().status)
        answer = self.http.request("DELETE", f"{self.base}/run/j/0")
        self.assertEqual(404, answer.status)


if __name__ == "__main__":
    unittest.main()
