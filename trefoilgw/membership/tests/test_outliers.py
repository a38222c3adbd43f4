"""Tests of the ejection of agents and the stopping of kinds."""

import unittest

import hypothesis
from hypothesis import strategies as st

from trefoilgw.membership import changes as membership_changes
from trefoilgw.membership import outliers

AGENTS = tuple(f"{number:016x}" for number in range(11))


def record_outcomes(detector, agents, kind, count, share, now_s):
    """Records `count` outcomes per agent, of which `share` are failures."""
    for agent in agents:
        for number in range(count):
            failed = int((number + 1) * share) > int(number * share)
            detector.observe(agent, kind, failed, now_s)


def make_detector(count=11):
    """Returns a detector that knows the first `count` agents."""
    detector = outliers.OutlierDetector()
    for agent in AGENTS[:count]:
        detector.agent_joined(agent)
    return detector


class EjectionTest(unittest.TestCase):
    def ejected(self, changes):
        """Returns the agents that the changes eject."""
        return {
            item.agent
            for item in changes
            if isinstance(item, membership_changes.Eject)
        }

    def test_which_agents_are_ejected(self):
        """A wrong threshold ejects healthy agents or keeps failing ones."""
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
                detector = make_detector()
                record_outcomes(detector, AGENTS[1:], "k", 40, others, 1.0)
                record_outcomes(detector, AGENTS[:1], "k", tasks, own, 1.0)
                got = self.ejected(detector.check(1.0))
                self.assertEqual({AGENTS[0]} if ejected else set(), got)

    def test_black_hole_that_attracts_most_tasks(self):
        """Many failures of one agent must not stop the kind."""
        detector = make_detector()
        record_outcomes(detector, AGENTS[:1], "k", 1000, 1.0, 1.0)
        record_outcomes(detector, AGENTS[1:4], "k", 3, 0.0, 1.0)
        changes = detector.check(1.0)
        self.assertEqual({AGENTS[0]}, self.ejected(changes))
        self.assertTrue(detector.admit_kind("k", 1.0))

    def test_black_hole_beside_one_other_agent_in_use(self):
        """A failing agent must be ejected also in a domain of two agents."""
        detector = make_detector()
        record_outcomes(detector, AGENTS[:1], "k", 40, 1.0, 1.0)
        record_outcomes(detector, AGENTS[1:2], "k", 40, 0.0, 1.0)
        self.assertEqual({AGENTS[0]}, self.ejected(detector.check(1.0)))

    def test_long_good_record_does_not_delay_ejection(self):
        """Failures must outweigh successes that came long before them."""
        detector = make_detector()
        for second in range(300):
            record_outcomes(detector, AGENTS, "k", 10, 0.0, float(second))
        record_outcomes(detector, AGENTS[:1], "k", 30, 1.0, 300.0)
        self.assertEqual({AGENTS[0]}, self.ejected(detector.check(300.0)))

    def test_old_failures_decay(self):
        """A recovered agent must not be ejected for its old failures."""
        detector = make_detector()
        record_outcomes(detector, AGENTS[1:], "k", 40, 0.0, 1.0)
        record_outcomes(detector, AGENTS[:1], "k", 30, 1.0, 1.0)
        record_outcomes(detector, AGENTS, "k", 3, 0.0, 120.0)
        self.assertEqual((), detector.check(120.0))

    def test_probation_and_doubled_ejection(self):
        """Failures in probation double the ejection; successes readmit."""
        detector = make_detector()
        record_outcomes(detector, AGENTS[1:], "k", 40, 0.0, 1.0)
        record_outcomes(detector, AGENTS[:1], "k", 30, 1.0, 1.0)
        now_s = 1.0
        for duration_s in (10, 20, 40, 80, 160, 300, 300):
            (eject,) = detector.check(now_s)
            self.assertEqual(duration_s, eject.duration_s)
            self.assertEqual((), detector.check(now_s + duration_s - 0.1))
            now_s += duration_s
            self.assertEqual(
                (membership_changes.Probe(AGENTS[0]),), detector.check(now_s)
            )
            record_outcomes(detector, AGENTS[:1], "k", 2, 1.0, now_s)
        detector.check(now_s)
        now_s += 300.0
        detector.check(now_s)
        record_outcomes(detector, AGENTS[:1], "k", 4, 0.0, now_s)
        self.assertEqual((), detector.check(now_s))
        record_outcomes(detector, AGENTS[:1], "k", 1, 0.0, now_s)
        self.assertEqual(
            (membership_changes.Readmit(AGENTS[0]),), detector.check(now_s)
        )

    def test_ejections_at_once_are_limited(self):
        """Too many ejections would overload the remaining agents."""
        detector = make_detector()
        for kind, bad in (("k1", 5), ("k2", 5)):
            record_outcomes(detector, AGENTS[:bad], kind, 30, 1.0, 1.0)
            record_outcomes(detector, AGENTS[bad:], kind, 30, 0.0, 1.0)
        self.assertEqual(3, len(self.ejected(detector.check(1.0))))
        self.assertEqual(set(), self.ejected(detector.check(2.0)))

    def test_probation_allows_for_a_kind_that_often_fails(self):
        """A kind that fails everywhere must not eject an agent again."""
        detector = make_detector()
        record_outcomes(detector, AGENTS[1:], "k", 40, 0.4, 1.0)
        record_outcomes(detector, AGENTS[:1], "k", 30, 1.0, 1.0)
        self.assertEqual({AGENTS[0]}, self.ejected(detector.check(1.0)))
        detector.check(11.0)
        record_outcomes(detector, AGENTS[:1], "k", 8, 0.4, 11.0)
        self.assertEqual(
            (membership_changes.Readmit(AGENTS[0]),), detector.check(12.0)
        )

    def test_limit_holds_after_agents_left(self):
        """Agents must be readmitted when others leave, to avoid overload."""
        detector = make_detector()
        record_outcomes(detector, AGENTS[3:], "k", 40, 0.0, 1.0)
        record_outcomes(detector, AGENTS[:3], "k", 30, 1.0, 1.0)
        self.assertEqual(set(AGENTS[:3]), self.ejected(detector.check(1.0)))
        for agent in AGENTS[7:]:
            detector.agent_left(agent)
        changes = detector.check(2.0)
        self.assertEqual(
            [membership_changes.Readmit] * 1, [type(item) for item in changes]
        )
        self.assertEqual(2, len(detector.restricted))

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
        """Whatever the outcomes, 70% of the agents must remain in service."""
        detector = make_detector(count)
        out = set()
        now_s = 0.0
        for agent, kind, share, tasks, wait_s, leaves in steps:
            now_s += wait_s
            if leaves and agent in detector.agents:
                detector.agent_left(agent)
                out.discard(agent)
            else:
                record_outcomes(detector, (agent,), kind, tasks, share, now_s)
            for change in detector.check(now_s):
                match change:
                    case membership_changes.Eject(agent=name):
                        out.add(name)
                    case membership_changes.Readmit(agent=name):
                        out.discard(name)
            self.assertLessEqual(len(out), 0.3 * len(detector.agents))


class PoisonKindTest(unittest.TestCase):
    def test_which_kind_is_stopped(self):
        """Wrong attribution ejects all agents or hides faulty ones."""
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
                detector = make_detector()
                for kind, bad in (("k1", first), ("k2", second)):
                    record_outcomes(detector, AGENTS[:bad], kind, 25, 1.0, 1.0)
                    record_outcomes(detector, AGENTS[bad:], kind, 25, 0.0, 1.0)
                changes = detector.check(1.0)
                got = {
                    item.kind
                    for item in changes
                    if isinstance(item, membership_changes.PoisonKind)
                }
                self.assertEqual(stopped, got)
                if stopped:
                    self.assertEqual(len(stopped), len(changes))

    def test_agent_is_not_ejected_for_a_poison_kind(self):
        """The first agent that runs a poison kind must stay in service."""
        detector = make_detector()
        record_outcomes(detector, AGENTS, "good", 25, 0.0, 1.0)
        record_outcomes(detector, AGENTS[:1], "bad", 40, 1.0, 1.0)
        self.assertEqual((), detector.check(1.0))
        record_outcomes(detector, AGENTS[1:8], "bad", 3, 1.0, 1.0)
        (stop,) = detector.check(1.0)
        self.assertEqual(membership_changes.PoisonKind("bad", 8, 8), stop)

    def test_one_probe_after_the_stop(self):
        """A stopped kind is released after one successful probe job."""
        detector = make_detector()
        record_outcomes(detector, AGENTS, "k", 5, 1.0, 1.0)
        self.assertEqual(1, len(detector.check(1.0)))
        for now_s, allowed in ((1.0, 0), (30.9, 0), (31.0, 1), (31.1, 0)):
            self.assertEqual(bool(allowed), detector.admit_kind("k", now_s))
        detector.observe(AGENTS[0], "k", True, 32.0)
        self.assertFalse(detector.admit_kind("k", 61.9))
        self.assertTrue(detector.admit_kind("k", 62.0))
        detector.observe(AGENTS[0], "k", False, 62.1)
        self.assertEqual(
            (membership_changes.KindReleased("k"),), detector.check(63.0)
        )
        self.assertTrue(detector.admit_kind("k", 63.0))


if __name__ == "__main__":
    unittest.main()
