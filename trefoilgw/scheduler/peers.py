"""Outgoing streams to the other schedulers.

Each scheduler opens streams to a few others. Over these streams, in both
directions, the schedulers pass on which of them exist and which version of the
configuration they have, so that a scheduler that can't reach the store stays
up to date.
"""

import logging
from collections.abc import Callable

import attrs
import eventlet

from trefoilgw.messages import core as messages
from trefoilgw.messages import runs
from trefoilgw.streams import core as streams_core
from trefoilgw.streams import redialling

# Silence says nothing about the state of a peer; the limit only detects broken
# streams.
PING_INTERVAL_S = 0.5
MAX_SILENCE_S = 1.6
# A peer without a stream for this time is replaced by another one.
UNREACHABLE_AFTER_S = 1.5

log = logging.getLogger(__name__)


@attrs.define(eq=False)
class Peers:
    """Streams that this scheduler has opened to others.

    Attributes:
        address: Own stream address.
        redialer: Opens the streams, and opens them again when they close.
        make_ping: Returns the ping to send.
        on_message: Called with each message of a peer and its stream.
        now: Clock in seconds.
        down_since_s: Time since which there is no stream, for each address to
            which one is to be kept; None while it is open.
        streams: Open streams by address.
    """

    address: str
    redialer: redialling.Redialer
    make_ping: Callable[[], runs.PeerPing]
    on_message: Callable[[streams_core.Stream, object], None]
    now: Callable[[], float]
    down_since_s: dict[str, float | None] = attrs.field(factory=dict)
    streams: dict[str, streams_core.Stream] = attrs.field(factory=dict)

    def set_addresses(self, addresses: set[str]) -> None:
        """Connects to new peers, and closes the streams to removed ones."""
        new = addresses - self.down_since_s.keys()
        for address in self.down_since_s.keys() - addresses:
            del self.down_since_s[address]
            stream = self.streams.get(address)
            if stream is not None:
                stream.close("surplus")
        for address in new:
            self.down_since_s[address] = self.now()
            eventlet.spawn_n(
                self.redialer.maintain_stream,
                address,
                lambda address=address: address in self.down_since_s,
                lambda stream, address=address: self._serve(address, stream),
            )

    def down(self, now_s: float) -> set[str]:
        """Returns the addresses that have had no stream for a while."""
        return {
            address
            for address, since_s in self.down_since_s.items()
            if since_s is not None and now_s - since_s >= UNREACHABLE_AFTER_S
        }

    def broadcast(self, message: object) -> None:
        """Sends a message over all open streams."""
        for stream in list(self.streams.values()):
            stream.send(message)

    def _serve(self, address: str, stream: streams_core.Stream) -> None:
        """Handles messages and sends pings until the stream is closed."""
        if address not in self.down_since_s or address in self.streams:
            stream.close("surplus")
            return
        closed = eventlet.event.Event()
        self.streams[address] = stream
        self.down_since_s[address] = None
        log.info("peer joined", extra={"address": address})
        stream.start(
            self.on_message,
            lambda _, reason: closed.send(reason),
        )
        while not closed.ready():
            closed.wait(timeout=PING_INTERVAL_S)
            stream.send(self.make_ping())
            if stream.silence_s() > MAX_SILENCE_S:
                stream.close("silent")
        self.streams.pop(address, None)
        if address in self.down_since_s:
            self.down_since_s[address] = self.now()
        log.info(
            "peer lost", extra={"address": address, "reason": closed.wait()}
        )


def make_hello(incarnation: str, address: str) -> runs.SchedulerHello:
    """Returns the message with which a scheduler opens a stream."""
    return runs.SchedulerHello(messages.PROTOCOL_VERSION, incarnation, address)
