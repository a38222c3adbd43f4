"""Replays of mixed sizes with backfilling and with simpler policies.

The test plays the same jobs with the real decisions of schedulers and runners
under three policies, and prints what callers see:

- head of line: nothing is offered while the most urgent task does not fit, and
  tasks start one by one; the policy before backfilling;
- first fit: whatever fits starts, without a reservation;
- in force: reservation, backfilling, and jobs as one unit.
"""

import contextlib
import statistics
import unittest
from unittest import mock

import attrs

from tools import fleet_trial
from trefoilgw.room import backfill
from trefoilgw.room import offers
from trefoilgw.scheduling import actions
from trefoilgw.scheduling import batches

# Targets with room for two to five of the large tasks.
FLEET = fleet_trial.Fleet(
    schedulers=4, runners=12, millicores=16_000, speeds=(1.0,)
)
SMALL = fleet_trial.Kind("small", 1.0, 8, 0.1, 1500)
MIDDLE = fleet_trial.Kind("middle", 3.0, 2, 0.4, 3500)
LARGE = fleet_trial.Kind("large", 0.4, 4, 1.65, 5500)
LARGE_BURST = fleet_trial.Burst("large", 1.5, 2.5, 4.0)
KINDS = (SMALL, MIDDLE, LARGE)
DURATION_S = 6.0
SEEDS = range(1, 7)


@attrs.define
class Outcome:
    """What the jobs of several trials have met.

    Attributes:
        waits: Waits of the jobs that were done, in seconds, by kind.
        jobs: Number of jobs by kind.
        in_time: Number of those that were done in time, by kind.
        wasted: Number of jobs that were done too late or not at all although
            some of their tasks had started.
        idle: Share of the room that is unused while work waits at a target.
    """

    waits: dict[str, list[float]] = attrs.field(factory=dict)
    jobs: dict[str, int] = attrs.field(factory=dict)
    in_time: dict[str, int] = attrs.field(factory=dict)
    wasted: int = 0
    idle: list[float] = attrs.field(factory=list)

    def add(self, trial):
        for record in trial.jobs.values():
            kind = record.kind
            self.jobs[kind] = self.jobs.get(kind, 0) + 1
            in_time = record.value == 1.0
            self.in_time[kind] = self.in_time.get(kind, 0) + in_time
            rejected = isinstance(record.outcome, actions.Rejected)
            self.wasted += not in_time and not rejected
            if isinstance(record.outcome, actions.Completed):
                longest_s = (
                    record.objective_s - fleet_trial.LATENCY_S
                ) / fleet_trial.STRETCH
                wait_s = record.ended_s - record.at_s - longest_s
                self.waits.setdefault(kind, []).append(wait_s)

    def share(self, kind=None):
        """Returns the share of the jobs of a kind, or of all, in time."""
        kinds = [kind] if kind else list(self.jobs)
        return sum(self.in_time[x] for x in kinds) / sum(
            self.jobs[x] for x in kinds
        )

    def text(self):
        kinds = "; ".join(
            f"{x} in time {self.share(x):.3f} of {self.jobs[x]}, wait mean "
            f"{statistics.mean(self.waits[x]):.3f} s, p95 "
            f"{statistics.quantiles(self.waits[x], n=20)[-1]:.3f} s"
            for x in self.jobs
        )
        return (
            f"all {self.share():.3f}; {kinds}; late or unfinished "
            f"{self.wasted}; unused room while work waits "
            f"{statistics.mean(self.idle):.3f}"
        )


def _first_fit(bids, free, inputs, blocked, observed):
    """Yields offers to all bids that fit, as if nothing were blocked."""
    for owner, bid in bids:
        remaining = bid.total_demand.minus(owner.reserved_for(bid.urgency))
        usable = free.minus(
            offers.work.Demand(inputs.reserve_millicores(bid.urgency))
        )
        if remaining.cpu_millicores <= 0:
            continue
        if bid.next_demand.fits_in(usable):
            capacity = offers._share(remaining, usable)
            yield offers.Grant(owner, bid.urgency, capacity, True)
            free = free.minus(capacity)


@contextlib.contextmanager
def _simpler(make_offers):
    """Replaces backfilling, the reservation and the unit of a job."""
    with (
        mock.patch.object(offers, "_backfill", make_offers),
        mock.patch.object(
            backfill.Backfilling, "delays_blocked", lambda *_: False
        ),
        mock.patch.object(batches, "review", lambda *_: []),
    ):
        yield


POLICIES = {
    "head of line": lambda: _simpler(lambda *_: ()),
    "first fit": lambda: _simpler(_first_fit),
    "in force": contextlib.nullcontext,
}


def replay(load, bursts):
    """Returns the outcome of the same trials under each policy.

    Args:
        load: Share of the capacity that the jobs need.
        bursts: Times with more load.
    """
    found = {}
    kinds = fleet_trial.scale_load(FLEET, KINDS, load)
    for name, policy in POLICIES.items():
        outcome = Outcome()

        def tick(runner, original=fleet_trial._Runner.tick, outcome=outcome):
            allocator = runner.allocator
            if any(x.bids for x in allocator.owners.values()):
                free = allocator.free().cpu_millicores
                capacity = allocator.target.capacity.cpu_millicores
                outcome.idle.append(free / capacity)
            original(runner)

        with (
            policy(),
            mock.patch.object(fleet_trial._Runner, "tick", tick),
        ):
            for seed in SEEDS:
                trial = fleet_trial.Trial(FLEET, kinds, bursts, seed)
                outcome.add(trial.run(DURATION_S))
        found[name] = outcome
        print(f"{name}: {outcome.text()}")
    return found


class ReplayTest(unittest.TestCase):
    def test_small_jobs_in_front_of_large_ones(self):
        """A burst of small jobs takes the room that large ones wait for.

        Jobs of which some tasks run and others wait end late, and can't be
        rejected any more.
        """
        bursts = (fleet_trial.Burst("small", 1.0, 2.0, 8.0), LARGE_BURST)
        found = replay(0.8, bursts)
        in_force = found["in force"]
        for name in ("head of line", "first fit"):
            simple = found[name]
            self.assertGreater(in_force.share(), simple.share(), name)
            self.assertLess(in_force.wasted, simple.wasted, name)
            for kind in KINDS:
                self.assertGreaterEqual(
                    in_force.share(kind.name), simple.share(kind.name), name
                )


if __name__ == "__main__":
    unittest.main()
