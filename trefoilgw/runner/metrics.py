"""Metrics of a runner."""

import attrs

from trefoilgw.messages import runs
from trefoilgw.metrics import core as metrics
from trefoilgw.room import core as room
from trefoilgw.work import core as work


@attrs.define(eq=False)
class RunnerMetrics:
    """Metrics of one runner.

    Attributes:
        registry: All metrics.
        ended: Attempts that have ended or were refused, by ending and reason.
        run_seconds: Run times of successful attempts.
        start_seconds: Times from a start request to the target's confirmation.
    """

    registry: metrics.Registry = attrs.field(factory=metrics.Registry)
    ended: metrics.Counter = attrs.field(init=False)
    run_seconds: metrics.Histogram = attrs.field(init=False)
    start_seconds: metrics.Histogram = attrs.field(init=False)

    def __attrs_post_init__(self):
        registry = self.registry
        self.ended = registry.counter(
            "runs_ended", "Attempts that are over", "ending", "reason"
        )
        self.run_seconds = registry.histogram(
            "run_seconds", "Seconds of runs done"
        )
        self.start_seconds = registry.histogram(
            "start_seconds", "Seconds until the target confirmed a start"
        )

    def run_ended(self, ended: runs.RunEnded) -> None:
        """Counts the end of an attempt."""
        self.ended.add(1, ended.ending, ended.reason)
        if ended.ending == work.Ending.DONE:
            self.run_seconds.observe(ended.run_s)

    def register_gauges(self, allocator: room.CapacityAllocator) -> None:
        """Registers gauges that read the state of the allocator."""
        registry = self.registry
        registry.observable_gauge(
            "runs",
            "Attempts that use room",
            metrics.unlabeled(lambda: len(allocator.runs)),
        )
        registry.observable_gauge(
            "free_millicores",
            "Room that is neither used nor reserved",
            metrics.unlabeled(lambda: allocator.free().cpu_millicores),
        )
        registry.observable_gauge(
            "schedulers",
            "Schedulers with authority or runs",
            metrics.unlabeled(lambda: len(allocator.owners)),
        )
        backfilling = allocator.backfilling
        registry.observable_counter(
            "room_reservations",
            "Tasks for which freed room was kept",
            metrics.unlabeled(lambda: backfilling.reservations),
        )
        registry.observable_counter(
            "backfilled_runs",
            "Runs started before a task for which room was kept",
            metrics.unlabeled(lambda: backfilling.backfilled),
        )
        registry.observable_counter(
            "blocked_seconds",
            "Seconds in which the most urgent waiting task did not fit",
            metrics.unlabeled(lambda: backfilling.blocked_s),
        )
        registry.observable_gauge(
            "evacuated",
            "Whether the failure domain is evacuated",
            metrics.unlabeled(lambda: allocator.evacuated),
        )
        registry.observable_gauge(
            "target_usable_share",
            "Share of the target's CPU that may be used, below 1 in a warm-up",
            metrics.unlabeled(lambda: allocator.usable_share),
        )
        registry.observable_gauge(
            "target_slowness",
            "Actual over expected run times at the target",
            metrics.unlabeled(lambda: 1.0 / allocator.target_speed.speed),
        )
        registry.observable_gauge(
            "target_slowness_error",
            "Standard error of the logarithm of the slowness, 1 if unknown",
            metrics.unlabeled(lambda: min(1.0, allocator.target_speed.error)),
        )
        registry.observable_gauge(
            "target_relapses",
            "Times that the target was in doubt again soon after probes",
            metrics.unlabeled(lambda: allocator.target_health.probes.relapses),
        )
        registry.observable_gauge(
            "target_usable",
            "Whether the target takes work, by why it is in doubt",
            lambda: [
                metrics.Sample(
                    allocator.usable,
                    (allocator.target_health.suspect_reason.value,),
                )
            ],
            "doubt",
        )
