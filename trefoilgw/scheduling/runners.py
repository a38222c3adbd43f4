"""Runners as a scheduler sees them."""

import math

import attrs

from trefoilgw.messages import runs as messages
from trefoilgw.work import core as work

# A runner that can't be heard may have started a run for this long after the
# last answered ping, and its target may work on it for the rest: 0.6 s of
# authority, 1.02 s of lease on a slow clock, 0.05 s for a stop.
UNCERTAIN_S = 1.75
# Weight of a new run in the learned slowness.
SLOWNESS_WEIGHT = 0.1
# A single run counts at most as this many times its expected time.
RATIO_LIMIT = 8.0
NO_BID = messages.Bid(())


@attrs.define(eq=False)
class RunnerView:
    """What a scheduler knows of one runner.

    Attributes:
        name: Name of the runner's host.
        incarnation: The runner's current incarnation.
        domain: Failure domain.
        connected: Whether its stream is open.
        report: The latest report.
        blocked: True after a refusal for want of room, until the next report.
        sends: `StartRuns` messages on the open stream.
        unseen: Room asked for that the latest report does not include, by
            the number of the message.
        joined_s: When its stream was opened.
        renewed_s: When its last ping was answered.
        last_report_s: When its last report came.
        log_slowness: Logarithm of its run times relative to those expected.
        kept: Until when it keeps its room from work of a class, by class.
        bid: The last bid sent to it.
        bid_s: When that was sent.
        probed_s: When a task was last sent to it while it was suspect.
    """

    name: str
    incarnation: str
    domain: str
    connected: bool = True
    report: messages.CapacityReport | None = None
    blocked: bool = False
    sends: int = 0
    unseen: list[tuple[int, work.Demand]] = attrs.field(factory=list)
    joined_s: float = -math.inf
    renewed_s: float = 0.0
    last_report_s: float = 0.0
    log_slowness: float = 0.0
    kept: dict[int, float] = attrs.field(factory=dict)
    bid: messages.Bid = NO_BID
    bid_s: float = 0.0
    probed_s: float = -1e9

    @property
    def usable(self) -> bool:
        """Whether tasks may be sent to it."""
        return self.connected and self.report is not None and self.report.usable

    @property
    def suspect(self) -> bool:
        """Whether it is used for probes only."""
        return self.report is not None and self.report.suspect

    @property
    def slowness(self) -> float:
        """Its run times relative to those expected; 1 is normal."""
        return math.exp(self.log_slowness)

    def offers(self, service: str) -> bool:
        """Returns whether it runs tasks of a service."""
        return self.usable and self.report.service == service

    def free(self) -> work.Demand:
        """Returns the room that it should still have."""
        if self.blocked or self.report is None:
            return work.Demand()
        free = self.report.free.demand
        if not self.unseen:
            return free
        return free.minus(work.total(demand for _, demand in self.unseen))

    def used(self) -> int:
        """Returns the millicores of its room that are in use."""
        if self.report is None:
            return 0
        free = self.free().cpu_millicores
        return max(0, self.report.capacity.cpu_millicores - free)

    def has_room(self) -> bool:
        """Returns whether anything at all may fit."""
        return self.free().cpu_millicores > 0

    def reported(self, report: messages.CapacityReport) -> None:
        """Takes a report in."""
        self.report = report
        self.blocked = False
        self.unseen = [x for x in self.unseen if x[0] > report.starts_received]

    def keep_from(self, urgency: int, until_s: float) -> None:
        """Notes that it keeps its room for more urgent work."""
        self.kept[urgency] = until_s

    def takes(self, urgency: int, now_s: float) -> bool:
        """Returns whether it may take work of a class."""
        return all(
            now_s >= until_s or urgency < kept
            for kept, until_s in self.kept.items()
        )

    def learn(self, run_s: float, expected_s: float) -> None:
        """Learns from a run time."""
        ratio = min(RATIO_LIMIT, max(run_s, 0.001) / max(expected_s, 0.001))
        step = math.log(max(ratio, 1.0 / RATIO_LIMIT)) - self.log_slowness
        self.log_slowness += SLOWNESS_WEIGHT * step

    def join(self, incarnation: str, now_s: float) -> None:
        """Notes a new stream."""
        self.incarnation = incarnation
        self.connected = True
        self.report = None
        self.sends = 0
        self.unseen.clear()
        self.bid = NO_BID
        self.joined_s = now_s
        self.renewed_s = now_s
        self.last_report_s = now_s
