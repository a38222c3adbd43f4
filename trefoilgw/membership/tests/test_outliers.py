"""Ejection of agents and stopping of kinds."""

import unittest

import hypothesis
from hypothesis import strategies as st

from trefoilgw import membership
from trefoilgw.membership import outliers

AGENTS = tuple(f"{number:016x}" for number in range(11))


def feed(stats, agents, kind, count, share, now_s):
    """Reports `count` outcomes per agent, a share of them failures."""
    for agent in agents:
        for number in range(count):
            failed = int((number + 1) * share) > int(number * share)
            stats.observe(agent, kind, failed, now_s)


def fleet(count=11):
    stats = outliers.OutlierDetector()
    for agent in AGENTS[:count]:
        stats.agent_joined(agent)
    return stats


class EjectionTest(unittest.TestCase):
    def ejected(self, changes):
        return {
            item.agent for item in changes if isinstance(item, membership.Eject)
        }

    def test_who_is_ejected(self):
        """A wrong threshold ejects healthy agents or keeps black holes."""
        cases = (
            # (case, tasks, failed share of the agent, of others, ejected)
            ("black hole", 30, 1.0, 0.0, True),
            ("sample too small", 19, 1.0, 0.0, False),
            ("smallest sample", 20, 1.0, 0.0, True),
            ("half above the median", 40, 0.6, 0.1, True),
            ("less than half above", 40, 0.5, 0.1, False),
            ("all fail a little", 40, 0.3, 0.3, False),
        )
        for case, tasks, own, others, ejected in cases:
            with self.subTest(case=case):
                stats = fleet()
                feed(stats, AGENTS[1:], "k", 40, others, 1.0)
                feed(stats, AGENTS[:1], "k", tasks, own, 1.0)
                got = self.ejected(stats.check(1.0))
                self.assertEqual({AGENTS[0]} if ejected else set(), got)

    def test_black_hole_that_attracts_most_tasks(self):
        """One agent's many failures must not make its kind look poisoned."""
        stats = fleet()
        feed(stats, AGENTS[:1], "k", 1000, 1.0, 1.0)
        feed(stats, AGENTS[1:4], "k", 3, 0.0, 1.0)
        changes = stats.check(1.0)
        self.assertEqual({AGENTS[0]}, self.ejected(changes))
        self.assertTrue(stats.admit_kind("k", 1.0))

    def test_black_hole_beside_one_other_agent_in_use(self):
        """A domain of two agents must not keep its black hole for ever."""
        stats = fleet()
        feed(stats, AGENTS[:1], "k", 40, 1.0, 1.0)
        feed(stats, AGENTS[1:2], "k", 40, 0.0, 1.0)
        self.assertEqual({AGENTS[0]}, self.ejected(stats.check(1.0)))

    def test_long_good_record_does_not_delay_ejection(self):
        """Windows must fade: an agent can break after a week of success."""
        stats = fleet()
        for second in range(300):
            feed(stats, AGENTS, "k", 10, 0.0, float(second))
        feed(stats, AGENTS[:1], "k", 30, 1.0, 300.0)
        self.assertEqual({AGENTS[0]}, self.ejected(stats.check(300.0)))

    def test_old_failures_fade(self):
        """A recovered agent must not be ejected for old failures."""
        stats = fleet()
        feed(stats, AGENTS[1:], "k", 40, 0.0, 1.0)
        feed(stats, AGENTS[:1], "k", 30, 1.0, 1.0)
        feed(stats, AGENTS, "k", 3, 0.0, 120.0)
        self.assertEqual((), stats.check(120.0))

    def test_probation_and_doubled_ejection(self):
        """A bad agent must not return for good, nor a mended one stay out."""
        stats = fleet()
        feed(stats, AGENTS[1:], "k", 40, 0.0, 1.0)
        feed(stats, AGENTS[:1], "k", 30, 1.0, 1.0)
        now_s = 1.0
        for duration_s in (10, 20, 40, 80, 160, 300, 300):
            (eject,) = stats.check(now_s)
            self.assertEqual(duration_s, eject.duration_s)
            self.assertEqual((), stats.check(now_s + duration_s - 0.1))
            now_s += duration_s
            self.assertEqual((membership.Probe(AGENTS[0]),), stats.check(now_s))
            feed(stats, AGENTS[:1], "k", 2, 1.0, now_s)
        stats.check(now_s)
        now_s += 300.0
        stats.check(now_s)
        feed(stats, AGENTS[:1], "k", 4, 0.0, now_s)
        self.assertEqual((), stats.check(now_s))
        feed(stats, AGENTS[:1], "k", 1, 0.0, now_s)
        self.assertEqual((membership.Readmit(AGENTS[0]),), stats.check(now_s))

    def test_no_more_than_the_limit_at_once(self):
        """Too few agents in service would overload the rest."""
        stats = fleet()
        for kind, bad in (("k1", 5), ("k2", 5)):
            feed(stats, AGENTS[:bad], kind, 30, 1.0, 1.0)
            feed(stats, AGENTS[bad:], kind, 30, 0.0, 1.0)
        self.assertEqual(3, len(self.ejected(stats.check(1.0))))
        self.assertEqual(set(), self.ejected(stats.check(2.0)))

    def test_probation_allows_for_a_kind_that_often_fails(self):
        """A mended agent must not stay out for its kind's own failures."""
        stats = fleet()
        feed(stats, AGENTS[1:], "k", 40, 0.4, 1.0)
        feed(stats, AGENTS[:1], "k", 30, 1.0, 1.0)
        self.assertEqual({AGENTS[0]}, self.ejected(stats.check(1.0)))
        stats.check(11.0)
        feed(stats, AGENTS[:1], "k", 8, 0.4, 11.0)
        self.assertEqual((membership.Readmit(AGENTS[0]),), stats.check(12.0))

    def test_limit_holds_after_agents_left(self):
        """Too few agents in service would overload the rest."""
        stats = fleet()
        feed(stats, AGENTS[3:], "k", 40, 0.0, 1.0)
        feed(stats, AGENTS[:3], "k", 30, 1.0, 1.0)
        self.assertEqual(set(AGENTS[:3]), self.ejected(stats.check(1.0)))
        for agent in AGENTS[7:]:
            stats.agent_left(agent)
        changes = stats.check(2.0)
        self.assertEqual(
            [membership.Readmit] * 1, [type(item) for item in changes]
        )
        self.assertEqual(2, len(stats.limited))

    @hypothesis.given(
        st.integers(1, 11),
        st.lists(
            st.tuples(
                st.sampled_from(AGENTS),
                st.sampled_from(("k1", "k2")),
                st.sampled_from((0.0, 0.4, 1.0)),
                st.integers(1, 40),
                st.sampled_from((0.0, 1.0, 11.0, 40.0)),
                st.booleans(),
            ),
            max_size=60,
        ),
    )
    def test_ejected_share_is_limited(self, count, steps):
        """Statistics gone wrong must leave 70% of the fleet in service."""
        stats = fleet(count)
        out = set()
        now_s = 0.0
        for agent, kind, share, tasks, wait_s, leaves in steps:
            now_s += wait_s
            if leaves and agent in stats.agents:
                stats.agent_left(agent)
                out.discard(agent)
            else:
                feed(stats, (agent,), kind, tasks, share, now_s)
            for change in stats.check(now_s):
                match change:
                    case membership.Eject(agent=name):
                        out.add(name)
                    case membership.Readmit(agent=name):
                        out.discard(name)
            self.assertLessEqual(len(out), 0.3 * len(stats.agents))


class PoisonKindTest(unittest.TestCase):
    def test_which_kind_is_stopped(self):
        """Wrong attribution ejects the fleet or hides broken agents."""
        cases = (
            # (case, agents that fail k1, that fail k2, stopped kinds)
            ("fails everywhere", 11, 0, {"k1"}),
            ("fails on six of eleven", 6, 0, {"k1"}),
            ("fails on three of eleven", 3, 0, set()),
            ("six agents fail everything", 6, 6, set()),
            ("both kinds fail everywhere", 11, 11, {"k1", "k2"}),
        )
        for case, first, second, stopped in cases:
            with self.subTest(case=case):
                stats = fleet()
                for kind, bad in (("k1", first), ("k2", second)):
                    feed(stats, AGENTS[:bad], kind, 25, 1.0, 1.0)
                    feed(stats, AGENTS[bad:], kind, 25, 0.0, 1.0)
                changes = stats.check(1.0)
                got = {
                    item.kind
                    for item in changes
                    if isinstance(item, membership.PoisonKind)
                }
                self.assertEqual(stopped, got)
                if stopped:
                    self.assertEqual(len(stopped), len(changes))

    def test_single_agent_is_not_ejected_for_poison(self):
        """An agent that alone ran the poison kind first stays in service."""
        stats = fleet()
        feed(stats, AGENTS, "good", 25, 0.0, 1.0)
        feed(stats, AGENTS[:1], "bad", 40, 1.0, 1.0)
        self.assertEqual((), stats.check(1.0))
        feed(stats, AGENTS[1:8], "bad", 3, 1.0, 1.0)
        (stop,) = stats.check(1.0)
        self.assertEqual(membership.PoisonKind("bad", 8, 8), stop)

    def test_one_probe_after_the_stop(self):
        """A stopped kind must come back, by one job at a time."""
        stats = fleet()
        feed(stats, AGENTS, "k", 5, 1.0, 1.0)
        self.assertEqual(1, len(stats.check(1.0)))
        for now_s, allowed in ((1.0, 0), (30.9, 0), (31.0, 1), (31.1, 0)):
            self.assertEqual(bool(allowed), stats.admit_kind("k", now_s))
        stats.observe(AGENTS[0], "k", True, 32.0)
        self.assertFalse(stats.admit_kind("k", 61.9))
        self.assertTrue(stats.admit_kind("k", 62.0))
        stats.observe(AGENTS[0], "k", False, 62.1)
        self.assertEqual((membership.KindReleased("k"),), stats.check(63.0))
        self.assertTrue(stats.admit_kind("k", 63.0))


if __name__ == "__main__":
    unittest.main()
