"""Streams among schedulers.

Each scheduler dials all others and is told of new configurations and of
further schedulers, so that one that can't reach the store stays up to date.
"""

import logging
from collections.abc import Callable

import attrs
import eventlet

from trefoilgw.messages import core as messages
from trefoilgw.messages import runs
from trefoilgw.streams import core as stream_parts
from trefoilgw.streams import redialling

# Silence on a stream is no sign of anything; this only finds broken ones.
PING_EVERY_S = 0.5
SILENCE_LIMIT_S = 1.6

log = logging.getLogger(__name__)


@attrs.define(eq=False)
class Peers:
    """Streams to the other schedulers.

    Attributes:
        address: Own stream address.
        redialler: Opens the streams.
        on_message: Called with each message of a peer.
        wanted: Addresses that are dialled.
        streams: Open streams by address.
    """

    address: str
    redialler: redialling.Redialler
    on_message: Callable[[object], None]
    wanted: set[str] = attrs.field(factory=set)
    streams: dict[str, stream_parts.Stream] = attrs.field(factory=dict)

    def set_addresses(self, addresses: set[str]) -> None:
        """Dials new peers and gives up those that are not listed."""
        others = addresses - {self.address}
        new = others - self.wanted
        self.wanted = others
        for address in new:
            eventlet.spawn_n(
                self.redialler.maintain_stream,
                address,
                lambda address=address: address in self.wanted,
                lambda stream, address=address: self._serve(address, stream),
            )

    def _serve(self, address: str, stream: stream_parts.Stream) -> None:
        """Takes messages in until the stream is closed."""
        closed = eventlet.event.Event()
        self.streams[address] = stream
        log.info("peer joined", extra={"address": address})
        stream.start(
            lambda _, message: self.on_message(message),
            lambda _, reason: closed.send(reason),
        )
        while not closed.ready():
            closed.wait(timeout=PING_EVERY_S)
            stream.send(runs.PeerPing())
            if stream.silence_s() > SILENCE_LIMIT_S:
                stream.close("silent")
        self.streams.pop(address, None)
        log.info(
            "peer lost", extra={"address": address, "reason": closed.wait()}
        )


def hello_of(incarnation: str, address: str) -> runs.SchedulerHello:
    """Returns the hello of a scheduler."""
    return runs.SchedulerHello(messages.PROTOCOL_VERSION, incarnation, address)
