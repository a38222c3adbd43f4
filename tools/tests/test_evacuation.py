"""Evacuations of failure domains, with real processes and the stand-ins."""

import contextlib
import time
import unittest

import urllib3

from tools import deployments
from tools.tests import test_platform_faults

# Every process knows of an evacuation within this time after its
# acknowledgement unless a fault disturbs it; it may take 5 s.
KNOWN_WITHIN_S = 1.0
# Runners 0 to 2 are in domains of their own.
EVACUATED = "zone-0"


class EvacuationTest(test_platform_faults.PlatformTestCase):
    evacuations = True

    def runs_at(self, number, after_s=0.0):
        """Returns the runs at a target that began after a time."""
        address = self.deployment.app_address(number)
        runs = self.deployment.call_control(address, "runs")["runs"]
        return [x for x in runs if x["started_s"] > after_s]

    def submit_everywhere(self, tasks=2, run_s=0.1):
        """Submits a job to each scheduler; returns the statuses."""
        return [
            self.deployment.submit(
                x, deployments.new_key(), deployments.job_body(tasks, run_s)
            )[0]
            for x in range(self.deployment.schedulers)
        ]

    def evacuate(self, domain=EVACUATED):
        """Evacuates a domain; returns when all processes know of it."""
        self.deployment.evacuate(domain)
        time.sleep(KNOWN_WITHIN_S)
        return time.monotonic()

    def load_for(self, seconds):
        """Submits jobs for a time; returns the statuses."""
        statuses = []
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            statuses += self.submit_everywhere()
        return statuses

    def wait_for_runs_at(self, number):
        """Submits jobs until one runs at a target."""
        since_s = time.monotonic()
        while not self.runs_at(number, since_s):
            self.assertLess(time.monotonic(), since_s + 5.0, "no load")
            self.submit_everywhere()

    def wait_until_served(self, number):
        """Submits small jobs to a scheduler until it completes one."""
        deadline_s = time.monotonic() + 8.0
        status = 0
        while status != 200:
            self.assertLess(time.monotonic(), deadline_s, "not served")
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                status, _ = self.deployment.submit(
                    number, deployments.new_key(), deployments.job_body(2, 0.1)
                )

    def test_nothing_starts_and_load_returns(self):
        """An operator takes a domain away while its targets work on."""
        deployment, key = self.deployment, deployments.new_key()
        thread = self.submit_in_thread(0, key, deployments.job_body(6, 2.0))
        self.wait_for_runs(key, 6)
        known_s = self.evacuate()
        self.assertEqual({200}, set(self.load_for(1.0)))
        self.assertEqual([], self.runs_at(0, known_s))
        thread.join()
        self.assertEqual(200, self.answers[key][0])
        # What ran in the domain was neither stopped nor repeated.
        self.assertEqual({"done"}, {x["how"] for x in self.runs_of(key)})
        self.assertEqual(6, len(self.runs_of(key)))
        for name in ("scheduler-0", "scheduler-1", "runner-0", "runner-1"):
            lines = [
                x for x in deployment.log_lines(name) if "domain evacuated" in x
            ]
            self.assertEqual(1, len(lines), name)
        deployment.take_back(EVACUATED)
        self.wait_for_runs_at(0)
        self.assert_no_overlap()

    def test_restarted_processes_obey(self):
        """A process that starts inside the domain knows of no evacuation."""
        deployment = self.deployment
        known_s = self.evacuate()
        deployment.process("runner-0").kill()
        deployment.process("runner-0").wait(5.0)
        deployment.start_runner(0)
        self.load_for(1.5)
        self.assertEqual([], self.runs_at(0, known_s))

    def test_scheduler_that_starts_without_the_store(self):
        """It learns the evacuations from a peer before it serves jobs."""
        deployment = self.deployment
        known_s = self.evacuate()
        deployment.process("scheduler-1").kill()
        deployment.set_store_faults(down=True)
        deployment.process("scheduler-1").wait(5.0)
        deployment.start_scheduler(1)
        self.wait_until_served(1)
        self.assertEqual({200}, set(self.load_for(0.5)))
        self.assertEqual([], self.runs_at(0, known_s))
        lines = deployment.log_lines("scheduler-1")
        self.assertTrue(
            any("domain evacuated" in x and '"peer"' in x for x in lines)
        )

    def test_store_that_forgets_its_history(self):
        """What was written meanwhile is in no change that a watch returns."""
        deployment = self.deployment
        deployment.set_store_faults(down=True)
        time.sleep(2.0)
        deployment.evacuate(EVACUATED)
        deployment.call_control(deployment.store, "compact", {})
        deployment.set_store_faults()
        time.sleep(2.0)
        known_s = time.monotonic()
        self.load_for(0.5)
        self.assertEqual([], self.runs_at(0, known_s))
        deployment.take_back(EVACUATED)
        deployment.call_control(deployment.store, "compact", {})
        self.wait_for_runs_at(0)

    def test_all_domains(self):
        """Jobs that wait for an unknown time only miss theirs."""
        deployment = self.deployment
        for domain in deployment.domains():
            deployment.evacuate(domain)
        time.sleep(KNOWN_WITHIN_S)
        started_s = time.monotonic()
        for number in range(deployment.schedulers):
            key = deployments.new_key()
            status, body = deployment.submit(
                number, key, deployments.job_body(2, 0.1)
            )
            self.assertEqual((503, "evacuated"), (status, body["reason"]))
        self.assertLess(time.monotonic() - started_s, 0.5)
        for domain in deployment.domains():
            deployment.take_back(domain)
        deployment.wait_serving(5.0)

    def test_odd_requests_beside_a_configuration(self):
        """One of them must not hide the others or a configuration."""
        deployment = self.deployment
        put = {"key": "op/evacuate/zone-0", "data": "not base64"}
        deployment.call_control(deployment.store, "put", put)
        for domain in ("", "zone-1/x", "nowhere"):
            deployment.evacuate(domain)
        deployment.evacuate("zone-2", ["odd"])
        deployment.configure(5, routes=[])
        time.sleep(KNOWN_WITHIN_S)
        self.assertEqual({404}, set(self.submit_everywhere()))
        deployment.configure(6)
        known_s = time.monotonic() + KNOWN_WITHIN_S
        time.sleep(KNOWN_WITHIN_S)
        self.assertEqual({200}, set(self.submit_everywhere(tasks=4)))
        self.assertEqual([], self.runs_at(0, known_s))
        self.assertEqual([], self.runs_at(2, known_s))
        lines = deployment.log_lines("scheduler-0")
        for event, count in (
            ("evacuation key unreadable", 2),
            ("evacuation value unreadable", 2),
            ("domain evacuated", 3),
        ):
            found = [x for x in lines if event in x]
            self.assertEqual(count, len(found), event)


if __name__ == "__main__":
    unittest.main()
