"""A scheduler's view of the runners."""

import math

import attrs

from trefoilgw.messages import runs as messages
from trefoilgw.work import core as work

# Time after the last renewal of the authority by which all runs of an
# unreachable runner have ended. The runner may start runs during its 0.9 s of
# authority, and their lease ends 0.25 s after it, a little later on a slow
# clock. The rest is for hosts that act late.
RUN_EXPIRY_S = 2.05
# Weight of a new run in the moving average of the slowness.
SLOWNESS_WEIGHT = 0.1
# Bounds the ratio of actual to expected run time of a single run, and its
# reciprocal.
MAX_RUN_RATIO = 8.0
NO_BID = messages.Bid(())


@attrs.define(eq=False)
class RunnerView:
    """State of one runner as the scheduler knows it.

    Attributes:
        name: Name of the runner's host.
        incarnation: Current incarnation of the runner.
        domain: Failure domain.
        connected: Whether its stream is open.
        evacuated: Whether its failure domain is evacuated.
        report: Latest capacity report, None before the first one.
        blocked: Whether it has refused a task since the latest report, other
            than for its headroom.
        starts_sent: Number of `StartRuns` messages on the open stream.
        unreported_demands: Number of the `StartRuns` message and demand of
            each task that the latest report does not cover.
        joined_s: Time at which its stream was opened.
        renewed_s: Time at which this scheduler's authority at the runner was
            last renewed: by the answer to a ping, by an order, or by opening
            the stream.
        ping_sent_s: When its last ping was sent, on its own clock; None before
            the first one.
        ping_received_s: Time at which that ping was received.
        last_report_s: Time of its latest report, or at which its stream opened
            if that is later.
        log_slowness: Moving average of the logarithm of actual over expected
            run times of this scheduler's runs.
        fleet_slowness: Run times relative to those at the mean target of its
            service, as the runners report them; None while these are even.
        slow_as_others: Whether its target is slow like the others of its
            service, and is used like them.
        odd_slowness: Whether it has reported an invalid slowness on the open
            stream.
        refused_until_s: End of the time in which it reserves its headroom for
            more urgent work, by the urgency class that it refused.
        bid: Last bid sent to it.
        bid_sent_s: Time at which that bid was sent.
        probed_s: Time at which it last got a task while suspect.
        awaiting_since_s: Time of the report since which a probe is due, if one
            is.
    """

    name: str
    incarnation: str
    domain: str
    connected: bool = True
    evacuated: bool = False
    report: messages.CapacityReport | None = None
    blocked: bool = False
    starts_sent: int = 0
    unreported_demands: list[tuple[int, work.Demand]] = attrs.field(
        factory=list
    )
    joined_s: float = -math.inf
    renewed_s: float = 0.0
    ping_sent_s: float | None = None
    ping_received_s: float = 0.0
    last_report_s: float = 0.0
    log_slowness: float = 0.0
    fleet_slowness: float | None = None
    slow_as_others: bool = False
    odd_slowness: bool = False
    refused_until_s: dict[int, float] = attrs.field(factory=dict)
    bid: messages.Bid = NO_BID
    bid_sent_s: float = 0.0
    probed_s: float = -1e9
    awaiting_since_s: float = -math.inf
    _free: work.Demand | None = None

    @property
    def usable(self) -> bool:
        """Whether tasks may be sent to the runner."""
        return (
            self.connected
            and not self.evacuated
            and self.report is not None
            and self.report.usable
        )

    @property
    def suspect(self) -> bool:
        """Whether the runner gets probes only."""
        return (
            self.report is not None
            and self.report.suspect
            and not self.slow_as_others
        )

    @property
    def awaits_probe(self) -> bool:
        """Whether a task that is sent now would start as a probe.

        What was sent since the last report may be one.
        """
        return (
            self.suspect
            and self.report.probe_due
            and not self.blocked
            and not self.unreported_demands
        )

    @property
    def slowness(self) -> float:
        """Actual over expected run times on the runner; 1 is normal.

        The runner sees more runs than this scheduler, so its report takes
        precedence.
        """
        if self.fleet_slowness is not None:
            return self.fleet_slowness
        return math.exp(self.log_slowness)

    def serves(self, service: str) -> bool:
        """Returns whether the runner can run tasks of a service."""
        return self.usable and self.report.service == service

    def free(self) -> work.Demand:
        """Returns the estimated free capacity.

        Demands that the latest report does not cover are subtracted from it.
        It is 0 without a report and while `blocked` is true.
        """
        if self.blocked or self.report is None:
            return work.Demand()
        if self._free is None:
            self._free = self.report.free.demand.minus(
                work.total(demand for _, demand in self.unreported_demands)
            )
        return self._free

    def add_unreported(self, demand: work.Demand) -> None:
        """Subtracts the demand of a task in the next `StartRuns` message."""
        self.unreported_demands.append((self.starts_sent + 1, demand))
        self._free = None

    def remove_last_unreported(self) -> None:
        """Takes back the last `add_unreported`."""
        self.unreported_demands.pop()
        self._free = None

    def used(self) -> int:
        """Returns the millicores in use."""
        if self.report is None:
            return 0
        free = self.free().cpu_millicores
        return max(0, self.report.capacity.cpu_millicores - free)

    def has_capacity(self) -> bool:
        """Returns whether any processor capacity is free."""
        return self.free().cpu_millicores > 0

    def update_report(self, report: messages.CapacityReport) -> None:
        """Stores a report and drops the demands that it covers."""
        self.report = report
        self._free = None
        self.blocked = False
        self.unreported_demands = [
            x for x in self.unreported_demands if x[0] > report.starts_received
        ]

    def note_report_time(
        self, last: messages.CapacityReport | None, now_s: float
    ) -> None:
        """Notes when the latest report has arrived.

        Args:
            last: The report before it, None if it is the first one.
            now_s: Current time.
        """
        self.last_report_s = now_s
        if last is None or not (last.suspect and last.probe_due):
            self.awaiting_since_s = now_s

    def refuse_until(self, urgency: int, until_s: float) -> None:
        """Excludes an urgency class and all less urgent ones for a time."""
        self.refused_until_s[urgency] = until_s

    def expire_refusals(self, now_s: float) -> None:
        """Forgets the refusals whose time is over."""
        for urgency, until_s in list(self.refused_until_s.items()):
            if now_s >= until_s:
                del self.refused_until_s[urgency]

    def accepts(self, urgency: int, now_s: float) -> bool:
        """Returns whether work of an urgency class may be sent."""
        if not self.refused_until_s:
            return True
        return all(
            now_s >= until_s or urgency < refused_class
            for refused_class, until_s in self.refused_until_s.items()
        )

    def drop_bids(
        self, urgency: int, *, keep_more_urgent: bool = False
    ) -> None:
        """Notes that the runner drops the bids of a class and above.

        It does so when it learns that an offer is declined.

        Args:
            urgency: The class.
            keep_more_urgent: Whether it keeps those of more urgent
                classes.
        """
        self.bid = messages.Bid(
            tuple(
                x
                for x in self.bid.demands
                if x.urgency > urgency
                or (keep_more_urgent and x.urgency < urgency)
            )
        )

    def pinged(self, sent_s: float, now_s: float) -> None:
        """Notes that a ping is answered, which renews the authority.

        Args:
            sent_s: When the ping was sent, on the runner's clock.
            now_s: Current time.
        """
        self.renewed_s = now_s
        self.ping_sent_s = sent_s
        self.ping_received_s = now_s

    def renew_by_order(self, alive_s: float) -> float:
        """Notes that an order is sent, which renews the authority.

        Args:
            alive_s: Time at which this process was certainly not paused.

        Returns:
            That time on the runner's clock; see `on_runner_clock`.
        """
        if self.ping_sent_s is not None:
            self.renewed_s = max(self.renewed_s, alive_s)
        return self.on_runner_clock(alive_s)

    def on_runner_clock(self, time_s: float) -> float:
        """Returns a time on the runner's clock, or a little earlier.

        Args:
            time_s: The time on the own clock.

        Returns:
            0 if there was no ping yet, which tells the runner's clock.
        """
        if self.ping_sent_s is None:
            return 0.0
        return max(0.0, self.ping_sent_s + time_s - self.ping_received_s)

    def learn(self, run_s: float, expected_s: float) -> None:
        """Updates the slowness with one completed run."""
        ratio = min(MAX_RUN_RATIO, max(run_s, 0.001) / max(expected_s, 0.001))
        step = math.log(max(ratio, 1.0 / MAX_RUN_RATIO)) - self.log_slowness
        self.log_slowness += SLOWNESS_WEIGHT * step

    def connect(self, incarnation: str, now_s: float) -> None:
        """Resets the state that belongs to a stream when a new one opens."""
        self.incarnation = incarnation
        self.connected = True
        self.report = None
        self.fleet_slowness = None
        self.slow_as_others = False
        self.odd_slowness = False
        self.starts_sent = 0
        self.unreported_demands.clear()
        self.bid = NO_BID
        self.joined_s = now_s
        self.renewed_s = now_s
        self.ping_sent_s = None
        self.last_report_s = now_s
