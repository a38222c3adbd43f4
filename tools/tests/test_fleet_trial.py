"""Replays of load patterns with the policies in force and simpler ones.

Each test plays the same jobs twice, with the real decisions of schedulers and
runners, and compares what callers and messages show.
"""

import unittest
from unittest import mock

from tools import fleet_trial
from trefoilgw.room import owners
from trefoilgw.scheduling import placing
from trefoilgw.scheduling import runners

FLEET = fleet_trial.Fleet(schedulers=8, runners=30)
DURATION_S = 6.0
SHORT = fleet_trial.Kind("short", 1.0, 8, 0.12)
PAIR = fleet_trial.Kind("pair", 3.0, 2, 0.4)
LONG = fleet_trial.Kind("long", 0.2, 4, 1.8)
BURSTS = (
    fleet_trial.Burst("long", 1.5, 2.5, 4.0),
    fleet_trial.Burst("short", 3.5, 4.5, 3.0),
)


def play(utilization, bursts=(), seed=1):
    """Plays all kinds together, at a share of the fleet's capacity."""
    kinds = fleet_trial.scale_load(FLEET, (SHORT, PAIR, LONG), utilization)
    return fleet_trial.Trial(FLEET, kinds, bursts, seed).run(DURATION_S)


class DeclinedOfferTest(unittest.TestCase):
    def test_bursts_do_not_end_in_offers_that_are_declined(self):
        """Work that waits bids at many runners, which then all offer.

        If a runner offers again after each refusal, the offers keep free
        capacity reserved and use up the processors of all hosts.
        """
        in_force = play(0.8, BURSTS)
        with (
            mock.patch.object(owners.Owner, "drop_bids"),
            mock.patch.object(runners.RunnerView, "drop_bids"),
        ):
            simple = play(0.8, BURSTS)
        done = in_force.endings["done"]
        self.assertLess(in_force.messages["Offer"], 2 * done, simple.summary())
        self.assertGreater(simple.messages["Offer"], 4 * done)
        self.assertGreater(in_force.value(), simple.value() + 0.05)
        self.assertGreater(in_force.worst_value(), simple.worst_value() + 0.05)


class RandomPlacementTest(unittest.TestCase):
    def test_schedulers_do_not_all_choose_the_same_runner(self):
        """What schedulers know of free capacity is as old as their reports.

        A refused task reaches a runner with capacity one round trip later,
        and costs both hosts processor time.
        """

        in_force = self.refused_starts()
        with mock.patch.object(placing, "_weight", _prefer_most_free):
            simple = self.refused_starts()
        self.assertLess(in_force, 0.9 * simple)

    def refused_starts(self):
        """Returns the refused starts of several days with room to spare."""
        return sum(play(0.65, seed=x).refused_starts() for x in range(1, 4))


def _prefer_most_free(view, millicores, domain):
    """Returns a weight that lets the runner with most capacity win."""
    return 1000.0 ** (view.free().cpu_millicores / max(1, millicores))
