"""Replays of the return of all hosts with the policy in force and others."""

import unittest

from tools import recovery_trial

UNTIL_S = 3.0
SEEDS = (1, 2)


def replay(policy, utilization, **changes):
    """Returns outcomes and work done in time over some seeds."""
    outcomes, done = None, 0.0
    for seed in SEEDS:
        with recovery_trial.POLICIES[policy]():
            trial = recovery_trial.play(utilization, seed, **changes)
        found = trial.outcomes(0.0, UNTIL_S)
        outcomes = found if outcomes is None else outcomes + found
        done += trial.work_done(0.0, UNTIL_S)
    return outcomes, done


class ReturnOfAllHostsTest(unittest.TestCase):
    """Late or held jobs take capacity from those that could be in time."""

    def check(self, utilization, **changes):
        found, done = replay("in force", utilization, **changes)
        for policy in ("earlier", "admit all", "reject until reported"):
            with self.subTest(policy=policy):
                _, other_done = replay(policy, utilization, **changes)
                self.assertGreater(done, other_done)
        earlier, _ = replay("earlier", utilization, **changes)
        self.assertGreater(found["in time"], earlier["in time"])
        self.assertLess(found["late"], earlier["late"])
        self.assertLess(found["held"], earlier["held"] / 2)
        self.assertEqual(0, found["unanswered"])

    def test_full_load(self):
        """Jobs were admitted for targets that came later than expected."""
        self.check(1.0)

    def test_twice_the_capacity(self):
        """Every scheduler admitted jobs for all of the free capacity."""
        self.check(2.0)

    def test_half_of_the_targets_stay_away(self):
        """Their runners are there, so that they were counted on."""
        self.check(1.0, away=range(0, 16, 2))

    def test_scheduler_that_comes_back_later(self):
        """It finds the runners at work for the others."""
        self.check(1.0, late_schedulers={"s0": 1.0})
