"""Tests of fair queueing, guaranteed shares and the order of jobs."""

import collections
import heapq
import itertools
import unittest

import hypothesis
from hypothesis import strategies as st

from trefoilgw import admission
from trefoilgw.admission.tests import fixtures

TOTAL = 30
FLOWS = ("a", "b", "c")
RUN_S = 0.1


class Fleet:
    """Simulates agents that run the tasks granted by an `Admission`.

    Each credit runs one task at a time.
    """

    def __init__(self, weights=None, services=None, total=TOTAL):
        weights = weights or dict.fromkeys(FLOWS, 1.0)
        services = services or {}
        self.controller = admission.Admission()
        self.controller.configure(
            fixtures.make_configuration(
                [fixtures.make_customer("x")],
                [
                    fixtures.make_kind(
                        name, ("x",), weight, services.get(name, "s")
                    )
                    for name, weight in weights.items()
                ],
            ),
            0.0,
        )
        self.services = services
        self.service_names = sorted(
            {services.get(name, "s") for name in weights}
        )
        self.total = self.free = total
        self.now_s = 0.0
        self.numbers = itertools.count()
        self.running = []
        self.accepted_items = {}
        self.done = collections.Counter()
        self.held = collections.Counter()
        self.dropped = []
        self.started_at = {}

    def offer(self, kind, tasks=1, run_s=RUN_S, deadline_s=1e9):
        job = f"{kind}/{next(self.numbers)}"
        item = fixtures.make_item(
            job,
            "x",
            kind,
            tasks,
            self.now_s,
            service=self.services.get(kind, "s"),
            run_time_s=run_s,
            deadline_s=self.now_s + deadline_s,
        )
        answer = self.controller.offer(item, self.now_s)
        if isinstance(answer, admission.Queued):
            self.accepted_items[job] = item
        return answer

    def next(self, service="s"):
        return self.controller.next(self.free, self.total, self.now_s, service)

    def dispatch(self):
        for service in self.service_names:
            while step := self.next(service):
                if isinstance(step, admission.Dropped):
                    self.dropped.append(step)
                    del self.accepted_items[step.job]
                else:
                    self.start(step)

    def start(self, grant):
        if not 1 <= grant.credits <= min(self.free, grant.tasks):
            raise AssertionError(f"bad grant {grant}, free {self.free}")
        self.started_at.setdefault(grant.job, self.now_s)
        kind = grant.job.split("/")[0]
        run_s = self.accepted_items[grant.job].run_time_s
        tasks = [0] * grant.credits
        for number in range(grant.tasks):
            tasks[number % grant.credits] += 1
        for count in tasks:
            end_s = self.now_s + count * run_s
            entry = (end_s, next(self.numbers), grant.job, kind, count)
            heapq.heappush(self.running, entry)
        self.free -= grant.credits
        self.held[kind] += grant.credits
        self.controller.started(
            grant.job, grant.credits, self.now_s, grant.tasks
        )

    def run_to(self, until_s):
        self.dispatch()
        while self.running and self.running[0][0] <= until_s:
            self.now_s, _, job, kind, count = heapq.heappop(self.running)
            self.free += 1
            self.held[kind] -= 1
            self.done[kind] += count
            run_s = self.accepted_items[job].run_time_s
            self.controller.finished("x", kind, 1, run_s, self.now_s, job)
            self.dispatch()
        self.now_s = until_s

    def flood(self, kind, tasks_s, from_s, until_s, each=lambda: None):
        """Offers single tasks at a rate and calls `each` before each task."""
        for step in range(int((until_s - from_s) * tasks_s)):
            self.run_to(from_s + step / tasks_s)
            each()
            self.offer(kind)
            self.dispatch()


class ShareTest(unittest.TestCase):
    @hypothesis.given(
        st.dictionaries(
            st.sampled_from(FLOWS), st.floats(0.1, 8.0), min_size=3
        ),
        st.lists(
            st.tuples(st.sampled_from(FLOWS), st.integers(1, 40)),
            max_size=40,
        ),
        st.integers(0, 30),
    )
    @hypothesis.example(
        {"a": 0.25, "b": 0.1, "c": 0.25},
        [("b", 5), ("a", 13), ("a", 13), ("b", 5), ("c", 1)],
        4,
    )
    def test_flow_below_its_share_is_served_before_a_flood(
        self, weights, offers, steps
    ):
        """Free credits must first go to flows below their guaranteed share."""
        fleet = Fleet(weights)
        for kind, tasks in offers:
            fleet.offer(kind, tasks)
        total_weight = sum(weights.values())
        for _ in range(steps):
            step = fleet.next()
            if step is None:
                break
            kind = step.job.split("/")[0]
            below_share = {
                name
                for name in weights
                if fleet.held[name]
                < max(1.0, TOTAL * weights[name] / total_weight - 1e-9)
                and any(
                    state.waiting and state.item.kind == name
                    for state in fleet.controller.jobs.values()
                )
            }
            if below_share:
                self.assertIn(kind, below_share)
            fleet.start(step)

    def test_flood_does_not_delay_other_flows(self):
        """Whichever flow floods, the others must be served without delay."""
        for flooding in FLOWS:
            with self.subTest(flooding=flooding):
                fleet = Fleet()
                others = [name for name in FLOWS if name != flooding]
                calls = itertools.count()
                offered = collections.Counter()

                def offer_small_jobs(
                    fleet=fleet, others=others, calls=calls, n=offered
                ):
                    number = next(calls)
                    # 60 small jobs/s in each other flow: 20% of the capacity.
                    if number % 50 == 0:
                        for name in others:
                            fleet.offer(name)
                            n[name] += 1

                fleet.flood(flooding, 3000.0, 0.0, 3.0, offer_small_jobs)
                fleet.run_to(6.0)
                for name in others:
                    self.assertEqual(offered[name], fleet.done[name])
                waits = [
                    at_s - fleet.accepted_items[job].arrived_s
                    for job, at_s in fleet.started_at.items()
                    if job.split("/")[0] in others
                ]
                self.assertLess(max(waits), RUN_S)
                self.assertGreater(fleet.done[flooding], 400)

    def test_flow_above_its_share_is_served_before_a_flood(self):
        """A flood may only use what other flows leave of unused shares."""
        fleet = Fleet({"a": 1.0, "b": 1.0, "c": 1.0, "d": 1.0})
        calls = itertools.count()

        def offer_small_jobs():
            if next(calls) % 17 == 0:
                fleet.offer("b")

        # 176 small jobs/s of 0.1 s need 17.6 of 30 credits. The guaranteed
        # share is 7.5 credits, an even share with the flood would be 15.
        fleet.flood("a", 3000.0, 0.0, 4.0, offer_small_jobs)
        waits = sorted(
            at_s - fleet.accepted_items[job].arrived_s
            for job, at_s in fleet.started_at.items()
            if job.startswith("b")
        )
        self.assertGreaterEqual(len(waits), 700)
        self.assertEqual([], [d for d in fleet.dropped if d.job[0] == "b"])
        self.assertLess(waits[-1], RUN_S)

    def test_flow_within_its_share_is_not_refused_during_a_flood(self):
        """A flow that waits only because of others must not be refused."""
        fleet = Fleet()
        fleet.offer("a", 310, run_s=20.0)
        fleet.dispatch()
        fleet.offer("c", fleet.free, run_s=200.0)
        fleet.dispatch()
        self.assertEqual(0, fleet.free)
        for step in range(80):
            fleet.run_to(step * 0.5)
            answer = fleet.offer("b", run_s=1.0)
            self.assertIsInstance(answer, admission.Queued)
        fleet.run_to(300.0)
        self.assertEqual([], fleet.dropped)
        self.assertEqual(80, fleet.done["b"])

    def test_flood_of_another_service_on_the_same_agents(self):
        """The service that is served first must not get all shared slots."""
        for flooding in ("a", "b"):
            with self.subTest(flooding=flooding):
                other = "b" if flooding == "a" else "a"
                fleet = Fleet(
                    {"a": 1.0, "b": 1.0}, {"a": "first", "b": "second"}
                )
                fleet.flood(flooding, 3000.0, 0.0, 1.0)
                for _ in range(10):
                    fleet.offer(other)
                fleet.run_to(1.0 + 2 * RUN_S)
                self.assertEqual(10, fleet.done[other])

    def test_services_on_different_agents_do_not_compete(self):
        """Work must not wait for credits that it can't use."""
        fleet = Fleet({"a": 1.0, "b": 1.0}, {"a": "first", "b": "second"})
        fleet.controller.set_pools({"first": "first", "second": "second"})
        for _ in range(40):
            fleet.offer("a")
        fleet.offer("b")
        for _ in range(TOTAL):
            self.assertTrue(fleet.next("first").job.startswith("a"))
            fleet.start(fleet.next("first"))
        fleet.free = 1
        self.assertTrue(fleet.next("second").job.startswith("b"))

    def test_flooding_flows_share_by_weight(self):
        """If all flows flood, each must get credits by its weight."""
        fleet = Fleet({"a": 4.0, "b": 2.0, "c": 1.0})
        for step in range(4000):
            fleet.run_to(step / 1000.0)
            for name in FLOWS:
                fleet.offer(name)
            fleet.dispatch()
        total = sum(fleet.done.values())
        self.assertAlmostEqual(4 / 7, fleet.done["a"] / total, delta=0.06)
        self.assertAlmostEqual(1 / 7, fleet.done["c"] / total, delta=0.06)
        self.assertGreater(total, 0.85 * 4.0 * TOTAL / RUN_S)

    def test_weights_below_one_credit(self):
        """With more flows than credits, only the order can follow weights."""
        weights = {f"l{i}": 1.0 for i in range(12)}
        weights |= {f"h{i}": 3.0 for i in range(12)}
        fleet = Fleet(weights, total=6)
        for step in range(400):
            fleet.run_to(step * 0.05)
            for name in weights:
                fleet.offer(name)
            fleet.dispatch()
        heavy = sum(n for name, n in fleet.done.items() if name[0] == "h")
        light = sum(n for name, n in fleet.done.items() if name[0] == "l")
        self.assertAlmostEqual(3.0, heavy / light, delta=0.4)

    def test_single_flow_uses_all_credits(self):
        """Unused shares must be lent; only a flood leaves the reserve free."""
        for jobs, free in ((1, 0), (20, TOTAL // 10)):
            with self.subTest(jobs=jobs):
                fleet = Fleet()
                for _ in range(jobs):
                    fleet.offer("a", 310)
                fleet.dispatch()
                self.assertEqual(free, fleet.free)

    def test_reclaim_frees_credits(self):
        """A large job must return lent credits when another flow waits."""
        fleet = Fleet()
        fleet.offer("a", 310)
        fleet.dispatch()
        self.assertEqual(0, fleet.free)
        for _ in range(20):
            fleet.offer("b")
        reclaims = fleet.controller.reclaim(fleet.now_s)
        credits = sum(item.credits for item in reclaims)
        self.assertEqual(TOTAL // 2, credits)
        self.assertEqual({"a/0"}, {item.job for item in reclaims})
        self.assertEqual((), fleet.controller.reclaim(fleet.now_s + 0.1))
        again = fleet.controller.reclaim(fleet.now_s + 1.5)
        self.assertLessEqual(sum(item.credits for item in again), TOTAL // 2)


class OrderTest(unittest.TestCase):
    def test_small_job_is_served_before_a_large_one(self):
        """A small job must not wait for a job of 310 tasks in its flow."""
        fleet = Fleet(total=1)
        fleet.offer("a")
        fleet.dispatch()
        large = fleet.offer("a", 310)
        small = fleet.offer("a")
        fleet.run_to(1.5 * RUN_S)
        self.assertIn(small.job, fleet.started_at)
        fleet.run_to(2.5 * RUN_S)
        self.assertIn(large.job, fleet.started_at)

    def test_large_job_is_not_starved(self):
        """Small jobs must not overtake a large job forever."""
        fleet = Fleet(total=4)
        fleet.offer("a", 4, run_s=5.0)
        fleet.offer("b", 4, run_s=1.0)
        fleet.dispatch()
        large = fleet.offer("a", 60)
        for step in range(400):
            fleet.run_to(step * 0.05)
            for _ in range(2):
                fleet.offer("a")
            fleet.dispatch()
        self.assertIn(large.job, fleet.started_at)

    @hypothesis.given(
        st.lists(
            st.tuples(
                st.sampled_from(FLOWS),
                st.integers(1, 60),
                st.sampled_from((0.01, 0.1, 1.0)),
                st.sampled_from((0.0, 0.05, 0.5)),
                st.integers(0, 9),
            ),
            min_size=1,
            max_size=60,
        )
    )
    def test_every_job_ends_and_nothing_is_left(self, offers):
        """A job that stays in a queue would miss its deadline.

        Also guards against sums that drift: credits or tasks that are still
        counted for finished work reduce the shares of the other flows.
        """
        fleet = Fleet()
        accepted = set()
        removed = set()
        for kind, tasks, run_s, wait_s, remove in offers:
            fleet.run_to(fleet.now_s + wait_s)
            answer = fleet.offer(kind, tasks, run_s)
            if isinstance(answer, admission.Queued):
                accepted.add(answer.job)
                if remove == 0:
                    fleet.controller.remove(answer.job)
                    removed.add(answer.job)
        fleet.run_to(fleet.now_s + 1000.0)
        dropped = {step.job for step in fleet.dropped}
        started = set(fleet.started_at)
        self.assertEqual(accepted, started | dropped | removed)
        self.assertFalse(dropped & started)
        self.assertTrue(all(step.refused.not_run for step in fleet.dropped))
        pool = fleet.controller.all_pools.pool_of("s")
        self.assertEqual(TOTAL, fleet.free)
        self.assertEqual({}, fleet.controller.jobs)
        self.assertEqual(0, fleet.controller.waiting("s"))
        self.assertEqual(0, fleet.controller.waiting_jobs)
        self.assertEqual(0, pool.active_flows)
        self.assertAlmostEqual(0.0, pool.waiting_weight)
        self.assertEqual(0, fleet.controller.customer_states["x"].running)


if __name__ == "__main__":
    unittest.main()
