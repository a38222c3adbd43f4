"""Streams of a runner to all schedulers."""

import logging
from collections.abc import Callable

import attrs
import eventlet

from trefoilgw.messages import core as messages
from trefoilgw.messages import runs
from trefoilgw.room import core as room
from trefoilgw.streams import core as streams
from trefoilgw.streams import redialling

PING_INTERVAL_S = 0.2
# A stream is closed this long after the scheduler's authority has expired for
# lack of answers to pings.
MAX_SILENCE_S = 1.0

log = logging.getLogger(__name__)


@attrs.define(eq=False)
class Link:
    """Connection state of one scheduler.

    Attributes:
        address: ``ip:port`` of the scheduler.
        owner: Incarnation of the scheduler on the last opened stream.
        stream: The open stream, or None.
        listed: False once the scheduler is no longer listed and its stream is
            closed.
    """

    address: str
    owner: str = ""
    stream: streams.Stream | None = None
    listed: bool = True


@attrs.define(eq=False)
class Links:
    """Maintains a stream to each scheduler.

    Attributes:
        redialer: Opens the streams.
        allocator: Allocates the capacity of the target.
        now: Clock in seconds.
        on_change: Called after each change of the allocator.
        links: Links by address.
    """

    redialer: redialling.Redialer
    allocator: room.CapacityAllocator
    now: Callable[[], float]
    on_change: Callable[[], None]
    links: dict[str, Link] = attrs.field(factory=dict)

    def set_addresses(self, addresses: set[str]) -> None:
        """Opens links to new schedulers and removes closed, unlisted ones.

        A link whose stream is open stays also if it is no longer listed.
        """
        for address in addresses - self.links.keys():
            link = Link(address)
            self.links[address] = link
            eventlet.spawn_n(
                self.redialer.maintain_stream,
                address,
                lambda link=link: link.listed,
                lambda stream, link=link: self._serve(link, stream),
            )
        for address, link in list(self.links.items()):
            if address not in addresses and link.stream is None:
                link.listed = False
                del self.links[address]

    def send(self, owner: str, message: object) -> None:
        """Sends a message to a scheduler if its stream is open."""
        for link in self.links.values():
            if link.owner == owner and link.stream is not None:
                link.stream.send(message)

    def ping(self) -> None:
        """Sends a ping to each scheduler, whose answer renews its authority."""
        now_s = self.now()
        for link in list(self.links.values()):
            if link.stream is not None:
                link.stream.send(runs.RunnerPing(now_s))

    def _serve(self, link: Link, stream: streams.Stream) -> None:
        """Handles the messages of a stream until it is closed.

        A stream on which the scheduler answers no pings is closed.
        """
        closed = eventlet.event.Event()
        link.owner = stream.welcome.incarnation
        link.stream = stream
        log.info("scheduler joined", extra={"address": link.address})
        self.allocator.owner_connected(link.owner, self.now())
        self.on_change()
        stream.start(
            lambda _, message: self._handle(link, message),
            lambda _, reason: closed.send(reason),
        )
        while not closed.ready():
            closed.wait(timeout=MAX_SILENCE_S / 4)
            owner = self.allocator.owners.get(link.owner)
            silent = owner is None or (
                self.now() - owner.authority_until_s > MAX_SILENCE_S
            )
            if silent and not closed.ready():
                stream.close("silent")
        link.stream = None
        log.info(
            "scheduler lost",
            extra={"address": link.address, "reason": closed.wait()},
        )
        self.allocator.owner_disconnected(link.owner, self.now())
        self.on_change()

    def _handle(self, link: Link, message: object) -> None:
        """Handles one message of a scheduler."""
        now_s = self.now()
        match message:
            case runs.RunnerPong(sent_s=sent_s):
                self.allocator.renew_authority(link.owner, sent_s)
                return
            case runs.StartRuns():
                self.allocator.start_runs(link.owner, message, now_s)
            case runs.StopRuns():
                self.allocator.stop_runs(link.owner, message)
            case runs.Bid():
                self.allocator.update_bid(link.owner, message, now_s)
            case runs.Schedulers(addresses=addresses):
                self.set_addresses(set(addresses))
            case _:
                code = getattr(message, "code", None)
                log.warning("unexpected message", extra={"code": code})
        self.on_change()


def make_hello(name: str, incarnation: str, domain: str) -> runs.RunnerHello:
    """Returns the hello message of a runner, without its proof."""
    return runs.RunnerHello(
        messages.PROTOCOL_VERSION, name, incarnation, domain
    )
