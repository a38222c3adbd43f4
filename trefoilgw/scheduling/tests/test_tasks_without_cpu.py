"""Tests of tasks that need no CPU, beside tasks that take all of it."""

import unittest

from trefoilgw.messages import runs as messages
from trefoilgw.scheduling import jobs
from trefoilgw.scheduling.tests import fixtures
from trefoilgw.work import core as work

CPU_TASK = work.Demand(1000, 64, 0)
MEMORY_TASK = work.Demand(0, 64, 0)


def job(key, *demands):
    """Returns a job of tasks with some demands."""
    specs = tuple(
        work.TaskSpec(f"{key}.0.0.{index}", demand, 0.4)
        for index, demand in enumerate(demands)
    )
    return work.JobSpec(key, fixtures.QUEUE, "payload", specs)


class PlacementTest(unittest.TestCase):
    def test_job_whose_other_tasks_take_all_cpu(self):
        """Its last task failed the submission, and all later ones with it."""
        scheduler = fixtures.make_scheduler("r1")
        spec = job("j", *[CPU_TASK] * 4, MEMORY_TASK)
        self.assertIsInstance(scheduler.submit(spec, 1, 0.0), jobs.Job)
        self.assertEqual(5, len(fixtures.sent(scheduler.take_actions())))
        self.assertEqual(1000 * 4, scheduler.runner_views["r1"].used())

    def test_task_that_waits_gets_an_offer_without_cpu(self):
        """All CPU stays in use while there is more work than room."""
        scheduler = fixtures.make_scheduler("r1", free=fixtures.NO_CAPACITY)
        for key in ("j", "k"):
            scheduler.submit(job(key, MEMORY_TASK), 1, 0.0)
        self.assertEqual([], fixtures.sent(scheduler.take_actions()))
        offer = messages.Offer(1, 7, messages.Room(0, 128, 0))
        scheduler.capacity_offered("r1", offer, 0.01)
        sent = fixtures.sent(scheduler.take_actions())
        self.assertEqual(["j.0.0.0", "k.0.0.0"], [x[1] for x in sent])


if __name__ == "__main__":
    unittest.main()
