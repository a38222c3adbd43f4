"""Streams among schedulers.

Each scheduler dials all others and is told of new configurations and of
further schedulers, so that one that can't reach the store stays up to date.
"""

import logging
import random
from collections.abc import Callable

import attrs
import eventlet

from trefoilgw.messages import core as messages
from trefoilgw.messages import runs
from trefoilgw.streams import core as stream_parts

DIAL_TIMEOUT_S = 0.5
REDIAL_LEAST_S = 0.2
REDIAL_MOST_S = 2.0
# Silence on a stream is no sign of anything; this only finds broken ones.
PING_EVERY_S = 0.5
SILENCE_LIMIT_S = 1.6
# The hosts share no secret; the proof only shows a process of this kind.
NO_KEY = b""

log = logging.getLogger(__name__)


@attrs.define(eq=False)
class Peers:
    """Streams to the other schedulers.

    Attributes:
        hello: Hello of this scheduler with an empty proof.
        on_message: Called with each message of a peer.
        rng: Source of jitter.
        wanted: Addresses that are dialled.
        streams: Open streams by address.
    """

    hello: runs.SchedulerHello
    on_message: Callable[[object], None]
    rng: random.Random = attrs.field(factory=random.Random)
    wanted: set[str] = attrs.field(factory=set)
    streams: dict[str, stream_parts.Stream] = attrs.field(factory=dict)

    def set_addresses(self, addresses: set[str]) -> None:
        """Dials new peers and gives up those that are not listed."""
        others = addresses - {self.hello.address}
        new = others - self.wanted
        self.wanted = others
        for address in new:
            eventlet.spawn_n(self._keep, address)

    def _keep(self, address: str) -> None:
        """Dials one peer again and again."""
        pause_s = REDIAL_LEAST_S
        while address in self.wanted:
            try:
                stream = stream_parts.dial(
                    address, NO_KEY, self.hello, DIAL_TIMEOUT_S
                )
            except stream_parts.DialError as error:
                log.debug("dial failed", extra={"error": str(error)})
                eventlet.sleep(pause_s * self.rng.uniform(0.7, 1.3))
                pause_s = min(REDIAL_MOST_S, pause_s * 2)
                continue
            pause_s = REDIAL_LEAST_S
            self._serve(address, stream)

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
