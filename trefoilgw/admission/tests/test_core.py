"""Admission: what is granted, refused and dropped."""

import unittest

from trefoilgw import admission
from trefoilgw import outcomes
from trefoilgw.admission import refusing
from trefoilgw.admission.tests import records
from trefoilgw.messages import core as messages

Reason = outcomes.Reason


def gate_for(starts_s=400.0, running=50):
    """Returns an admission for one customer with two kinds."""
    gate = admission.Admission()
    gate.configure(
        records.configuration(
            [records.customer("c", starts_s=starts_s, running=running)],
            [records.kind("k", ("c",)), records.kind("k2", ("c",))],
        ),
        0.0,
    )
    return gate


class GrantTest(unittest.TestCase):
    def test_running_limit(self):
        """A customer over its running limit takes the whole fleet."""
        gate = gate_for()
        gate.offer(records.item("j", tasks=60), 0.0)
        grant = gate.next(88, 88, 0.0, "s")
        self.assertEqual(("j", 50), (grant.job, grant.credits))
        gate.started("j", 50, 0.0, tasks=50)
        gate.offer(records.item("other", kind_name="k2"), 0.0)
        self.assertIsNone(gate.next(38, 88, 0.0, "s"))
        gate.finished("c", "k", 10, 0.4, 0.4, "j")
        credits = 0
        while grant := gate.next(48 - credits, 88, 0.4, "s"):
            credits += grant.credits
            gate.started(grant.job, grant.credits, 0.4, grant.credits)
        self.assertEqual(10, credits)

    def test_job_without_agent_rests(self):
        """A job that no agent may take must not block or spin."""
        gate = gate_for()
        gate.offer(records.item("stuck"), 0.0)
        gate.offer(records.item("free", kind_name="k2"), 0.0)
        jobs = []
        while grant := gate.next(5, 5, 0.0, "s"):
            jobs.append(grant.job)
            sent = grant.job == "free"
            gate.started(grant.job, int(sent), 0.0, int(sent))
        self.assertEqual(["stuck", "free"], jobs)
        self.assertEqual("stuck", gate.next(5, 5, 0.1, "s").job)

    def test_removed_job_frees_its_flow(self):
        """An entry that sets a job aside must go on with the next one."""
        gate = gate_for()
        gate.offer(records.item("stuck"), 0.0)
        gate.offer(records.item("next"), 0.0)
        gate.started(gate.next(5, 5, 0.0, "s").job, 0, 0.0, 0)
        gate.remove("stuck")
        self.assertEqual("next", gate.next(5, 5, 0.0, "s").job)

    def test_started_without_tasks_means_all(self):
        gate = gate_for()
        gate.offer(records.item("j", tasks=20), 0.0)
        gate.started(gate.next(8, 8, 0.0, "s").job, 8, 0.0)
        self.assertEqual(0, gate.waiting("s"))
        gate.finished("c", "k", 8, 0.4, 1.0)
        self.assertEqual({}, gate.jobs)

    def test_configuration_changes_while_work_waits(self):
        """Accepted work must survive 680 changes a day."""
        gate = gate_for()
        gate.offer(records.item("j", tasks=4), 0.0)
        gate.configure(
            records.configuration(
                [records.customer("c")], [records.kind("k2", ("c",))]
            ),
            0.0,
        )
        gate.started(gate.next(2, 2, 0.0, "s").job, 2, 0.0, 2)
        self.assertEqual(2, gate.waiting("s"))
        gate.finished("c", "k", 2, 0.4, 0.4, "j")
        self.assertEqual("j", gate.next(2, 2, 0.4, "s").job)


class RefusalTest(unittest.TestCase):
    def test_quota_refusal_is_a_true_not_run(self):
        """A refused job that runs all the same would run twice."""
        gate = gate_for()
        accepted = [
            number
            for number in range(500)
            if isinstance(
                gate.offer(records.item(f"j{number}"), 0.0), admission.Queued
            )
        ]
        self.assertLess(len(accepted), 400)
        refused = gate.offer(records.item("late"), 0.0)
        self.assertEqual(Reason.QUOTA, refused.reason)
        self.assertIs(True, refused.not_run)
        self.assertGreater(refused.retry_after_s, 0.0)
        granted = set()
        while grant := gate.next(50, 88, 0.0, "s"):
            granted.add(grant.job)
            gate.started(grant.job, 0, 0.0)
        self.assertEqual({f"j{number}" for number in accepted}, granted)

    def test_retry_is_not_charged_again(self):
        """Struck tasks were paid for; refusing them fails the whole job."""
        gate = gate_for(starts_s=10.0)
        while isinstance(
            gate.offer(records.item(f"j{len(gate.jobs)}"), 0.0),
            admission.Queued,
        ):
            pass
        again = gate.offer(records.item("again"), 0.0, retry=True)
        self.assertIsInstance(again, admission.Queued)
        gate.started(gate.next(1, 1, 0.0, "s").job, 1, 0.0, 1)
        running = gate.offer(records.item("j0", tasks=2), 0.1)
        self.assertIsInstance(running, admission.Queued)

    def test_late_work(self):
        """Work that can't meet its deadline wastes slots."""
        gate = gate_for()
        gate.offer(records.item("first"), 0.0)
        gate.started(gate.next(8, 8, 0.0, "s").job, 1, 0.0)
        refused = gate.offer(records.item("j", deadline_s=0.3), 0.0)
        self.assertEqual(Reason.DEADLINE, refused.reason)
        gate.offer(records.item("j", deadline_s=1.0), 0.0)
        dropped = gate.next(8, 8, 0.7, "s")
        self.assertEqual("j", dropped.job)
        self.assertIs(True, dropped.refused.not_run)
        self.assertIsNone(gate.next(8, 8, 0.7, "s"))

    def test_learned_time_does_not_refuse_for_ever(self):
        """After one bad time of the target no task would teach it better."""
        gate = gate_for()
        slow = {"deadline_s": 10.0, "run_time_s": 20.0}
        gate.offer(records.item("j", **slow), 0.0)
        grant = gate.next(8, 8, 0.0, "s")
        self.assertEqual("j", grant.job)
        gate.started("j", 1, 0.0)
        self.assertEqual(
            Reason.DEADLINE, gate.offer(records.item("k", **slow), 0.0).reason
        )
        gate.finished("c", "k", 1, 20.0, 1.0, "j")
        self.assertEqual(
            Reason.DEADLINE, gate.offer(records.item("k", **slow), 2.0).reason
        )
        probe = gate.offer(records.item("k", **slow), 7.0)
        self.assertIsInstance(probe, admission.Queued)
        self.assertIsInstance(gate.next(8, 8, 7.0, "s"), admission.Grant)

    def test_dropped_after_a_part_was_sent(self):
        """A job with started tasks must never be called not run."""
        gate = gate_for()
        gate.offer(records.item("j", tasks=4, deadline_s=2.0), 0.0)
        gate.started(gate.next(1, 1, 0.0, "s").job, 1, 0.0, 1)
        gate.finished("c", "k", 1, 0.4, 1.9, "j")
        dropped = gate.next(1, 1, 1.9, "s")
        self.assertEqual(Reason.DEADLINE, dropped.refused.reason)
        self.assertIs(False, dropped.refused.not_run)

    def test_queue_is_bounded(self):
        """One flow must leave room in the queue for the others."""
        gate = gate_for(starts_s=1e9, running=10**6)
        answer = None
        for number in range(refusing.QUEUE_LIMIT_JOBS):
            answer = gate.offer(records.item(f"j{number}"), 0.0)
        self.assertEqual(Reason.OVERLOAD, answer.reason)
        self.assertIs(True, answer.not_run)
        self.assertEqual(refusing.QUEUE_LIMIT_JOBS // 2, gate.waiting_jobs)
        other = gate.offer(records.item("other", kind_name="k2"), 0.0)
        self.assertIsInstance(other, admission.Queued)

    def test_refused_callers_are_spread(self):
        """Callers refused together must not come back together."""
        refused = outcomes.Refused(Reason.OVERLOAD, True, "", 1.0)
        waits = sorted(
            refusing.spread(refused, number).retry_after_s
            for number in range(100)
        )
        gaps = [b - a for a, b in zip(waits, waits[1:], strict=False)]
        self.assertLess(max(gaps), 0.03)
        self.assertTrue(waits[0] >= 1.0 and waits[-1] < 2.0)


class UsageTest(unittest.TestCase):
    def offered(self, gate, start_s, count=400):
        """Returns how many of `count` tasks in one second are accepted."""
        accepted = 0
        for number in range(count):
            now_s = start_s + number / count
            item = records.item(f"{start_s}/{number}", now_s=now_s)
            answer = gate.offer(item, now_s)
            accepted += isinstance(answer, admission.Queued)
            gate.remove(item.job)
        return accepted

    def test_quota_is_split_by_demand(self):
        """Entries that don't share admit the quota once per entry."""
        gate = gate_for(starts_s=100.0)
        peer = (messages.CustomerDemand("c", 1200.0, 10),)
        for second in range(5):
            accepted = self.offered(gate, float(second))
            (own,) = gate.collect_demand(second + 1.0)
            gate.update_peer_usage("e2", peer, second + 1.0)
        self.assertAlmostEqual(400.0, own.starts_s, delta=20.0)
        self.assertAlmostEqual(25, accepted, delta=4)
        gate.remove_peer("e2")
        self.offered(gate, 5.0)
        self.assertAlmostEqual(100, self.offered(gate, 6.0), delta=5)

    def test_new_peer_takes_part_at_once(self):
        """A peer without demand so far still counts for the floor."""
        gate = gate_for(starts_s=100.0)
        gate.update_peer_usage("e2", (), 0.0)
        state = gate.customer_states["c"]
        self.assertEqual(50.0, state.quota.starts_s)
        limit = state.limit_tasks
        full = (messages.CustomerDemand("c", 0.0, limit),)
        gate.update_peer_usage("e2", full, 0.0)
        self.assertEqual(limit // 4, state.own_limit_tasks)


if __name__ == "__main__":
    unittest.main()
