"""Keeps a stream to an address open by dialing again after each failure."""

import logging
import random
from collections.abc import Callable

import attrs
import eventlet

from trefoilgw.streams import core as streams
from trefoilgw.timers import clock

DIAL_TIMEOUT_S = 1.0
MIN_REDIAL_DELAY_S = 0.1
MAX_REDIAL_DELAY_S = 1.0
# Longest delay in the time after an address was first dialed or its stream
# closed: the host may have just started, and its program listens soon.
STARTING_S = 3.0
MAX_STARTING_DELAY_S = 0.2

log = logging.getLogger(__name__)


@attrs.define(eq=False)
class Redialer:
    """Opens streams and reopens them after they close.

    Attributes:
        key: Shared key of the streams.
        hello: Hello with an empty proof.
        rng: Source of the jitter that keeps hosts from dialing all at once.
    """

    key: bytes
    hello: object
    rng: random.Random = attrs.field(factory=random.Random)

    def maintain_stream(
        self,
        address: str,
        is_wanted: Callable[[], bool],
        serve: Callable[[streams.Stream], None],
    ) -> None:
        """Keeps a stream open while the address is wanted.

        Runs until `is_wanted` returns False, so spawn it as a greenthread. The
        delay between dials doubles with each failure up to
        `MAX_REDIAL_DELAY_S`, but only up to `MAX_STARTING_DELAY_S` in the first
        `STARTING_S` without a stream. An exception of `serve` is logged and
        closes the stream.

        Args:
            address: ``ip:port`` of a listener.
            is_wanted: Returns whether the address is still wanted.
            serve: Called with each open stream; returns once it is closed.
        """
        delay_s = MIN_REDIAL_DELAY_S
        down_since_s = clock.boottime()
        while is_wanted():
            try:
                stream = streams.dial(
                    address, self.key, self.hello, DIAL_TIMEOUT_S
                )
            except streams.DialError as error:
                log.debug("dial failed", extra={"error": str(error)})
                eventlet.sleep(delay_s * self.rng.uniform(0.7, 1.3))
                starting = clock.boottime() - down_since_s < STARTING_S
                limit_s = (
                    MAX_STARTING_DELAY_S if starting else MAX_REDIAL_DELAY_S
                )
                delay_s = min(limit_s, delay_s * 2)
                continue
            delay_s = MIN_REDIAL_DELAY_S
            try:
                serve(stream)
            except Exception:
                log.exception("stream failed", extra={"address": address})
                stream.close("failed")
                eventlet.sleep(delay_s)
            down_since_s = clock.boottime()
