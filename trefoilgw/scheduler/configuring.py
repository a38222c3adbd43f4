"""Keeps the operators' configuration in force.

The newest version wins, whether it comes from the store or from a peer that
still reaches the store; a version never goes back within an incarnation.
"""

import logging
import random
from collections.abc import Callable

import attrs
import eventlet

from trefoilgw.keyvalue import values
from trefoilgw.platform import store as platform_store
from trefoilgw.work import core as work

# A watch is renewed this often, so that a connection that has gone silent is
# noticed well before a configuration is due to be in force.
WATCH_WAIT_S = 1.5
RETRY_LEAST_S = 0.1
RETRY_MOST_S = 0.8

log = logging.getLogger(__name__)


@attrs.define(eq=False)
class Configuring:
    """The configuration in force.

    Attributes:
        source: The configuration in the store.
        on_adopted: Called with each new document and its version.
        rng: Source of jitter.
        current: What is in force, None before it is known.
        document: Its text as the operators wrote it.
        store_reached: Whether the store answered the last call.
    """

    source: platform_store.ConfigurationSource
    on_adopted: Callable[[bytes, int], None]
    rng: random.Random = attrs.field(factory=random.Random)
    current: work.Configuration | None = None
    document: bytes = b""
    store_reached: bool = True

    def adopt(self, document: bytes, origin: str) -> None:
        """Puts a document in force if it is newer."""
        found = self.source.decode(document)
        if isinstance(found, str):
            log.error("configuration unreadable", extra={"error": found})
            return
        before = self.current.version if self.current else 0
        if found.version <= before:
            return
        self.current = found
        self.document = document
        log.info(
            "configuration in force",
            extra={"version": found.version, "was": before, "origin": origin},
        )
        self.on_adopted(document, found.version)

    def run(self) -> None:
        """Follows the store; spawn it as a greenthread."""
        revision = 0
        pause_s = RETRY_LEAST_S
        while True:
            answer = self._ask(revision)
            match answer:
                case (data, found_revision):
                    pause_s = RETRY_LEAST_S
                    revision = found_revision
                    if data:
                        self.adopt(data, "store")
                    elif self.current is None:
                        eventlet.sleep(RETRY_LEAST_S)
                case platform_store.HistoryGone():
                    log.warning("store has dropped its history")
                    revision = 0
                case _:
                    eventlet.sleep(pause_s * self.rng.uniform(0.7, 1.3))
                    pause_s = min(RETRY_MOST_S, pause_s * 2)
            self._note_reached(answer)

    def _ask(self, revision: int):
        """Reads the document, or waits for the next one."""
        if not revision:
            return self.source.read()
        return self.source.watch(revision, WATCH_WAIT_S)

    def _note_reached(self, answer: object) -> None:
        """Logs when the store is lost and when it is back."""
        reached = not isinstance(answer, values.Unavailable)
        if reached != self.store_reached:
            self.store_reached = reached
            detail = "" if reached else answer.detail
            text = "store back" if reached else "store lost"
            log.warning(text, extra={"detail": detail})
