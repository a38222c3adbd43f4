"""Keeps the operators' configuration up to date.

The newest version takes effect, whether it comes from the store or from a peer
that can still reach the store. The version never decreases while the process
runs. Where failure domains may be evacuated, the same watch tells of that.
"""

import logging
import random
from collections.abc import Callable

import attrs
import eventlet

from trefoilgw.keyvalue import values
from trefoilgw.platform import store as platform_store
from trefoilgw.work import core as work

# Longest wait of one watch request. A connection that has gone silent is thus
# detected well before the time by which a configuration must be in force.
WATCH_WAIT_S = 1.5
MIN_RETRY_S = 0.1
MAX_RETRY_S = 0.8
# Longest pause while no configuration is known, since nothing is served then.
MAX_STARTING_RETRY_S = 0.2

# Log lines are filtered by this name.
log = logging.getLogger("trefoilgw.scheduler.configuring")


@attrs.define(eq=False)
class ConfigurationWatcher:
    """Follows the configuration in the store.

    Attributes:
        source: Reads and decodes the configuration in the store.
        on_adopted: Called with each new document and its version.
        on_evacuations: Called with what the store tells of the evacuations,
            before a configuration from the same answer takes effect.
        rng: Random source of the retry jitter.
        current: The configuration in force, None before one is known.
        document: The text of `current` as the operators wrote it.
        store_reached: Whether the store answered the last call.
    """

    source: platform_store.ConfigurationSource
    on_adopted: Callable[[bytes, int], None]
    on_evacuations: Callable[
        [platform_store.OperatorsState | platform_store.OperatorsChanges], None
    ] = lambda answer: None
    rng: random.Random = attrs.field(factory=random.Random)
    current: work.Configuration | None = None
    document: bytes = b""
    store_reached: bool = True

    def adopt(self, document: bytes, origin: str) -> None:
        """Puts a document in force if its version is newer.

        Args:
            document: The encoded configuration.
            origin: Where it came from, for the log.
        """
        decoded = self.source.decode(document)
        if isinstance(decoded, str):
            log.error("configuration unreadable", extra={"error": decoded})
            return
        previous = self.current.version if self.current else 0
        if decoded.version <= previous:
            return
        self.current = decoded
        self.document = document
        log.info(
            "configuration in force",
            extra={
                "version": decoded.version,
                "was": previous,
                "origin": origin,
            },
        )
        self.on_adopted(document, decoded.version)

    def run(self) -> None:
        """Follows the store forever; run it in a greenthread of its own."""
        revision = 0
        pause_s = MIN_RETRY_S
        while True:
            try:
                answer = self._fetch(revision)
                self._update_store_reached(answer)
                answer = self._take_evacuations(answer)
                match answer:
                    case (data, new_revision):
                        pause_s = MIN_RETRY_S
                        revision = new_revision
                        if data:
                            self.adopt(data, "store")
                        elif self.current is None:
                            eventlet.sleep(MIN_RETRY_S)
                        continue
                    case platform_store.HistoryGone():
                        log.warning("store has dropped its history")
                        revision = 0
                        continue
            except Exception:
                # A watch that ended here would leave this process behind for
                # good, so it starts again with a read.
                log.exception("configuration update failed")
                revision = 0
            eventlet.sleep(pause_s * self.rng.uniform(0.7, 1.3))
            starting = self.current is None
            limit_s = MAX_STARTING_RETRY_S if starting else MAX_RETRY_S
            pause_s = min(limit_s, pause_s * 2)

    def _fetch(self, revision: int):
        """Reads the document, or waits for a change after a revision."""
        if not revision:
            return self.source.read()
        return self.source.watch(revision, WATCH_WAIT_S)

    def _take_evacuations(self, answer: object) -> object:
        """Passes the evacuations on; returns the rest of the answer."""
        match answer:
            case (
                platform_store.OperatorsState()
                | platform_store.OperatorsChanges()
            ):
                self.on_evacuations(answer)
                return answer.document, answer.revision
        return answer

    def _update_store_reached(self, answer: object) -> None:
        """Updates `store_reached`, and logs when it changes."""
        reached = not isinstance(answer, values.Unavailable)
        if reached != self.store_reached:
            self.store_reached = reached
            detail = "" if reached else answer.detail
            text = "store back" if reached else "store lost"
            log.warning(text, extra={"detail": detail})
