"""The plan of a run: every arrival with its time, tasks and key.

The plan follows from the scenario alone, so that two runs, or two processes
that share a run, see the same arrivals. Each flow has a generator of its own:
adding a flood does not move the other arrivals.
"""

import enum
import math
import random
from collections.abc import Iterator

import attrs

from trefoilgw.load import scenario as scenarios


class KeySource(enum.StrEnum):
    """How a submission is keyed."""

    NONE = "none"
    TICKET = "ticket"
    OWN = "own"


@attrs.frozen
class Arrival:
    """One job to submit.

    Attributes:
        number: Position in the plan, from 0.
        at_s: Time of arrival in seconds from the start of the run.
        customer: Name of the customer.
        flow: The flow that it belongs to.
        run_ms: Run time of each task.
        key_form: How it is keyed.
        resubmit_after_s: Delay until it is sent again, None if it is not.
    """

    number: int
    at_s: float
    customer: str
    flow: scenarios.Flow
    run_ms: tuple[int, ...]
    key_form: KeySource
    resubmit_after_s: float | None

    def ideal_s(self, slots: int) -> float:
        """Returns the time that the job takes on an idle fleet.

        Args:
            slots: Slots of the whole fleet.

        Returns:
            Its longest task, or its work spread evenly over all slots if
            that is longer. No scheduler can be faster.
        """
        return max(max(self.run_ms), sum(self.run_ms) / slots) / 1000


def _run_ms(flow: scenarios.Flow, rng: random.Random) -> int:
    """Draws the run time of one task."""
    long = rng.random() < flow.long_share
    low, high = flow.long_run_ms if long else flow.run_ms
    return round(math.exp(rng.uniform(math.log(low), math.log(high))))


def _key_form(flow: scenarios.Flow, rng: random.Random) -> KeySource:
    """Draws how a submission is keyed."""
    draw = rng.random()
    if draw < flow.ticket_share:
        return KeySource.TICKET
    if draw < flow.ticket_share + flow.own_key_share:
        return KeySource.OWN
    return KeySource.NONE


def _rate(flow: scenarios.Flow, mean_s: float, at_s: float) -> float:
    """Returns the rate of arrivals per second at a time."""
    if not flow.wave_period_s:
        return mean_s
    phase = (at_s % flow.wave_period_s) / flow.wave_period_s
    if phase < flow.wave_share:
        return mean_s * flow.wave_height
    rest = 1 - flow.wave_share * flow.wave_height
    return mean_s * rest / (1 - flow.wave_share)


def _times(
    flow: scenarios.Flow, mean_s: float, end_s: float, rng: random.Random
) -> Iterator[float]:
    """Yields arrival times of a Poisson process with a varying rate.

    Notes:
        Thinning (Lewis and Shedler 1979): candidates come at the highest
        rate, and each is kept with the share of the rate at its time.
    """
    highest = mean_s * max(1.0, flow.wave_height if flow.wave_period_s else 0)
    at_s = flow.start_s
    while highest > 0:
        at_s += rng.expovariate(highest)
        if at_s >= end_s:
            return
        if rng.random() * highest < _rate(flow, mean_s, at_s):
            yield at_s


def _draw(
    at_s: float, customer: str, flow: scenarios.Flow, rng: random.Random
) -> Arrival:
    """Draws one arrival; its number is set later."""
    tasks = rng.randint(*flow.tasks)
    run_ms = tuple(_run_ms(flow, rng) for _ in range(tasks))
    form = _key_form(flow, rng)
    again = rng.random() < flow.resubmit_share
    delay_s = rng.uniform(*flow.resubmit_after_s)
    keyed = form is not KeySource.NONE
    resubmit = delay_s if again and keyed else None
    return Arrival(0, at_s, customer, flow, run_ms, form, resubmit)


def plan(scenario: scenarios.Scenario) -> tuple[Arrival, ...]:
    """Returns all arrivals of a scenario in order of time."""
    drawn = []
    for customer in scenario.customer:
        for position, flow in enumerate(customer.flow):
            seed = f"{scenario.seed}/{customer.name}/{flow.kind}/{position}"
            rng = random.Random(seed)
            mean_s = flow.mean_jobs_s(scenario.slots) / flow.batch
            end_s = flow.end_s or scenario.duration_s
            for at_s in _times(flow, mean_s, end_s, rng):
                drawn += [
                    _draw(at_s, customer.name, flow, rng)
                    for _ in range(flow.batch)
                ]
    drawn.sort(key=lambda arrival: arrival.at_s)
    return tuple(
        attrs.evolve(arrival, number=number)
        for number, arrival in enumerate(drawn)
    )
