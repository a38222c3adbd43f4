"""Speeds of the targets of a service, relative to each other.

Each runner reports the ratio of actual to expected run times at its target.
The expected times are those of the schedulers, which learn them from the same
runs, so a factor common to all runners says nothing about the targets. The
slowness of a runner is therefore taken relative to the mean of all runners of
its service, and an expected time is one at a target of mean speed.

Load pattern: targets of one service differ in speed by a factor of two and
more. A run of 1.8 s that ends in time at most targets ends late at the slow
ones, while a run of 0.1 s ends in time everywhere.
"""

import logging
import math
from collections.abc import Iterable
from collections.abc import Sequence

import attrs

from trefoilgw.messages import runs as messages
from trefoilgw.scheduling import runners
from trefoilgw.work import slowness

# Standard deviation over the targets of a service, in steps of the wire form,
# from which they count as uneven, and below which as even again. Rounding and
# the error of an estimate make up 0.8 steps.
UNEVEN_DEVIATION = 1.25
EVEN_DEVIATION = 1.0
# The same for the distance of a single target from the mean, as one target out
# of many hardly changes the deviation.
UNEVEN_DISTANCE = 4.0
EVEN_DISTANCE = 3.0

log = logging.getLogger(__name__)


@attrs.define
class FleetSpeeds:
    """Relative speeds of the targets by service.

    Attributes:
        uneven: Services whose targets differ.
        fastest: Least slowness of a healthy target, by service.
        spread: Ratio of the greatest to the least slowness, by service.
        changed: Whether a runner's speed, health or presence has changed since
            the last update.
    """

    uneven: set[str] = attrs.field(factory=set)
    fastest: dict[str, float] = attrs.field(factory=dict)
    spread: dict[str, float] = attrs.field(factory=dict)
    changed: bool = False

    def fastest_at(self, service: str) -> float:
        """Returns the least slowness of a service's healthy targets."""
        return self.fastest.get(service, 1.0)

    def note_report(
        self, view: runners.RunnerView, report: messages.CapacityReport
    ) -> None:
        """Notes a report before it replaces the runner's last one.

        An invalid slowness counts as unknown; there is one log line for it as
        long as the runner is connected.
        """
        last = view.report
        if (
            last is not None
            and last.slowness == report.slowness
            and last.usable == report.usable
            and last.suspect == report.suspect
            and last.slow == report.slow
        ):
            return
        self.changed = True
        if view.odd_slowness or slowness.is_valid(report.slowness):
            return
        view.odd_slowness = True
        log.warning(
            "reported speed ignored",
            extra={"runner": view.name, "code": repr(report.slowness)[:40]},
        )

    def update(self, views: Iterable[runners.RunnerView]) -> None:
        """Updates the relative slowness of each runner.

        While the targets of a service are even, their runners have none.
        """
        self.changed = False
        services: dict[str, list[runners.RunnerView]] = {}
        for view in views:
            view.fleet_slowness = None
            if view.usable and not view.suspect:
                services.setdefault(view.report.service, []).append(view)
        self.uneven &= services.keys()
        self.fastest.clear()
        self.spread.clear()
        for service, members in services.items():
            self._update_service(service, members)

    def _update_service(
        self, service: str, members: list[runners.RunnerView]
    ) -> None:
        """Updates the relative slowness of the runners of one service."""
        steps = [slowness.steps_of(x.report.slowness) for x in members]
        known = [x for x in steps if x is not None]
        if not known:
            self.uneven.discard(service)
            return
        mean = sum(known) / len(known)
        self.spread[service] = slowness.from_steps(max(known) - min(known))
        if not _is_uneven(known, mean, service in self.uneven):
            self.uneven.discard(service)
            return
        self.uneven.add(service)
        # A target whose speed is not known counts as one of mean speed.
        for view, step in zip(members, steps, strict=True):
            relative = 0.0 if step is None else step - mean
            view.fleet_slowness = slowness.from_steps(relative)
        self.fastest[service] = min(x.fleet_slowness for x in members)


def _is_uneven(steps: Sequence[int], mean: float, was_uneven: bool) -> bool:
    """Returns whether the targets of a service differ by more than noise.

    Args:
        steps: Known slownesses in steps.
        mean: Their mean.
        was_uneven: Whether they did at the last update.
    """
    distances = [abs(x - mean) for x in steps]
    deviation = math.sqrt(sum(x * x for x in distances) / len(distances))
    if was_uneven:
        return deviation > EVEN_DEVIATION or max(distances) > EVEN_DISTANCE
    return deviation > UNEVEN_DEVIATION or max(distances) > UNEVEN_DISTANCE
