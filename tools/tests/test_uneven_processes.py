"""End-to-end tests of uneven and refusing targets, with real processes."""

import re
import time

from tools import deployments
from tools.tests import test_platform_faults

# Run time of a task; the calls and polls of a run take far less.
RUN_S = 0.2
TASKS = 6


class UnevenProcessesTest(test_platform_faults.PlatformTestCase):
    def metric(self, ip, name):
        """Returns the value of a metric at a host, None if it has none."""
        text = self.deployment.metrics(ip)
        found = re.search(rf"^trefoilgw_{name}(?:{{.*}})? (\S+)$", text, re.M)
        return float(found.group(1)) if found else None

    def submit_some(self, count):
        """Submits jobs at a time; returns their states."""
        keys = [deployments.new_key() for _ in range(count)]
        body = deployments.job_body(TASKS, RUN_S)
        threads = [self.submit_in_thread(0, x, body) for x in keys]
        for thread in threads:
            thread.join()
        return [self.answers[x][1].get("state") for x in keys]

    def test_scheduler_learns_the_speed_of_a_slow_target(self):
        """The speed must reach the schedulers with the capacity reports."""
        deployment = self.deployment
        deployment.set_target_faults(0, slow=2.0)
        scheduler_ip = deployment.scheduler_ip(0)
        deadline_s = time.monotonic() + 20.0
        while (self.metric(scheduler_ip, "targets_uneven") or 0) < 1.0:
            self.submit_some(3)
            self.assertLess(time.monotonic(), deadline_s, "speed not reported")
        ratio = self.metric(scheduler_ip, "target_speed_ratio")
        self.assertGreater(ratio, 1.4)
        slow, sound = (
            self.metric(deployment.runner_ip(x), "target_slowness")
            for x in (0, 1)
        )
        self.assertGreater(slow, 1.4 * sound)

    def test_target_that_refuses_as_unhealthy_gets_probes_only(self):
        """Each refused start costs a round trip and delays its task."""
        deployment = self.deployment
        self.submit_some(1)
        deployment.set_target_faults(0, refuse_starts=True)
        states = []
        for _ in range(12):
            states += self.submit_some(1)
        self.assertEqual({"completed"}, set(states))
        lines = deployment.log_lines("runner-0")
        refused = [x for x in lines if '"unhealthy"' in x]
        self.assertTrue(any('"target in doubt"' in x for x in lines))
        self.assertLess(len(refused), 12 * TASKS / 4)
