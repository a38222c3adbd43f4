"""How many runners a scheduler asks for, relative to the others.

Load pattern: the balancer gives one failure domain three times the callers of
another one, and its hosts have a third of the processors. With equal numbers of
runners a small host spends its processor on streams, and a scheduler with many
callers competes at each of its runners with more work than the others have.

A scheduler starts with the weight of its host. It raises the weight step by
step while it starts much more CPU at a runner than the other schedulers there
do on average, and lowers it while it starts much less. The program passes the
weight on and the runners select by it.
"""

from collections.abc import Iterable

import attrs

from trefoilgw.scheduling import runners
from trefoilgw.subsets import core as subsets
from trefoilgw.work import rates

# Interval between two measurements.
MEASURE_INTERVAL_S = 1.0
# Time constant of the averages, which spans several bursts of one caller.
SMOOTHING_S = 8.0
# Least time between two changes of the weight. Each of them moves streams.
CHANGE_INTERVAL_S = 10.0
# Ratio to the mean of the others above which, and below whose reciprocal, the
# weight changes. It is more than a step, so that a step can't undo itself.
UNEVEN_RATIO = 1.7
# Steps for each factor of two, and steps in either direction from the weight of
# the host. A small host is not to get the streams of one four times as large.
STEPS_PER_DOUBLING = 2
MAX_STEPS = 2
# Share of the runners' capacity that is started in a second below which there
# is room everywhere, and the rates are too small to compare.
LEAST_LOAD_SHARE = 0.05


@attrs.define(eq=False)
class ReachWeight:
    """Weight of one scheduler.

    Attributes:
        host_weight: Weight of its host, as of `subsets.host_weight`.
        steps: Steps by which the weight differs from it.
        own_cpu: Average rate of CPU admitted here, for each runner, in
            millicores per second.
        other_cpu: Average rate of CPU started by one other scheduler, for each
            runner, in millicores per second.
        measured_s: Time of the last measurement, None before the first one.
        changed_s: Time of the last change, or of the first measurement.
    """

    host_weight: int
    steps: int = 0
    own_cpu: float = 0.0
    other_cpu: float = 0.0
    measured_s: float | None = None
    changed_s: float = 0.0

    @property
    def weight(self) -> int:
        """Weight in thousandths of a host of one core."""
        weight = self.host_weight * 2.0 ** (self.steps / STEPS_PER_DOUBLING)
        bounded = min(subsets.MAX_WEIGHT, max(subsets.MIN_WEIGHT, weight))
        return round(bounded)

    def measure(
        self,
        views: Iterable[runners.RunnerView],
        admitted: rates.CpuRates,
        now_s: float,
    ) -> bool:
        """Measures the load; returns whether the weight has changed.

        Call it every `MEASURE_INTERVAL_S`.

        Args:
            views: All runners. Those that don't report what they start for
                others are left out.
            admitted: Rates at which admitted jobs demand CPU here.
            now_s: Current time.
        """
        connected = [x for x in views if x.usable]
        reporting = [
            x
            for x in connected
            if x.report.others_started and x.report.schedulers > 1
        ]
        last_s, self.measured_s = self.measured_s, now_s
        if last_s is None:
            self.changed_s = now_s
            return False
        if not reporting:
            return False
        own = admitted.total() / len(connected)
        pairs = sum(x.report.schedulers - 1 for x in reporting)
        started = sum(
            rates.from_step(y)
            for x in reporting
            for y in x.report.others_started
        )
        capacity = sum(x.report.capacity.cpu_millicores for x in reporting)
        total = own * len(reporting) + started
        if total < LEAST_LOAD_SHARE * capacity:
            return False
        share = min(1.0, (now_s - last_s) / SMOOTHING_S)
        self.own_cpu += share * (own - self.own_cpu)
        self.other_cpu += share * (started / pairs - self.other_cpu)
        return self._change(now_s)

    def _change(self, now_s: float) -> bool:
        """Changes the weight by a step if the load is uneven."""
        if now_s - self.changed_s < CHANGE_INTERVAL_S:
            return False
        steps = self.steps
        if self.own_cpu > UNEVEN_RATIO * self.other_cpu:
            steps = min(MAX_STEPS, steps + 1)
        elif UNEVEN_RATIO * self.own_cpu < self.other_cpu:
            steps = max(-MAX_STEPS, steps - 1)
        if steps == self.steps:
            return False
        before = self.weight
        self.steps = steps
        self.changed_s = now_s
        return self.weight != before
