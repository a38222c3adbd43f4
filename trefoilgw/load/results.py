"""Counts and latency histograms of a run, as measured by the callers.

Results of several processes that share a run are merged by addition. The
histograms are G. Tene's HdrHistogram with three significant digits.
"""

import collections

import attrs
from hdrh import histogram

MICROSECONDS_PER_S = 1_000_000
# Equals one hour in microseconds, or a ratio of 3.6 million in thousandths.
MAX_RECORDED_VALUE = 3_600_000_000
SIGNIFICANT_DIGITS = 3
RATIO_SCALE = 1000

# Counts that must be zero in every run, whatever the load.
FAULTS = (
    "partial",
    "wrong_result",
    "disagreement",
    "double_start",
    "false_not_run",
    "complete_without_start",
)


def new_histogram() -> histogram.HdrHistogram:
    """Returns an empty histogram."""
    return histogram.HdrHistogram(1, MAX_RECORDED_VALUE, SIGNIFICANT_DIGITS)


@attrs.define
class FlowResult:
    """Results of one kind of work of one customer.

    Attributes:
        customer: Name of the customer.
        kind: Name of the kind.
        flood: True if the work belongs to a flood.
        counts: Numbers of jobs by outcome, of requests, tasks and faults.
        reasons: Number of refused, failed and lost jobs by reason.
        response_us: Response times of complete jobs in microseconds.
        ratio: Ratio of response time to ideal time of complete jobs, in
            thousandths.
        added_us: Response time minus ideal time of complete jobs in
            microseconds.
    """

    customer: str
    kind: str
    flood: bool
    counts: collections.Counter = attrs.field(factory=collections.Counter)
    reasons: collections.Counter = attrs.field(factory=collections.Counter)
    response_us: histogram.HdrHistogram = attrs.field(factory=new_histogram)
    ratio: histogram.HdrHistogram = attrs.field(factory=new_histogram)
    added_us: histogram.HdrHistogram = attrs.field(factory=new_histogram)

    def record_response(self, response_s: float, ideal_s: float) -> None:
        """Records the response time of a complete job in all histograms."""
        ratio = response_s / max(ideal_s, 1e-6)
        added_s = max(0.0, response_s - ideal_s)
        _record(self.response_us, response_s * MICROSECONDS_PER_S)
        _record(self.ratio, ratio * RATIO_SCALE)
        _record(self.added_us, added_s * MICROSECONDS_PER_S)

    def merge(self, other: "FlowResult") -> None:
        """Adds the results of another process or flow."""
        self.counts.update(other.counts)
        self.reasons.update(other.reasons)
        self.response_us.add(other.response_us)
        self.ratio.add(other.ratio)
        self.added_us.add(other.added_us)

    def ratio_at(self, percentile: float) -> float:
        """Returns the ratio of response to ideal at a percentile (0 to 100)."""
        return self.ratio.get_value_at_percentile(percentile) / RATIO_SCALE

    def response_s_at(self, percentile: float) -> float:
        """Returns the response time in seconds at a percentile (0 to 100)."""
        value = self.response_us.get_value_at_percentile(percentile)
        return value / MICROSECONDS_PER_S

    def added_s_at(self, percentile: float) -> float:
        """Returns response minus ideal, in seconds, at a percentile."""
        value = self.added_us.get_value_at_percentile(percentile)
        return value / MICROSECONDS_PER_S


def _record(target: histogram.HdrHistogram, value: float) -> None:
    """Records a value, rounded and clamped to the histogram's range."""
    target.record_value(min(MAX_RECORDED_VALUE, max(1, round(value))))


@attrs.define
class Results:
    """Results of a run.

    Attributes:
        flows: `FlowResult` by customer, kind and whether it is a flood.
        generator_cpu_s: CPU time of the load processes in seconds.
        lag_us: Delay of the generator behind the planned arrivals, in
            microseconds.
        duration_s: Seconds from the start of the plan to the end of the run.
    """

    flows: dict = attrs.field(factory=dict)
    generator_cpu_s: float = 0.0
    lag_us: histogram.HdrHistogram = attrs.field(factory=new_histogram)
    duration_s: float = 0.0

    def flow(self, customer: str, kind: str, flood: bool) -> FlowResult:
        """Returns the results of a flow, which are created if missing."""
        key = (customer, kind, flood)
        if key not in self.flows:
            self.flows[key] = FlowResult(customer, kind, flood)
        return self.flows[key]

    def record_lag(self, lag_s: float) -> None:
        """Records by how many seconds a job was sent later than planned."""
        _record(self.lag_us, lag_s * MICROSECONDS_PER_S)

    def merge(self, other: "Results") -> None:
        """Adds the results of another process of the same run."""
        for key, flow in other.flows.items():
            self.flow(*key).merge(flow)
        self.generator_cpu_s += other.generator_cpu_s
        self.lag_us.add(other.lag_us)
        self.duration_s = max(self.duration_s, other.duration_s)

    def total(self, flood: bool | None = None) -> FlowResult:
        """Returns the sum of all flows.

        Args:
            flood: Only floods if True, only other work if False, all flows
                if None.
        """
        total = FlowResult("all", "all", bool(flood))
        for flow in self.flows.values():
            if flood is None or flow.flood == flood:
                total.merge(flow)
        return total

    def counts(self) -> collections.Counter:
        """Returns the sums of the counts of all flows."""
        counts = collections.Counter()
        for flow in self.flows.values():
            counts.update(flow.counts)
        return counts

    def faults(self) -> dict[str, int]:
        """Returns the nonzero counts of `FAULTS`, empty if there are none."""
        counts = self.counts()
        return {name: counts[name] for name in FAULTS if counts[name]}


def to_lines(results: Results) -> list[dict]:
    """Returns the results as JSON objects for a JSON lines file."""
    run = {
        "type": "run",
        "generator_cpu_s": results.generator_cpu_s,
        "duration_s": results.duration_s,
        "lag_us": results.lag_us.encode().decode(),
    }
    return [run, *[_flow_line(flow) for flow in results.flows.values()]]


def _flow_line(flow: FlowResult) -> dict:
    """Returns the results of a flow as a JSON object."""
    return {
        "type": "flow",
        "customer": flow.customer,
        "kind": flow.kind,
        "flood": flow.flood,
        "counts": dict(flow.counts),
        "reasons": dict(flow.reasons),
        "ratio_p50": flow.ratio_at(50),
        "ratio_p99": flow.ratio_at(99),
        "response_p50_s": flow.response_s_at(50),
        "response_p99_s": flow.response_s_at(99),
        "response_us": flow.response_us.encode().decode(),
        "ratio": flow.ratio.encode().decode(),
        "added_us": flow.added_us.encode().decode(),
    }


def from_lines(lines: list[dict]) -> Results:
    """Returns the results from the objects of `to_lines`, skipping others.

    Raises:
        KeyError: A field is missing.
    """
    results = Results()
    for line in lines:
        if line.get("type") == "run":
            results.generator_cpu_s += line["generator_cpu_s"]
            results.duration_s = max(results.duration_s, line["duration_s"])
            results.lag_us.add(_decode_histogram(line["lag_us"]))
        elif line.get("type") == "flow":
            key = (line["customer"], line["kind"], line["flood"])
            results.flow(*key).merge(_parse_flow(line))
    return results


def _parse_flow(line: dict) -> FlowResult:
    """Returns the results of a flow from its JSON object."""
    return FlowResult(
        line["customer"],
        line["kind"],
        line["flood"],
        collections.Counter(line["counts"]),
        collections.Counter(line["reasons"]),
        _decode_histogram(line["response_us"]),
        _decode_histogram(line["ratio"]),
        _decode_histogram(line["added_us"]),
    )


def _decode_histogram(text: str) -> histogram.HdrHistogram:
    """Decodes a histogram that `HdrHistogram.encode` encoded."""
    return histogram.HdrHistogram.decode(text.encode())
