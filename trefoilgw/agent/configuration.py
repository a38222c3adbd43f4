"""The configuration that an agent keeps for the entries.

An agent does not read the document. It keeps the newest one, so that entries
that start while the platform is down can learn it.
"""

import logging

import attrs

LIMIT_DOCUMENT_BYTES = 1024 * 1024
# Several entries announce a new revision at once; one of them is asked.
ASK_INTERVAL_S = 1.0

log = logging.getLogger(__name__)


@attrs.define(eq=False)
class Configuration:
    """The newest configuration known.

    Attributes:
        revision: 0 if none is known.
        document: The document as it arrived.
        refused: Documents above the limit.
        asked_s: When an entry was last asked.
    """

    revision: int = 0
    document: bytes = b""
    refused: int = 0
    asked_s: float = float("-inf")

    def should_ask(self, revision: int, now_s: float) -> bool:
        """Returns True if an entry with this revision is to be asked now."""
        if revision <= self.revision:
            return False
        if now_s - self.asked_s < ASK_INTERVAL_S:
            return False
        self.asked_s = now_s
        return True

    def offer(self, revision: int, document: bytes) -> bool:
        """Takes a configuration if it is newer.

        Returns:
            True if it was taken.
        """
        if len(document) > LIMIT_DOCUMENT_BYTES:
            self.refused += 1
            log.warning(
                "configuration too large", extra={"size": len(document)}
            )
            return False
        if revision <= self.revision:
            return False
        self.revision = revision
        self.document = document
        log.info("configuration in force", extra={"revision": revision})
        return True
