"""Schedulers as one runner knows them."""

import attrs

from trefoilgw.work import core as work

# A scheduler's runs go on only so long after the last ping that it answered.
# Must stay well below the time after which a caller sends its job again.
AUTHORITY_S = 0.6
# A broken stream may be opened again by the same two processes in this time.
REJOIN_S = 0.3


@attrs.frozen
class Bid:
    """Waiting work of a scheduler in one urgency class.

    Attributes:
        urgency: The class.
        latest_start_s: When its most urgent task should start.
        head: Room that this task needs.
        wanted: Room that all its waiting tasks need.
    """

    urgency: int
    latest_start_s: float
    head: work.Demand
    wanted: work.Demand


@attrs.frozen
class Reservation:
    """Room that is held for a scheduler until it answers an offer."""

    number: int
    urgency: int
    room: work.Demand
    until_s: float


@attrs.define(eq=False)
class Owner:
    """A scheduler that may have runs at the target.

    Attributes:
        name: Incarnation of the scheduler.
        authority_until_s: Nothing is started for it from this time on.
        connected: Whether its stream is open.
        received: `StartRuns` messages on the open stream.
        bids: Its waiting work.
        reservations: Open offers by number.
        reported: The last `CapacityReport` sent to it.
    """

    name: str
    authority_until_s: float
    connected: bool = True
    received: int = 0
    bids: tuple[Bid, ...] = ()
    reservations: dict[int, Reservation] = attrs.field(factory=dict)
    reported: object = None

    def reserved(self) -> work.Demand:
        """Returns all room that is held for it."""
        return work.total(x.room for x in self.reservations.values())

    def offered(self, urgency: int) -> work.Demand:
        """Returns the room that is held for its work of one class."""
        return work.total(
            x.room for x in self.reservations.values() if x.urgency == urgency
        )

    def disconnect(self, now_s: float) -> None:
        """Notes that the stream broke; a new one may follow soon."""
        self.connected = False
        self.bids = ()
        self.reservations.clear()
        self.reported = None
        self.received = 0
        self.authority_until_s = min(self.authority_until_s, now_s + REJOIN_S)
