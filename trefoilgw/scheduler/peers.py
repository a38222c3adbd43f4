"""Outgoing streams to the other schedulers.

Each scheduler connects to all others. Over these streams it receives new
configurations and the addresses of further schedulers, so that a scheduler
that can't reach the store stays up to date.
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

log = logging.getLogger(__name__)


@attrs.define(eq=False)
class Peers:
    """Streams to the other schedulers.

    Attributes:
        address: Own stream address.
        redialer: Opens the streams, and opens them again when they close.
        on_message: Called with each message of a peer.
        peer_addresses: Addresses to which streams are kept.
        streams: Open streams by address.
    """

    address: str
    redialer: redialling.Redialer
    on_message: Callable[[object], None]
    peer_addresses: set[str] = attrs.field(factory=set)
    streams: dict[str, streams_core.Stream] = attrs.field(factory=dict)

    def set_addresses(self, addresses: set[str]) -> None:
        """Connects to new peers, and stops reconnecting to removed ones."""
        others = addresses - {self.address}
        new = others - self.peer_addresses
        self.peer_addresses = others
        for address in new:
            eventlet.spawn_n(
                self.redialer.maintain_stream,
                address,
                lambda address=address: address in self.peer_addresses,
                lambda stream, address=address: self._serve(address, stream),
            )

    def _serve(self, address: str, stream: streams_core.Stream) -> None:
        """Handles messages and sends pings until the stream is closed."""
        closed = eventlet.event.Event()
        self.streams[address] = stream
        log.info("peer joined", extra={"address": address})
        stream.start(
            lambda _, message: self.on_message(message),
            lambda _, reason: closed.send(reason),
        )
        while not closed.ready():
            closed.wait(timeout=PING_INTERVAL_S)
            stream.send(runs.PeerPing())
            if stream.silence_s() > MAX_SILENCE_S:
                stream.close("silent")
        self.streams.pop(address, None)
        log.info(
            "peer lost", extra={"address": address, "reason": closed.wait()}
        )


def make_hello(incarnation: str, address: str) -> runs.SchedulerHello:
    """Returns the message with which a scheduler opens a stream."""
    return runs.SchedulerHello(messages.PROTOCOL_VERSION, incarnation, address)
