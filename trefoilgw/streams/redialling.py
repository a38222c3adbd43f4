"""Keeps a stream to one address open."""

import logging
import random
from collections.abc import Callable

import attrs
import eventlet

from trefoilgw.streams import core as streams

DIAL_TIMEOUT_S = 0.5
PAUSE_LEAST_S = 0.1
PAUSE_MOST_S = 1.0

log = logging.getLogger(__name__)


@attrs.define(eq=False)
class Redialler:
    """Dials addresses again and again.

    Attributes:
        key: Shared key of the streams.
        hello: Hello with an empty proof.
        rng: Source of jitter, so that hosts don't dial in step.
    """

    key: bytes
    hello: object
    rng: random.Random = attrs.field(factory=random.Random)

    def maintain_stream(
        self,
        address: str,
        wanted: Callable[[], bool],
        serve: Callable[[streams.Stream], None],
    ) -> None:
        """Opens a stream whenever there is none; spawn it as a greenthread.

        Args:
            address: ``ip:port`` of a listener.
            wanted: Returns whether the address is still wanted.
            serve: Called with each open stream; returns once it is closed.
        """
        pause_s = PAUSE_LEAST_S
        while wanted():
            try:
                stream = streams.dial(
                    address, self.key, self.hello, DIAL_TIMEOUT_S
                )
            except streams.DialError as error:
                log.debug("dial failed", extra={"error": str(error)})
                eventlet.sleep(pause_s * self.rng.uniform(0.7, 1.3))
                pause_s = min(PAUSE_MOST_S, pause_s * 2)
                continue
            pause_s = PAUSE_LEAST_S
            serve(stream)
