"""Plans the arrivals of a run: their times, tasks and key sources.

The plan depends only on the scenario, so two runs, or two processes that share
a run, use the same arrivals. Each flow has its own random generator: adding a
flood does not change the other arrivals.
"""

import enum
import math
import random
from collections.abc import Iterator

import attrs

from trefoilgw.load import scenario as scenarios


class KeySource(enum.StrEnum):
    """Source of the idempotency key of a submission.

    Attributes:
        NONE: The submission has no key.
        TICKET: The key is a ticket issued by an entry.
        OWN: The caller makes the key.
    """

    NONE = "none"
    TICKET = "ticket"
    OWN = "own"


@attrs.frozen
class Arrival:
    """One job to submit.

    Attributes:
        number: Position in the plan, from 0.
        at_s: Arrival time in seconds from the start of the run.
        customer: Name of the customer.
        flow: The flow that the job belongs to.
        run_ms: Run time of each task in milliseconds.
        key_source: Source of the idempotency key.
        resubmit_after_s: Delay in seconds before the job is submitted again,
            None if it is submitted once.
    """

    number: int
    at_s: float
    customer: str
    flow: scenarios.Flow
    run_ms: tuple[int, ...]
    key_source: KeySource
    resubmit_after_s: float | None

    def ideal_s(self, slots: int) -> float:
        """Returns the response time of the job on an idle fleet.

        Args:
            slots: Slots of the whole fleet.

        Returns:
            Seconds: the run time of the longest task, or the total run time
            divided by the slots if that is longer. No scheduler can be
            faster.
        """
        return max(max(self.run_ms), sum(self.run_ms) / slots) / 1000


def _draw_run_ms(flow: scenarios.Flow, rng: random.Random) -> int:
    """Draws the run time of one task in milliseconds, log-uniformly."""
    long = rng.random() < flow.long_share
    low, high = flow.long_run_ms if long else flow.run_ms
    return round(math.exp(rng.uniform(math.log(low), math.log(high))))


def _draw_key_source(flow: scenarios.Flow, rng: random.Random) -> KeySource:
    """Draws the key source of one submission."""
    draw = rng.random()
    if draw < flow.ticket_share:
        return KeySource.TICKET
    if draw < flow.ticket_share + flow.own_key_share:
        return KeySource.OWN
    return KeySource.NONE


def _rate_at(flow: scenarios.Flow, mean_rate: float, at_s: float) -> float:
    """Returns the arrivals per second at a time of the run."""
    if not flow.wave_period_s:
        return mean_rate
    phase = (at_s % flow.wave_period_s) / flow.wave_period_s
    if phase < flow.wave_share:
        return mean_rate * flow.wave_height
    rest = 1 - flow.wave_share * flow.wave_height
    return mean_rate * rest / (1 - flow.wave_share)


def _arrival_times(
    flow: scenarios.Flow, mean_rate: float, end_s: float, rng: random.Random
) -> Iterator[float]:
    """Yields the arrival times of an inhomogeneous Poisson process.

    Notes:
        Uses thinning (Lewis and Shedler 1979): candidates are drawn at the
        maximum rate, and each is accepted with a probability of the rate at
        its time divided by the maximum rate.
    """
    max_rate = mean_rate * max(
        1.0, flow.wave_height if flow.wave_period_s else 0
    )
    at_s = flow.start_s
    while max_rate > 0:
        at_s += rng.expovariate(max_rate)
        if at_s >= end_s:
            return
        if rng.random() * max_rate < _rate_at(flow, mean_rate, at_s):
            yield at_s


def _draw_arrival(
    at_s: float, customer: str, flow: scenarios.Flow, rng: random.Random
) -> Arrival:
    """Draws one arrival with number 0; `plan` sets the number."""
    tasks = rng.randint(*flow.tasks)
    run_ms = tuple(_draw_run_ms(flow, rng) for _ in range(tasks))
    key_source = _draw_key_source(flow, rng)
    resubmitted = rng.random() < flow.resubmit_share
    delay_s = rng.uniform(*flow.resubmit_after_s)
    keyed = key_source is not KeySource.NONE
    resubmit = delay_s if resubmitted and keyed else None
    return Arrival(0, at_s, customer, flow, run_ms, key_source, resubmit)


def plan(scenario: scenarios.Scenario) -> tuple[Arrival, ...]:
    """Returns all arrivals of a scenario, ordered by time."""
    drawn = []
    for customer in scenario.customer:
        for position, flow in enumerate(customer.flow):
            seed = f"{scenario.seed}/{customer.name}/{flow.kind}/{position}"
            rng = random.Random(seed)
            mean_rate = flow.mean_jobs_per_s(scenario.slots) / flow.batch
            end_s = flow.end_s or scenario.duration_s
            for at_s in _arrival_times(flow, mean_rate, end_s, rng):
                drawn += [
                    _draw_arrival(at_s, customer.name, flow, rng)
                    for _ in range(flow.batch)
                ]
    drawn.sort(key=lambda arrival: arrival.at_s)
    return tuple(
        attrs.evolve(arrival, number=number)
        for number, arrival in enumerate(drawn)
    )
