"""Replays of mixed sizes at one target, with backfilling and simpler policies.

Tasks wait at two schedulers that start work by offers only and reject nothing,
so that the order at the target alone decides what waits. The same tasks are
played under three policies, whose figures are printed:

- head of line: nothing is offered while the most urgent task does not fit; the
  policy before backfilling;
- first fit: whatever fits starts, without a reservation;
- in force: reservation and backfilling.
"""

import contextlib
import heapq
import itertools
import math
import random
import statistics
import unittest
from unittest import mock

import attrs

from trefoilgw.messages import runs as messages
from trefoilgw.room import actions
from trefoilgw.room import offers
from trefoilgw.room.tests import fixtures
from trefoilgw.scheduling import jobs
from trefoilgw.work import core as work
from trefoilgw.work import urgency as urgencies

CORES = 16
TICK_S = 0.02
# Time after the last arrival in which all tasks must have started.
END_S = 20.0
SEEDS = range(1, 5)
SCHEDULERS = (fixtures.A, fixtures.B)
# Objective of callers: this many times the run time, and a constant.
STRETCH = 1.6
LATENCY_S = 0.06


@attrs.frozen
class Kind:
    """A kind of task: its arrivals a second, run time and millicores."""

    name: str
    tasks_s: float
    run_s: float
    millicores: int

    @property
    def slack_s(self):
        return (STRETCH - 1.0) * self.run_s + LATENCY_S

    @property
    def urgency(self):
        return urgencies.urgency_class(self.slack_s)


SMALL = Kind("small", 30.0, 0.1, 1500)
MIDDLE = Kind("middle", 3.0, 0.4, 3500)
LARGE = Kind("large", 0.55, 1.65, 5500)
KINDS = (SMALL, MIDDLE, LARGE)


@attrs.define(eq=False)
class Waiting:
    """A task of a scheduler, with its actual run time."""

    kind: Kind
    task: jobs.Task
    at_s: float
    run_s: float
    started_s: float = math.inf

    @property
    def latest_start_s(self):
        return self.at_s + self.kind.slack_s


@attrs.define(eq=False)
class Replay:
    """One target and its schedulers.

    Attributes:
        seed: Seed of all random choices.
        burst: Begin and end of a time with more small tasks, and the factor.
        spread: Standard deviation of the logarithm of the estimates.
        overruns: Share of the runs that take three times as long as estimated.
        duration_s: Time in which tasks arrive.
        tasks: All tasks.
        waiting: Waiting tasks by scheduler.
        idle: Share of the capacity that is free, at each tick with waiting
            tasks.
    """

    seed: int
    burst: tuple = (0.0, 0.0, 1.0)
    spread: float = 0.35
    overruns: float = 0.0
    duration_s: float = 20.0
    tasks: list = attrs.field(factory=list)
    waiting: dict = attrs.field(factory=dict)
    idle: list = attrs.field(factory=list)

    def run(self):
        allocator = fixtures.make_allocator(*SCHEDULERS, cores=CORES)
        self.waiting = {x: [] for x in SCHEDULERS}
        numbers = itertools.count()
        events = [
            (x * TICK_S, next(numbers), "tick", None)
            for x in range(int((self.duration_s + END_S) / TICK_S))
        ]
        self.tasks = self.arrivals()
        events += [(x.at_s, next(numbers), "arrival", x) for x in self.tasks]
        heapq.heapify(events)
        owners = itertools.cycle(SCHEDULERS)
        while events:
            now_s, _, event, task = heapq.heappop(events)
            match event:
                case "tick":
                    self.tick(allocator, now_s)
                case "arrival":
                    self.waiting[next(owners)].append(task)
                case "end":
                    allocator.run_ended(
                        task.task.spec.name, 1, work.Ending.DONE, now_s
                    )
            for started in self.settle(allocator, now_s):
                end_s = now_s + started.run_s
                heapq.heappush(events, (end_s, next(numbers), "end", started))
        return self

    def tick(self, allocator, now_s):
        for name in SCHEDULERS:
            allocator.renew_authority(name, now_s)
        allocator.tick(now_s)
        if any(self.waiting.values()):
            free = allocator.free().cpu_millicores
            self.idle.append(free / (CORES * 1000))

    def arrivals(self):
        """Returns all tasks."""
        rng = random.Random(self.seed)
        tasks = []
        from_s, to_s, factor = self.burst
        for kind in KINDS:
            peak = factor if kind is SMALL else 1.0
            at_s = 0.0
            while at_s < self.duration_s:
                at_s += rng.expovariate(kind.tasks_s * peak)
                if from_s <= at_s < to_s or rng.random() < 1.0 / peak:
                    name = f"j{len(tasks)}.0.0.0"
                    tasks.append(self.draw(kind, at_s, name, rng))
        return tasks

    def draw(self, kind, at_s, name, rng):
        """Returns a task with an estimate that is off."""
        run_s = kind.run_s * rng.lognormvariate(0.0, 0.1)
        expected_s = run_s * rng.lognormvariate(0.0, self.spread)
        if rng.random() < self.overruns:
            run_s *= 3.0
        spec = work.TaskSpec(
            name,
            work.Demand(kind.millicores, 64, 0),
            expected_s,
        )
        # The mean absolute error of a normal distribution is 0.8 deviations.
        task = jobs.Task(spec, expected_s, 1, error=0.8 * self.spread)
        return Waiting(kind, task, at_s, run_s)

    def settle(self, allocator, now_s):
        """Passes messages on until nothing changes; yields what starts."""
        for name in SCHEDULERS:
            allocator.update_bid(name, self.bid(name, now_s), now_s)
        for _ in range(20):
            allocator.offer_capacity(now_s)
            taken = allocator.take_actions()
            found = [
                (x.owner, x.message)
                for x in taken
                if isinstance(x, actions.SendMessage)
                and isinstance(x.message, messages.Offer)
            ]
            if not found:
                return
            for name, offer in found:
                chosen = self.choose(name, offer, now_s)
                orders = tuple(self.order(x, now_s) for x in chosen)
                groups = (messages.RunGroup("p", orders),) if orders else ()
                start = messages.StartRuns(offer.number, groups)
                allocator.start_runs(name, start, now_s)
            names = fixtures.started_tasks(allocator.pending_actions)
            for name in SCHEDULERS:
                for task in list(self.waiting[name]):
                    if task.task.spec.name in names:
                        self.waiting[name].remove(task)
                        task.started_s = now_s
                        allocator.run_started(task.task.spec.name, 1, now_s)
                        yield task

    def order(self, waiting, now_s):
        return messages.RunOrder(
            waiting.task.spec.name,
            1,
            messages.Room.of(waiting.task.spec.demand),
            waiting.task.expected_s,
            waiting.kind.urgency,
            waiting.task.error,
            waiting.latest_start_s - now_s,
        )

    def bid(self, name, now_s):
        demands = {}
        tasks = sorted(self.waiting[name], key=lambda x: x.latest_start_s)
        for waiting in tasks:
            urgency = waiting.kind.urgency
            need = waiting.task.spec.demand
            known = demands.get(urgency)
            if known is not None:
                wanted = messages.Room.of(known.wanted.demand.plus(need))
                demands[urgency] = attrs.evolve(known, wanted=wanted)
                continue
            demands[urgency] = messages.WaitingDemand(
                urgency,
                waiting.latest_start_s - now_s,
                messages.Room.of(need),
                messages.Room.of(need),
                waiting.task.expected_s,
                waiting.task.error,
            )
        return messages.Bid(tuple(demands.values()))

    def choose(self, name, offer, now_s):
        """Returns the tasks for an offer, most urgent first."""
        rest = offer.room.demand
        chosen = []
        for waiting in sorted(
            self.waiting[name], key=lambda x: x.latest_start_s
        ):
            demand = waiting.task.spec.demand
            if (
                waiting.kind.urgency <= offer.urgency
                and demand.fits_in(rest)
                and waiting.task.ends_within(
                    offer.run_limit_s, offer.least_error
                )
            ):
                rest = rest.minus(demand)
                chosen.append(waiting)
        return chosen


def first_fit(bids, free, inputs, blocked, observed):
    """Yields offers to all bids that fit, as if nothing were blocked."""
    for owner, bid in bids:
        remaining = bid.total_demand.minus(owner.reserved_for(bid.urgency))
        usable = free.minus(work.Demand(inputs.reserve_millicores(bid.urgency)))
        if remaining.cpu_millicores > 0 and bid.next_demand.fits_in(usable):
            capacity = remaining.capped(usable)
            yield offers.Grant(owner, bid.urgency, capacity, True)
            free = free.minus(capacity)


POLICIES = {
    "head of line": lambda: mock.patch.object(
        offers, "_backfill", lambda *_: ()
    ),
    "first fit": lambda: mock.patch.object(offers, "_backfill", first_fit),
    "in force": contextlib.nullcontext,
}


@attrs.define
class Outcome:
    """Tasks and unused room of several replays under one policy."""

    tasks: list = attrs.field(factory=list)
    idle: list = attrs.field(factory=list)

    def waits(self, kind):
        return [x.started_s - x.at_s for x in self.tasks if x.kind is kind]

    def mean_wait(self, kind):
        return statistics.mean(self.waits(kind))

    def in_time(self, kind):
        found = [x for x in self.tasks if x.kind is kind]
        good = sum(x.started_s <= x.latest_start_s for x in found)
        return good / len(found)

    @property
    def unused(self):
        return statistics.mean(self.idle)

    def work_in_time(self):
        """Returns the share of the core-seconds that started in time."""
        total = sum(x.run_s * x.kind.millicores for x in self.tasks)
        good = sum(
            x.run_s * x.kind.millicores
            for x in self.tasks
            if x.started_s <= x.latest_start_s
        )
        return good / total

    def text(self):
        kinds = "; ".join(
            f"{x.name} in time {self.in_time(x):.3f}, wait mean "
            f"{self.mean_wait(x):.3f} s, worst "
            f"{max(self.waits(x)):.3f} s"
            for x in KINDS
        )
        return (
            f"{kinds}; work in time {self.work_in_time():.3f}; "
            f"unused room while work waits {self.unused:.3f}"
        )


def replay(**kwargs):
    """Returns the outcome of the same tasks under each policy."""
    found = {}
    for name, policy in POLICIES.items():
        outcome = Outcome()
        with policy():
            for seed in SEEDS:
                done = Replay(seed, **kwargs).run()
                outcome.tasks += done.tasks
                outcome.idle += done.idle
        print(f"{name}: {outcome.text()}")
        found[name] = outcome
    return found


class ReplayTest(unittest.TestCase):
    def check(self, found):
        """Asserts what callers need.

        Small work must not wait for room that it can't delay. No kind may pay
        for that, nor may large work starve as it does without reservations.
        """
        in_force = found["in force"]
        before = found["head of line"]
        for kind in KINDS:
            with self.subTest(kind.name):
                self.assertLessEqual(
                    in_force.mean_wait(kind), before.mean_wait(kind)
                )
                self.assertGreaterEqual(
                    in_force.in_time(kind), before.in_time(kind)
                )
        self.assertGreater(in_force.work_in_time(), before.work_in_time())
        self.assertLess(in_force.unused, before.unused)
        self.assertLess(
            in_force.mean_wait(LARGE), found["first fit"].mean_wait(LARGE)
        )

    def test_mixed_sizes(self):
        """Small tasks leave gaps that large ones can't use."""
        self.check(replay())

    def test_small_tasks_in_front_of_large_ones(self):
        """A burst of small tasks takes the room that large ones wait for."""
        self.check(replay(burst=(5.0, 7.0, 4.0)))

    def test_estimates_that_are_40_percent_off(self):
        """Reservations that trusted the estimates would be missed."""
        self.check(replay(spread=0.5))

    def test_runs_that_overrun(self):
        """A tenth of the runs takes three times as long as estimated."""
        self.check(replay(overruns=0.1))


if __name__ == "__main__":
    unittest.main()
