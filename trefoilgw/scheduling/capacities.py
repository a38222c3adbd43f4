"""Largest targets of each service.

Load pattern: jobs that can never run, since a task needs more than any target
has. If they were rejected like overload, their callers would return for ever.
Targets that are away are remembered for a while, so that such a job is told
apart from one that only has to wait for their return.
"""

import attrs

from trefoilgw.work import core as work

# A target is expected to return within this time if at all.
MEMORY_S = 600.0


@attrs.define
class LargestTargets:
    """Capacities of the targets that were reported lately.

    Attributes:
        reports: Time of the last report and capacity, by service and runner.
    """

    reports: dict[str, dict[str, tuple[float, work.Demand]]] = attrs.field(
        factory=dict
    )

    def record(
        self, service: str, runner: str, capacity: work.Demand, now_s: float
    ) -> None:
        """Records the capacity of a runner's target."""
        self.reports.setdefault(service, {})[runner] = (now_s, capacity)

    def exceeded(
        self, service: str, demand: work.Demand, now_s: float
    ) -> work.Demand | None:
        """Returns the limit that a demand exceeds on every target.

        Args:
            service: Name of the service.
            demand: Capacity that one task needs.
            now_s: Current time.

        Returns:
            The largest amount of each resource, None if the demand fits in
            some target or no target is known.
        """
        reports = self.reports.get(service, {})
        for runner, (reported_s, _) in list(reports.items()):
            if now_s - reported_s > MEMORY_S:
                del reports[runner]
        capacities = [capacity for _, capacity in reports.values()]
        if not capacities or any(demand.fits_in(x) for x in capacities):
            return None
        return work.Demand(
            max(x.cpu_millicores for x in capacities),
            max(x.memory_mb for x in capacities),
            max(x.accelerators for x in capacities),
        )
