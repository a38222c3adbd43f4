"""Streams from a runner to all schedulers."""

import logging
from collections.abc import Callable

import attrs
import eventlet

from trefoilgw.messages import core as messages
from trefoilgw.messages import runs
from trefoilgw.room import core as room
from trefoilgw.streams import core as streams
from trefoilgw.streams import redialling

PING_EVERY_S = 0.2
# A scheduler that answers no ping for so long has lost its authority anyway.
SILENCE_LIMIT_S = 1.0

log = logging.getLogger(__name__)


@attrs.define(eq=False)
class Link:
    """The stream to one scheduler.

    Attributes:
        address: ``ip:port`` of the scheduler.
        owner: Incarnation of the scheduler while the stream is open.
        stream: The open stream, or None.
        wanted: False once the scheduler is no longer listed.
    """

    address: str
    owner: str = ""
    stream: streams.Stream | None = None
    wanted: bool = True


@attrs.define(eq=False)
class Links:
    """Keeps a stream to each scheduler.

    Attributes:
        redialler: Opens the streams.
        keeper: State of the room.
        now: Clock in seconds.
        on_change: Called after each change of the keeper.
        links: Links by address.
    """

    redialler: redialling.Redialler
    keeper: room.RoomKeeper
    now: Callable[[], float]
    on_change: Callable[[], None]
    links: dict[str, Link] = attrs.field(factory=dict)

    def set_addresses(self, addresses: set[str]) -> None:
        """Opens links to new schedulers and gives up those not listed."""
        for address in addresses - self.links.keys():
            link = Link(address)
            self.links[address] = link
            eventlet.spawn_n(
                self.redialler.maintain_stream,
                address,
                lambda link=link: link.wanted,
                lambda stream, link=link: self._serve(link, stream),
            )
        for address, link in list(self.links.items()):
            if address not in addresses and link.stream is None:
                link.wanted = False
                del self.links[address]

    def send(self, owner: str, message: object) -> None:
        """Sends a message to a scheduler if its stream is open."""
        for link in self.links.values():
            if link.owner == owner and link.stream is not None:
                link.stream.send(message)

    def ping(self) -> None:
        """Asks each scheduler to renew its authority."""
        now_s = self.now()
        for link in list(self.links.values()):
            if link.stream is not None:
                link.stream.send(runs.RunnerPing(now_s))

    def _serve(self, link: Link, stream: streams.Stream) -> None:
        """Takes messages in until the stream is closed."""
        closed = eventlet.event.Event()
        link.owner = stream.welcome.incarnation
        link.stream = stream
        log.info("scheduler joined", extra={"address": link.address})
        self.keeper.owner_joined(link.owner, self.now())
        self.on_change()
        stream.start(
            lambda _, message: self._take(link, message),
            lambda _, reason: closed.send(reason),
        )
        while not closed.ready():
            closed.wait(timeout=SILENCE_LIMIT_S / 4)
            owner = self.keeper.owners.get(link.owner)
            silent = owner is None or (
                self.now() - owner.authority_until_s > SILENCE_LIMIT_S
            )
            if silent and not closed.ready():
                stream.close("silent")
        link.stream = None
        log.info(
            "scheduler lost",
            extra={"address": link.address, "reason": closed.wait()},
        )
        self.keeper.owner_closed(link.owner, self.now())
        self.on_change()

    def _take(self, link: Link, message: object) -> None:
        """Takes one message in."""
        now_s = self.now()
        match message:
            case runs.RunnerPong(sent_s=sent_s):
                self.keeper.owner_renewed(link.owner, sent_s)
                return
            case runs.StartRuns():
                self.keeper.start_runs(link.owner, message, now_s)
            case runs.StopRuns():
                self.keeper.stop_runs(link.owner, message)
            case runs.Bid():
                self.keeper.bid_changed(link.owner, message, now_s)
            case runs.Schedulers(addresses=addresses):
                self.set_addresses(set(addresses))
            case _:
                code = getattr(message, "code", None)
                log.warning("unexpected message", extra={"code": code})
        self.on_change()


def hello_of(name: str, incarnation: str, domain: str) -> runs.RunnerHello:
    """Returns the hello of a runner."""
    return runs.RunnerHello(
        messages.PROTOCOL_VERSION, name, incarnation, domain
    )
