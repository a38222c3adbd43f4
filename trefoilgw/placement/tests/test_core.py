"""Tests of placement, batching, lending and the baseline policies."""

import collections
import random
import unittest

import hypothesis
from hypothesis import strategies as st

from trefoilgw import placement
from trefoilgw.messages import core as messages
from trefoilgw.placement import batching


def make_placement(count=11, credits=8, entry="e1", domain="d0", domains=3):
    """Returns a placement with `count` agents of `credits` free credits."""
    place = placement.Placement(random.Random(1), entry, domain)
    for number in range(count):
        agent = f"a{number:02}"
        place.agent_joined(agent, f"d{number % domains}", ("s",), 8)
        place.credits_granted(agent, credits)
    return place


class PlaceTest(unittest.TestCase):
    def test_large_job_sends_one_batch_per_agent(self):
        """A second batch to the same agent would waste messages."""
        place = make_placement()
        got = place.place("s", 310, 88, (), 0.0)
        self.assertEqual(11, len({item.agent for item in got}))
        self.assertEqual(11, len(got))
        self.assertEqual(310, sum(item.tasks for item in got))
        self.assertEqual({8}, {item.concurrency for item in got})
        self.assertLessEqual(max(item.tasks for item in got), 29)
        self.assertEqual(0, place.free("s"))
        self.assertEqual(88, place.total("s"))

    def test_agents_of_own_domain_are_preferred(self):
        """An avoidable hop to another failure domain adds latency."""
        place = make_placement(9)
        got = [place.place("s", 1, 1, (), 0.0)[0] for _ in range(25)]
        near = {item.agent for item in got[:24]}
        self.assertEqual({"a00", "a03", "a06"}, near)
        self.assertNotIn(got[24].agent, near)

    def test_avoided_agents_are_not_assigned_tasks(self):
        """A retry must not go to the agent that has just refused it."""
        place = make_placement(3)
        got = place.place("s", 40, 24, {"a00", "a01"}, 0.0)
        self.assertEqual({"a02"}, {item.agent for item in got})
        self.assertEqual((), place.place("s", 1, 1, {"a00", "a01"}, 0.0))

    def test_spends_no_more_credits_than_granted(self):
        """Spending more credits than granted would break fair sharing."""
        place = make_placement()
        got = place.place("s", 100, 5, (), 0.0)
        self.assertEqual(5, sum(item.concurrency for item in got))
        self.assertEqual(83, place.free("s"))

    def test_unusable_agents_are_not_counted(self):
        place = make_placement(2)
        place.set_agent_usable("a00", False)
        self.assertEqual((8, 8), (place.free("s"), place.total("s")))
        place.start_probation("a00")
        self.assertEqual(9, place.free("s"))
        place.set_agent_usable("a00", True)
        self.assertEqual(16, place.free("s"))
        place.agent_left("a01")
        self.assertEqual((8, 8), (place.free("s"), place.total("s")))
        self.assertEqual(0, place.free("other"))


class ChoiceTest(unittest.TestCase):
    def test_slow_agents_are_assigned_fewer_tasks(self):
        """Tasks on a slow agent delay the response of the whole job."""
        place = make_placement(4, domains=1)
        for number in range(400):
            agent = f"a{number % 4:02}"
            place.observe("k", agent, 1.2 if agent == "a00" else 0.4)
        counts = collections.Counter()
        for _ in range(16):
            (part,) = place.place("s", 1, 1, (), 0.0, "k")
            counts[part.agent] += 1
        self.assertLess(counts["a00"], 3)
        self.assertAlmostEqual(0.6, place.run_time_s("k"), delta=0.1)

    def starts_of(self, place, run_s, count=600):
        """Places single tasks in sequence and counts them by agent."""
        starts = collections.Counter()
        for _ in range(count):
            (item,) = place.place("s", 1, 1, (), 0.0)
            starts[item.agent] += 1
            place.credits_granted(item.agent, 1)
            place.observe("k", item.agent, run_s(item.agent))
        return starts

    def test_varying_run_times_leave_no_agent_idle(self):
        """Long first tasks must not keep an agent from further tasks."""
        place = make_placement(6, domains=1)
        place.observe("k", "a00", 0.4)
        place.observe("k", "a05", 2.0)
        starts = self.starts_of(place, lambda agent: 0.4)
        for number in range(6):
            self.assertGreater(starts[f"a{number:02}"], 50, starts)

    def test_recovered_agent_is_assigned_tasks_again(self):
        """Without tasks, a slow agent could not show its recovery."""
        place = make_placement(4, domains=1)
        self.starts_of(place, lambda agent: 4.0 if agent == "a00" else 0.2)
        slow = self.starts_of(
            place, lambda agent: 4.0 if agent == "a00" else 0.2
        )
        self.assertLess(slow["a00"], 60, slow)
        self.starts_of(place, lambda agent: 0.2)
        starts = self.starts_of(place, lambda agent: 0.2)
        self.assertGreater(starts["a00"], 90, starts)

    def test_slow_agent_of_own_domain_is_not_preferred(self):
        """A hop of 0.5 ms costs less than a task that runs twice as long."""
        place = make_placement(3)
        for number in range(300):
            agent = f"a{number % 3:02}"
            place.observe("k", agent, 1.2 if agent == "a00" else 0.4)
        got = [place.place("s", 1, 1, (), 0.0)[0].agent for _ in range(8)]
        self.assertNotIn("a00", got)

    def test_one_long_task_does_not_make_an_agent_slow(self):
        place = make_placement(2)
        for _ in range(50):
            place.observe("k", "a00", 0.4)
        place.observe("k", "a00", 5.0)
        self.assertEqual(1.0, place.book.states["a00"].effective_slowness)

    def test_probation_limits_the_rate_of_tasks(self):
        """An agent that fails tasks at once must not attract more of them."""
        place = make_placement(2, domains=1)
        place.start_probation("a00")
        sent = []
        for step in range(3000):
            now_s = step / 1000.0
            for part in place.place("s", 310, 16, (), now_s):
                if part.agent == "a00":
                    sent.append((now_s, part.tasks))
                place.credits_granted(part.agent, part.concurrency)
        self.assertGreaterEqual(len(sent), 9)
        self.assertLessEqual(len(sent), 11)
        self.assertEqual({1}, {tasks for _, tasks in sent})
        place.set_agent_usable("a00", True)
        self.assertEqual(16, place.free("s"))

    def test_baselines_ignore_credits(self):
        """A baseline bounded by credits would invalidate the comparison."""
        for policy in list(placement.Policy)[1:]:
            with self.subTest(policy=policy):
                place = placement.Placement(
                    random.Random(1), "e1", "d0", policy
                )
                for number in range(4):
                    place.agent_joined(f"a{number}", "d0", ("s",), 8)
                place.load_reported("a3", 100)
                got = place.place("s", 40, 40, {"a0"}, 0.0)
                counts = {item.agent: item.tasks for item in got}
                self.assertEqual(40, sum(counts.values()))
                self.assertNotIn("a0", counts)
                if policy is placement.Policy.LEAST_BUSY:
                    self.assertEqual({"a1": 20, "a2": 20}, counts)
                else:
                    self.assertEqual(3, len(counts))
                self.assertEqual(32, place.free("s"))

    def test_services_that_share_agents_form_one_pool(self):
        """Admission must order the flows of such services together."""
        place = placement.Placement(random.Random(1))
        for agent, services in (
            ("a", ("p", "q")),
            ("b", ("r", "q")),
            ("c", ("x",)),
        ):
            place.agent_joined(agent, "d0", services, 8)
        pools = place.pools()
        self.assertEqual(1, len({pools[name] for name in "pqr"}))
        self.assertNotEqual(pools["p"], pools["x"])


class BatchingTest(unittest.TestCase):
    @hypothesis.given(
        st.integers(1, 310),
        st.lists(st.floats(0.25, 8.0), min_size=1, max_size=30),
    )
    def test_split_keeps_all_tasks_in_proportion(self, tasks, speeds):
        """A lost or duplicated task would break the job."""
        tasks = max(tasks, len(speeds))
        parts = batching.split(tasks, speeds)
        self.assertEqual(tasks, sum(parts))
        self.assertGreaterEqual(min(parts), 1)
        spare = tasks - len(speeds)
        for part, speed in zip(parts, speeds, strict=True):
            exact = 1 + spare * speed / sum(speeds)
            self.assertLess(abs(part - exact), 1.0)

    @hypothesis.given(
        st.integers(1, 310),
        st.integers(1, 88),
        st.integers(1, 11),
        st.floats(0.0, 10.0),
    )
    def test_tasks_to_send_is_within_bounds(
        self, tasks, credits, batches, run_s
    ):
        sent = batching.tasks_to_send(tasks, credits, batches, 88, run_s)
        self.assertTrue(min(tasks, credits) <= sent <= tasks)

    def test_tasks_are_held_back_for_later_credits(self):
        """A job sent whole on few credits would end long after the others."""
        cases = (
            # (case, tasks, credits, batches, run time, least, most)
            ("all credits", 310, 88, 11, 0.5, 310, 310),
            ("nearly all credits", 310, 80, 11, 0.5, 310, 310),
            ("a third, long tasks", 310, 29, 11, 0.5, 100, 120),
            ("a third, short tasks", 310, 29, 11, 0.035, 310, 310),
            ("one credit, long tasks", 310, 1, 1, 0.5, 4, 4),
            ("one credit, short tasks", 310, 1, 1, 0.035, 30, 64),
            ("fewer than credits", 5, 29, 3, 0.5, 5, 5),
        )
        for case, tasks, credits, batches, run_s, least, most in cases:
            with self.subTest(case=case):
                sent = batching.tasks_to_send(
                    tasks, credits, batches, 88, run_s
                )
                self.assertTrue(least <= sent <= most, sent)


class LendingTest(unittest.TestCase):
    def test_lent_credits_name_their_lender(self):
        """The agent needs the lender to debit the right account."""
        lender = make_placement(2, entry="e1")
        borrower = make_placement(2, credits=0, entry="e2")
        ask = borrower.next_ask(0.0, {"e1": 16})
        self.assertEqual(placement.Ask("e1", 8), ask)
        lent = lender.lend(ask.credits)
        self.assertEqual((), borrower.credits_borrowed(lent))
        self.assertEqual((8, 8), (lender.free("s"), borrower.free("s")))
        (got,) = borrower.place("s", 1, 1, (), 0.0)
        self.assertEqual("e1", got.lender)
        borrower.credits_granted(got.agent, 1)
        self.assertEqual(8, borrower.total("s"))

    def test_own_credits_lent_back_have_no_lender(self):
        """This entry must not name itself as the lender."""
        place = make_placement(1, credits=2, entry="e1")
        place.place("s", 1, 1, (), 0.0)
        place.credits_borrowed((messages.LentCredits("a00", "e1", 3),), "e2")
        self.assertEqual((4, 5), (place.free("s"), place.total("s")))
        self.assertEqual("", place.place("s", 1, 1, (), 0.0)[0].lender)

    def test_credits_of_a_terminated_lender_are_removed(self):
        """Agents grant them anew and would refuse a batch that spends them."""
        place = make_placement(1, credits=2, entry="e2")
        place.credits_borrowed((messages.LentCredits("a00", "e1", 3),))
        self.assertEqual(5, place.free("s"))
        place.entry_left("e1")
        self.assertEqual(2, place.free("s"))

    def test_credits_of_an_unknown_agent_are_handed_back(self):
        """A credit held by an entry that cannot spend it would be lost."""
        place = make_placement(1, entry="e2")
        item = messages.LentCredits("zz", "e1", 3)
        self.assertEqual((item,), place.credits_borrowed((item,)))

    def test_one_open_ask_per_peer(self):
        """A second ask before the answer would only double the messages."""
        place = make_placement(1, credits=0, entry="e2")
        self.assertEqual("e1", place.next_ask(0.0, {"e1": 9, "e3": 5}).entry)
        self.assertEqual("e3", place.next_ask(0.001, {"e1": 9, "e3": 5}).entry)
        self.assertIsNone(place.next_ask(0.002, {"e1": 9, "e3": 5}))
        place.credits_borrowed((messages.LentCredits("a00", "e1", 1),), "e1")
        self.assertEqual("e1", place.next_ask(0.003, {"e1": 9, "e3": 5}).entry)

    def test_unsent_credits_become_free_again(self):
        """Taking them back must not count as an answer to an open ask."""
        place = make_placement(1, credits=4, entry="e2")
        self.assertIsNotNone(place.next_ask(0.0, {"e1": 9}))
        lent = place.lend(2, "e3", 0.0)
        self.assertEqual(2, place.free("s"))
        self.assertEqual((), place.take_back(lent))
        self.assertEqual((4, 4), (place.free("s"), place.total("s")))
        self.assertIsNone(place.next_ask(0.002, {"e1": 9}))

    def test_empty_answer_starts_backoff(self):
        """Repeated asks to a peer without credits would waste messages."""
        place = make_placement(1, credits=0, entry="e2")
        self.assertIsNotNone(place.next_ask(0.0, {"e1": 9}))
        place.credits_borrowed(())
        self.assertIsNone(place.next_ask(0.002, {"e1": 9}))
        self.assertIsNone(place.next_ask(0.03, {"e1": 3}))
        self.assertIsNotNone(place.next_ask(0.03, {"e1": 9}))

    def test_ask_rate_is_limited(self):
        """Under overload, asks would only pass the same credits around."""
        place = make_placement(1, credits=0, entry="e2")
        asks = 0
        for step in range(10_000):
            if place.next_ask(step / 1000.0, {"e1": 9}) is not None:
                asks += 1
                place.credits_borrowed((), "e1")
                place.ask_pacer.peers.clear()
        self.assertLessEqual(asks, 10 * 10 + 20)

    def test_deferred_ask_is_met_later(self):
        """An ask to a peer without free credits must not need repeating."""
        lender = make_placement(1, credits=2, entry="e1")
        (part,) = lender.place("s", 2, 2, (), 0.0)
        self.assertEqual((), lender.lend(3, "e2", 0.0))
        self.assertIsNone(lender.lend_deferred(0.0, waiting=0))
        lender.credits_granted(part.agent, 2)
        self.assertIsNone(lender.lend_deferred(0.1, waiting=5))
        entry, lent = lender.lend_deferred(0.1, waiting=0)
        self.assertEqual(("e2", 1), (entry, sum(i.credits for i in lent)))
        lender.credits_granted(part.agent, 6)
        self.assertIsNone(lender.lend_deferred(0.1, waiting=0))
        lender.lend(9, "e3", 0.2)
        lender.credits_granted(part.agent, 4)
        self.assertIsNone(lender.lend_deferred(0.8, waiting=0))

    def test_overloaded_entry_lends_credits_above_its_share(self):
        """An overloaded entry must give back credits that it borrowed."""
        overloaded = make_placement(4, credits=8, entry="e1")
        overloaded.next_ask(0.0, {"e2": 0, "e3": 0, "e4": 0})
        parts = overloaded.place("s", 310, 32, (), 0.0)
        overloaded.lend(4, "e2", 0.0)
        overloaded.credits_granted(parts[0].agent, 4)
        entry, lent = overloaded.lend_deferred(0.1, waiting=1000)
        self.assertEqual(("e2", 4), (entry, sum(i.credits for i in lent)))

    @hypothesis.given(
        st.lists(
            st.tuples(
                st.sampled_from(
                    ("place", "done", "lend", "owed", "leave", "usable")
                ),
                st.integers(0, 2),
                st.integers(0, 2),
                st.integers(1, 12),
            ),
            max_size=60,
        )
    )
    def test_credits_are_conserved(self, steps):
        """A lost credit leaves a slot idle; a duplicate overcommits it."""
        entries = [make_placement(3, 3 - i, f"e{i}", f"d{i}") for i in range(3)]
        used = [[], [], []]
        left = set()
        for action, first, second, count in steps:
            agent = f"a{second:02}"
            if action == "leave" and count == 12:
                left.add(agent)
                for place in entries:
                    place.agent_left(agent)
                used = [
                    [part for part in parts if part.agent != agent]
                    for parts in used
                ]
            elif action != "leave":
                self.step(entries, used, action, first, second, count)
            free = sum(
                state.free
                for place in entries
                for state in place.book.states.values()
            )
            spent = sum(part.concurrency for parts in used for part in parts)
            self.assertEqual(6 * (3 - len(left)), free + spent)
            for place in entries:
                states = place.book.states.values()
                self.assertEqual(
                    sum(state.free for state in states if state.usable),
                    place.free("s"),
                )
                self.assertTrue(all(state.free >= 0 for state in states))

    def step(self, entries, used, action, first, second, count):
        """Performs one step of `test_credits_are_conserved`."""
        entry, peer = entries[first], entries[second]
        match action:
            case "place":
                used[first] += entry.place("s", count, count, (), 0.0)
            case "done" if used[first]:
                part = used[first].pop()
                entry.credits_granted(part.agent, part.concurrency)
            case "lend":
                lent = entry.lend(count, peer.entry, 0.0)
                self.assertEqual((), peer.credits_borrowed(lent, entry.entry))
            case "owed":
                owed = entry.lend_deferred(0.1, count)
                if owed is not None:
                    entries[int(owed[0][1])].credits_borrowed(owed[1])
            case "usable":
                entry.set_agent_usable(f"a{second:02}", count % 2 == 0)


if __name__ == "__main__":
    unittest.main()
