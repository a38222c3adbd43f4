"""State that a runner keeps of each scheduler."""

import math

import attrs

from trefoilgw.messages import runs as messages
from trefoilgw.work import core as work
from trefoilgw.work import rates
from trefoilgw.work import run_limits

# A scheduler's runs are stopped this long after it last renewed its authority,
# by the answer to a ping or by an order. Must stay well below the time after
# which a caller sends its job again, which may then run through another
# scheduler.
AUTHORITY_S = 0.9
# Time after the end of its authority in which a scheduler's runs are stopped:
# the allocator's next tick, the call, and the target's time to stop. The lease
# of the target's runs ends after it.
STOP_ALLOWANCE_S = 0.25
# Time after the end of its authority in which a scheduler may still bid. Pings
# to a scheduler without runs are 1 s apart, longer than its authority.
BID_GRACE_S = 0.3
# Time in which the same two processes may reopen a broken stream and keep the
# runs.
RECONNECT_S = 0.3
# A target counts as busy while less than the first share of its CPU is free,
# and as free from the second one on.
BUSY_SHARE = 0.25
FREE_SHARE = 0.5


@attrs.frozen
class Bid:
    """Waiting tasks of a scheduler in one urgency class.

    Attributes:
        urgency: The class.
        latest_start_s: Time by which its most urgent task should start.
        next_demand: Capacity that this task needs.
        total_demand: Capacity that all its waiting tasks need.
        expected_s: Expected run time of the most urgent task, 0 if unknown.
        error: Mean absolute error of the logarithm of that time.
    """

    urgency: int
    latest_start_s: float
    next_demand: work.Demand
    total_demand: work.Demand
    expected_s: float = 0.0
    error: float = run_limits.TYPICAL_ERROR


def bids_of(message: messages.Bid, now_s: float) -> tuple[Bid, ...]:
    """Returns the bids of a message that was received at a time."""
    return tuple(
        Bid(
            x.urgency,
            now_s + x.slack_s,
            x.room.demand,
            x.wanted.demand,
            x.expected_s,
            x.error,
        )
        for x in message.demands
    )


@attrs.frozen
class Reservation:
    """Capacity that is reserved for a scheduler until it answers an offer.

    Attributes:
        number: Number of the offer.
        urgency: Urgency class of the bid that it is for.
        capacity: The reserved capacity.
        until_s: Time at which the offer expires.
        backfill: Whether it is made before a more urgent task that is blocked.
        ends_by_s: Time by which its runs must surely end.
    """

    number: int
    urgency: int
    capacity: work.Demand
    until_s: float
    backfill: bool = False
    ends_by_s: float = math.inf


@attrs.define(eq=False)
class Owner:
    """A scheduler that may have runs on the target.

    Attributes:
        name: Incarnation of the scheduler.
        authority_until_s: Time from which nothing is started for it and its
            runs are stopped.
        connected: Whether its stream is open.
        starts_received: Number of `StartRuns` messages on the open stream.
        bids: Its waiting tasks by urgency class.
        reservations: Open offers by number.
        last_report: The last `CapacityReport` sent to it.
        reported_s: Time of that report.
        run_ended: Whether one of its runs has ended since then.
        retiring: Whether its stream will be closed, so that it gets no more
            capacity.
        reach: Number of runners connected to it, 0 if unknown.
        started: Rates at which CPU is started for it.
    """

    name: str
    authority_until_s: float
    connected: bool = True
    starts_received: int = 0
    bids: tuple[Bid, ...] = ()
    reservations: dict[int, Reservation] = attrs.field(factory=dict)
    last_report: object = None
    reported_s: float = -math.inf
    run_ended: bool = False
    retiring: bool = False
    reach: int = 0
    started: rates.CpuRates = attrs.field(factory=rates.CpuRates)

    def may_bid(self, now_s: float) -> bool:
        """Returns whether its bids count; a frozen scheduler answers none."""
        return (
            bool(self.bids)
            and not self.retiring
            and now_s < self.authority_until_s + BID_GRACE_S
        )

    def reserved(self) -> work.Demand:
        """Returns the total capacity of its open offers."""
        return work.total(x.capacity for x in self.reservations.values())

    def reserved_for(self, urgency: int) -> work.Demand:
        """Returns the capacity of its open offers in one urgency class."""
        return work.total(
            x.capacity
            for x in self.reservations.values()
            if x.urgency == urgency
        )

    def covers(self, bid: Bid) -> bool:
        """Returns whether its open offers are enough for one of its bids.

        The tasks of a bid without CPU get one offer at a time.
        """
        wanted = bid.total_demand.cpu_millicores
        if wanted > 0:
            return self.reserved_for(bid.urgency).cpu_millicores >= wanted
        return any(x.urgency == bid.urgency for x in self.reservations.values())

    def expire_reservations(self, now_s: float) -> None:
        """Frees the capacity of offers that were not answered in time."""
        for reservation in list(self.reservations.values()):
            if now_s >= reservation.until_s:
                del self.reservations[reservation.number]

    def is_misled(self, usable: bool, suspect: bool, free: work.Demand) -> bool:
        """Returns whether the last report misleads the scheduler.

        Args:
            usable: Whether the target may be used.
            suspect: Whether the target is suspect.
            free: Capacity that is neither in use nor reserved.
        """
        last = self.last_report
        if last is None or last.usable != (usable and not self.retiring):
            return True
        capacity = last.capacity.cpu_millicores
        took_for_busy = last.free.cpu_millicores < BUSY_SHARE * capacity
        is_free = free.cpu_millicores >= FREE_SHARE * capacity
        return last.suspect != suspect or (took_for_busy and is_free)

    def drop_bids(
        self, urgency: int, *, keep_more_urgent: bool = False
    ) -> None:
        """Removes the bids of a class and of all more urgent ones.

        A scheduler that declines an offer has no such work left, and tells of
        new work with its next bid.

        Args:
            urgency: The class.
            keep_more_urgent: Whether those of more urgent classes stay, as the
                offer was made before such work that is blocked.
        """
        self.bids = tuple(
            x
            for x in self.bids
            if x.urgency > urgency or (keep_more_urgent and x.urgency < urgency)
        )

    def disconnect(self, now_s: float) -> None:
        """Clears the state of a broken stream.

        The authority ends after `RECONNECT_S` at the latest, unless the
        scheduler connects again.
        """
        self.connected = False
        self.bids = ()
        self.reservations.clear()
        self.last_report = None
        self.starts_received = 0
        self.authority_until_s = min(
            self.authority_until_s, now_s + RECONNECT_S
        )
