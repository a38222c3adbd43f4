"""Replays of a time in which all targets of a service go bad together."""

import math
import unittest
from unittest import mock

from tools import fleet_trial
from tools import uneven_trial
from trefoilgw.room import probation
from trefoilgw.scheduling import actions
from trefoilgw.scheduling import probing

FLEET = fleet_trial.Fleet(schedulers=4, runners=12)
# None of these has the slack of a probe that is sent without an offer.
KINDS = (
    fleet_trial.Kind("short", 3.0, 8, 0.12),
    fleet_trial.Kind("pair", 3.0, 2, 0.4),
)
DURATION_S = 18.0
FROM_S, TO_S = 3.0, 9.0
# Time after which service is back: an interval between probes, and a probe.
BACK_S = TO_S + probation.MAX_PROBE_INTERVAL_S + 1.0
UTILIZATION = 0.6
SEEDS = (1, 2)
# How much longer tasks take for good.
SLOWNESS = 4.0
# A rejection after less is one at once.
HELD_S = 0.02


def play(seed, kinds=KINDS, **trouble):
    """Plays a time in which all targets suffer the same."""
    load = fleet_trial.scale_load(FLEET, kinds, UTILIZATION)
    disturbance = uneven_trial.Disturbance(1.0, FROM_S, TO_S, **trouble)
    trial = uneven_trial.Trial(FLEET, load, (), seed, disturbance=disturbance)
    return trial.run(DURATION_S)


def served(trial, from_s, to_s):
    """Returns the share of the jobs of a time that were completed."""
    found = [x for x in trial.jobs.values() if from_s <= x.at_s < to_s]
    done = sum(isinstance(x.outcome, actions.Completed) for x in found)
    return done / len(found)


def held(trial):
    """Returns the number of jobs that were rejected after a wait."""
    return sum(
        isinstance(x.outcome, actions.Rejected) and x.ended_s - x.at_s > HELD_S
        for x in trial.jobs.values()
    )


class AllTargetsInDoubtTest(unittest.TestCase):
    """Without admitted jobs there are no probes, and doubts last for ever."""

    def check(self, **trouble):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                trial = play(seed, **trouble)
                before = served(trial, 0.0, FROM_S)
                after = served(trial, BACK_S, DURATION_S)
                self.assertGreater(after, 0.9 * before, trial.summary())

    def test_all_targets_fail(self):
        """All jobs were rejected for good, though the targets were sound."""
        self.check(fails=True)

    def test_all_targets_are_slow(self):
        """A run of a slow target is stopped, to be repeated elsewhere."""
        self.check(slowness=8.0)

    def test_all_targets_stand_still(self):
        """Their runs make no progress and are stopped."""
        self.check(slowness=1e6)

    def test_all_targets_go_down_and_up(self):
        """They are in doubt as flapping when they are up for good."""
        self.check(period_s=0.7)

    def test_short_tasks_only(self):
        """Their speed and their progress are hardly ever seen."""
        kinds = (fleet_trial.Kind("tiny", 5.0, 4, 0.05),)
        for trouble in ({"slowness": 8.0}, {"slowness": 1e6}, {"fails": True}):
            with self.subTest(**trouble):
                self.check(kinds=kinds, **trouble)

    def test_tasks_take_longer_for_good(self):
        """Each run was stopped as slow, to be repeated at another target.

        The targets could bear the load: it was 15% before and is 60% now.
        """
        load = fleet_trial.scale_load(FLEET, KINDS, UTILIZATION / SLOWNESS)
        disturbance = uneven_trial.Disturbance(
            1.0, FROM_S, math.inf, slowness=SLOWNESS
        )
        for seed in SEEDS:
            with self.subTest(seed=seed):
                trial = uneven_trial.Trial(
                    FLEET, load, (), seed, disturbance=disturbance
                ).run(DURATION_S)
                before = served(trial, 0.0, FROM_S)
                after = served(trial, FROM_S + BACK_S - TO_S, DURATION_S)
                self.assertGreater(after, 0.9 * before, trial.summary())

    def test_jobs_beyond_the_probes_are_rejected_at_once(self):
        """If all are admitted, most wait in vain until they are late."""
        in_force = play(1, fails=True)
        with mock.patch.object(probing, "may_probe", return_value=True):
            simple = play(1, fails=True)
        self.assertLess(held(in_force), held(simple) / 2)


if __name__ == "__main__":
    unittest.main()
