"""Admission: what is granted, refused and dropped."""

import types
import unittest

from trefoilgw import admission
from trefoilgw import outcomes


def customer(name, weight=1.0, starts_s=1000.0, running=1000):
    return types.SimpleNamespace(
        name=name,
        weight=weight,
        starts_s=starts_s,
        running_limit_tasks=running,
        status="active",
    )


def kind(name, customers, weight=1.0, urgency="normal"):
    return types.SimpleNamespace(
        name=name,
        service="s",
        customers=customers,
        urgency=urgency,
        weight=weight,
        deadline_s=30.0,
        run_time_s=0.4,
        idempotent=False,
    )


def configuration(customers, kinds):
    return types.SimpleNamespace(
        customers=tuple(customers), kinds=tuple(kinds), revision=1
    )


def item(job, customer_name="c", kind_name="k", tasks=1, now_s=0.0, **fields):
    """Returns a work item with a deadline in 30 s."""
    values = {
        "service": "s",
        "weight": 1.0,
        "urgency": "normal",
        "arrived_s": now_s,
        "deadline_s": now_s + 30.0,
        "run_time_s": 0.4,
    }
    values.update(fields)
    return admission.WorkItem(
        job, customer_name, kind_name, tasks=tasks, **values
    )


class AdmissionTest(unittest.TestCase):
    def setUp(self):
        self.gate = admission.Admission()
        self.gate.configure(
            configuration(
                [customer("c", starts_s=400.0, running=50)],
                [kind("k", ("c",)), kind("k2", ("c",))],
            ),
            0.0,
        )

    def test_grant_and_running_limit(self):
        """A customer over its running limit takes the whole fleet."""
        self.gate.offer(item("j", tasks=60), 0.0)
        grant = self.gate.next(88, 88, 0.0, "s")
        self.assertEqual(("j", 50), (grant.job, grant.credits))
        self.gate.started("j", 50, 0.0, tasks=50)
        self.assertIsNone(self.gate.next(38, 88, 0.0, "s"))
        self.gate.finished("c", "k", 10, 0.4, 0.4, "j")
        self.assertEqual(10, self.gate.next(48, 88, 0.4, "s").credits)

    def test_quota_refusal_is_a_true_not_run(self):
        """A refused job that runs all the same would run twice."""
        accepted = [
            number
            for number in range(500)
            if isinstance(
                self.gate.offer(item(f"j{number}"), 0.0), admission.Queued
            )
        ]
        self.assertLess(len(accepted), 400)
        refused = self.gate.offer(item("late"), 0.0)
        self.assertEqual(outcomes.Reason.QUOTA, refused.reason)
        self.assertIs(True, refused.not_run)
        self.assertGreater(refused.retry_after_s, 0.0)
        granted = set()
        while grant := self.gate.next(50, 88, 0.0, "s"):
            granted.add(grant.job)
            self.gate.started(grant.job, 0, 0.0)
        self.assertEqual({f"j{number}" for number in accepted}, granted)

    def test_late_work(self):
        """Work that can't meet its deadline wastes slots."""
        self.gate.offer(item("first"), 0.0)
        self.gate.next(8, 8, 0.0, "s")
        self.gate.started("first", 1, 0.0)
        refused = self.gate.offer(item("j", deadline_s=0.3), 0.0)
        self.assertEqual(outcomes.Reason.DEADLINE, refused.reason)
        self.gate.offer(item("j", deadline_s=1.0), 0.0)
        dropped = self.gate.next(8, 8, 0.7, "s")
        self.assertEqual("j", dropped.job)
        self.assertIs(True, dropped.refused.not_run)
        self.assertIsNone(self.gate.next(8, 8, 0.7, "s"))


if __name__ == "__main__":
    unittest.main()
