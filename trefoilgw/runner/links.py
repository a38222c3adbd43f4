"""Streams of a runner to a subset of the schedulers."""

import logging
import math
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Set

import attrs
import eventlet

from trefoilgw.membership import schedulers
from trefoilgw.messages import core as messages
from trefoilgw.messages import runs
from trefoilgw.room import core as room
from trefoilgw.streams import core as streams
from trefoilgw.streams import redialling
from trefoilgw.subsets import core as subsets

# Time from the last renewal of the authority of a scheduler that has runs here,
# or from the last ping, to the next ping. Two may be lost or late before the
# authority expires.
PING_INTERVAL_S = 0.3
# The same for other schedulers, which need no authority before their next
# order. The pings detect a broken stream.
IDLE_PING_INTERVAL_S = 1.0
PING_CHECK_INTERVAL_S = 0.1
# A ping that is due within this time goes out with another message, which saves
# both hosts a wake-up.
EARLY_PING_S = 0.1
SELECTION_INTERVAL_S = 0.3
# A stream is closed if a ping is not answered for this time.
MAX_SILENCE_S = 1.6
# A scheduler without a stream for this time is replaced by another one until
# it answers again.
UNREACHABLE_AFTER_S = 1.0
# Time in which orders sent before a scheduler learned that its stream will be
# closed arrive.
RETIREMENT_S = 1.0
# A weight that differs from the one in force by less than this ratio doesn't
# apply. The mean of all weights changes a little with each of them.
WEIGHT_TOLERANCE_RATIO = 1.1
# The share that is left to each scheduler is lowered only by more than this.
FLOOR_TOLERANCE = 1.5 / subsets.FLOOR_STEPS

log = logging.getLogger(__name__)


@attrs.define(eq=False)
class Link:
    """Connection state of one scheduler.

    Attributes:
        address: ``ip:port`` of the scheduler.
        down_since_s: Time since which there is no stream.
        owner: Incarnation of the scheduler on the last opened stream.
        stream: The open stream, or None.
        pinged_s: Time of the last ping on the open stream.
        unanswered_s: Time of the first ping since the last answer, or None.
        runners: Number of runners connected to the scheduler, 0 if unknown.
        retiring_since_s: Time since which the scheduler knows that its stream
            will be closed, or None.
        wanted: False once the stream is not to be opened again.
    """

    address: str
    down_since_s: float
    owner: str = ""
    stream: streams.Stream | None = None
    pinged_s: float = -math.inf
    unanswered_s: float | None = None
    runners: int = 0
    retiring_since_s: float | None = None
    wanted: bool = True


@attrs.define(eq=False)
class Links:
    """Maintains streams to the selected schedulers.

    Attributes:
        own: Name and failure domain of this runner, by which it selects.
        redialer: Opens the streams.
        allocator: Allocates the capacity of the target.
        now: Clock in seconds.
        on_change: Called after each change of the allocator.
        seeds: Addresses to dial while too few schedulers are known.
        known: Known schedulers.
        links: Links by address.
        weights: Weights in force for the selection, by address.
        floor: Share of its runners that no weight takes from a scheduler.
        on_evacuations: Called with the address of a scheduler and its set of
            evacuated domains.
    """

    own: subsets.Member
    redialer: redialling.Redialer
    allocator: room.CapacityAllocator
    now: Callable[[], float]
    on_change: Callable[[], None]
    seeds: Set[str] = frozenset()
    known: schedulers.KnownSchedulers = attrs.field(
        factory=schedulers.KnownSchedulers
    )
    links: dict[str, Link] = attrs.field(factory=dict)
    weights: dict[str, float] = attrs.field(factory=dict)
    floor: float = 1.0
    on_evacuations: Callable[[str, runs.EvacuationPush], None] = (
        lambda address, message: None
    )

    def select(self) -> None:
        """Dials newly selected schedulers and retires the surplus ones.

        Call it every `SELECTION_INTERVAL_S`.
        """
        now_s = self.now()
        self.known.expire(now_s)
        members = self._members(now_s)
        wanted = self._wanted_weights(members)
        self.weights = {x: self.weights.get(x, wanted[x]) for x in members}
        selected = self._selected(members, now_s)
        if self._is_settled(selected, now_s):
            selected = self._adopt_weights(members, wanted, selected, now_s)
        for address in selected - self.links.keys():
            self._dial(address, now_s)
        settled = all(
            x.stream is not None or self._is_down(x, now_s)
            for x in self.links.values()
            if x.address in selected
        )
        for address, link in list(self.links.items()):
            if address in selected:
                self._keep(link)
            elif link.stream is None:
                self._forget(link)
            elif settled:
                self._retire(link, now_s)

    def _open_links(self) -> list[Link]:
        """Returns the links with an open stream."""
        return [x for x in self.links.values() if x.stream is not None]

    def _mean_runners(self, links: Iterable[Link]) -> float:
        """Returns the mean number of runners of the schedulers, 0 if unknown.

        Args:
            links: Links with an open stream.
        """
        return subsets.mean_choosers(
            (x.runners, self.weights.get(x.address, 1.0)) for x in links
        )

    def _limit(self, member_count: int) -> int:
        """Returns the number of reachable schedulers to select."""
        links = self._open_links()
        return subsets.stream_count(
            member_count, len(links), self._mean_runners(links)
        )

    def _members(self, now_s: float) -> dict[str, subsets.Member]:
        """Returns the schedulers that may be dialed, by address."""
        members = self.known.members(now_s)
        if len(members) < self._limit(len(members)) or not self._open_links():
            for seed in self.seeds - members.keys():
                members[seed] = subsets.Member(seed, "")
        return members

    def _selected(
        self, members: Mapping[str, subsets.Member], now_s: float
    ) -> set[str]:
        """Returns the addresses of the schedulers to keep streams to."""
        down = {
            x.address for x in self.links.values() if self._is_down(x, now_s)
        }
        return subsets.select_members(
            self.own,
            members.values(),
            down,
            self._limit(len(self.known.members(now_s))),
            self.weights,
        )

    def _is_settled(self, selected: Set[str], now_s: float) -> bool:
        """Returns whether no stream is being opened or closed."""
        return selected == self.links.keys() and all(
            x.stream is not None or self._is_down(x, now_s)
            for x in self.links.values()
        )

    def _wanted_weights(
        self, members: Mapping[str, subsets.Member]
    ) -> dict[str, float]:
        """Returns the weights that follow from what the schedulers ask for."""
        # A scheduler tells its number only after its stream has opened.
        known = [x for x in self._open_links() if x.runners]
        floor = subsets.floor_share(self._mean_runners(known))
        if floor > self.floor or floor < self.floor - FLOOR_TOLERANCE:
            self.floor = floor
        return subsets.selection_weights(self.own, members.values(), self.floor)

    def _adopt_weights(
        self,
        members: Mapping[str, subsets.Member],
        wanted: Mapping[str, float],
        selected: set[str],
        now_s: float,
    ) -> set[str]:
        """Puts weights into force until one of them moves a stream.

        A weight changes the place of its own scheduler only, so at most one
        stream is opened and one closed. The next one moves after that.

        Returns:
            The addresses of the schedulers to keep streams to.
        """
        even = len(set(wanted.values())) <= 1
        for address, weight in sorted(wanted.items()):
            before = self.weights[address]
            ratio = max(weight / before, before / weight)
            if ratio <= (1.0 if even else WEIGHT_TOLERANCE_RATIO):
                continue
            self.weights[address] = weight
            found = self._selected(members, now_s)
            if found != selected:
                log.info(
                    "stream moves",
                    extra={
                        "address": address,
                        "weight": round(weight, 3),
                        "dialed": sorted(found - selected),
                        "surplus": sorted(selected - found),
                    },
                )
                return found
        return selected

    def _is_down(self, link: Link, now_s: float) -> bool:
        """Returns whether a scheduler has had no stream for a while."""
        return (
            link.stream is None
            and now_s - link.down_since_s >= UNREACHABLE_AFTER_S
        )

    def _dial(self, address: str, now_s: float) -> None:
        """Adds a link and keeps its stream open while it is wanted."""
        link = Link(address, now_s)
        self.links[address] = link
        eventlet.spawn_n(
            self.redialer.maintain_stream,
            address,
            lambda: link.wanted,
            lambda stream: self._serve(link, stream),
        )

    def _keep(self, link: Link) -> None:
        """Ends the retirement of a link that is selected again."""
        if link.retiring_since_s is not None:
            link.retiring_since_s = None
            self.allocator.set_retiring(link.owner, False)
            self.on_change()

    def _retire(self, link: Link, now_s: float) -> None:
        """Closes a surplus stream without losing an order.

        The scheduler first learns that the runner is not usable for it, also
        while it has runs there: under load it always has some. The stream is
        closed later, and only while there are no runs.
        """
        if link.retiring_since_s is None:
            link.retiring_since_s = now_s
            self.allocator.set_retiring(link.owner, True)
            self.on_change()
        elif self.allocator.has_runs(link.owner):
            return
        elif now_s - link.retiring_since_s >= RETIREMENT_S:
            stream = link.stream
            self._forget(link)
            stream.close("surplus")

    def _forget(self, link: Link) -> None:
        """Removes a link; its stream is not opened again."""
        link.wanted = False
        del self.links[link.address]

    def send(self, owner: str, message: object) -> None:
        """Sends a message to a scheduler if its stream is open."""
        now_s = self.now()
        for link in self.links.values():
            if link.owner == owner and link.stream is not None:
                link.stream.send(message)
                if self._ping_due_s(link) - now_s <= EARLY_PING_S:
                    self._ping(link, now_s)

    def close(self, owner: str, reason: str) -> None:
        """Closes the stream to a scheduler if it is open."""
        for link in list(self.links.values()):
            if link.owner == owner and link.stream is not None:
                link.stream.close(reason)

    def ping(self) -> None:
        """Pings the schedulers, and closes streams that are not answered.

        The answers renew the authority of the schedulers. Call it every
        `PING_CHECK_INTERVAL_S`.
        """
        now_s = self.now()
        for link in list(self.links.values()):
            if link.stream is None:
                continue
            unanswered_s = link.unanswered_s
            if (
                unanswered_s is not None
                and now_s - unanswered_s > MAX_SILENCE_S
            ):
                link.stream.close("silent")
            elif self._ping_due_s(link) - now_s <= PING_CHECK_INTERVAL_S / 2:
                # Rounded to the next check, as these are not exactly on time.
                self._ping(link, now_s)

    def _ping_due_s(self, link: Link) -> float:
        """Returns when the next ping of a scheduler is due."""
        # The first ping tells the scheduler this host's clock.
        if math.isfinite(link.pinged_s) and self.allocator.has_runs(link.owner):
            renewed_s = self.allocator.renewed_s(link.owner)
            return max(link.pinged_s, renewed_s) + PING_INTERVAL_S
        return link.pinged_s + IDLE_PING_INTERVAL_S

    def _ping(self, link: Link, now_s: float) -> None:
        """Sends a ping over the open stream of a link."""
        link.pinged_s = now_s
        if link.unanswered_s is None:
            link.unanswered_s = now_s
        link.stream.send(runs.RunnerPing(now_s))

    def _serve(self, link: Link, stream: streams.Stream) -> None:
        """Handles the messages of a stream until it is closed."""
        if not link.wanted:
            stream.close("surplus")
            return
        closed = eventlet.event.Event()
        self._close_replaced(stream.welcome.incarnation)
        link.owner = stream.welcome.incarnation
        link.stream = stream
        link.pinged_s = -math.inf
        link.unanswered_s = None
        link.retiring_since_s = None
        log.info("scheduler joined", extra={"address": link.address})
        # The scheduler answered after that.
        self.allocator.owner_connected(link.owner, stream.dialed_s)
        try:
            self.on_change()
            stream.start(
                lambda _, message: self._handle(link, message),
                lambda _, reason: closed.send(reason),
                may_yield=False,
            )
            closed.wait()
        finally:
            link.stream = None
            link.down_since_s = self.now()
            if self._open_link(link.owner) is None:
                self.allocator.owner_disconnected(link.owner, self.now())
        log.info(
            "scheduler lost",
            extra={"address": link.address, "reason": closed.wait()},
        )
        self.on_change()

    def _open_link(self, owner: str) -> Link | None:
        """Returns the link with an open stream to a scheduler, if any."""
        for link in self.links.values():
            if link.owner == owner and link.stream is not None:
                return link
        return None

    def _close_replaced(self, owner: str) -> None:
        """Closes the earlier stream of a scheduler that has two addresses.

        The scheduler has just replaced it, and places again what the list of
        active runs on the new stream lacks. An order that is still unread on
        the earlier one must not be carried out after that.
        """
        earlier = self._open_link(owner)
        if earlier is not None:
            earlier.stream.close("replaced")
            earlier.stream = None

    def _handle(self, link: Link, message: object) -> None:
        """Handles one message of a scheduler."""
        now_s = self.now()
        match message:
            case runs.RunnerPong(alive_s=alive_s, runners=runners):
                link.runners = runners
                link.unanswered_s = None
                self.allocator.set_reach(link.owner, runners)
                self.allocator.renew_authority(link.owner, alive_s)
                return
            case runs.StartRuns():
                self.allocator.start_runs(link.owner, message, now_s)
            case runs.StopRuns():
                self.allocator.stop_runs(link.owner, message)
            case runs.Bid():
                self.allocator.update_bid(link.owner, message, now_s)
            case runs.EvacuationPush():
                self.on_evacuations(link.address, message)
            case runs.SchedulerRecords(records=records):
                self.known.merge_records(records, now_s)
                return
            case runs.SchedulerAnnouncement():
                self.known.merge_announcement(message, now_s)
                return
            case _:
                code = getattr(message, "code", None)
                log.warning("unexpected message", extra={"code": code})
        self.on_change()


def make_hello(name: str, incarnation: str, domain: str) -> runs.RunnerHello:
    """Returns the hello message of a runner, without its proof."""
    return runs.RunnerHello(
        messages.PROTOCOL_VERSION, name, incarnation, domain
    )
