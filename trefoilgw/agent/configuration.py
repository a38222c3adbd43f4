"""The configuration that an agent stores for the entries.

An agent does not interpret the document. It keeps the newest one, so that
entries that start while the platform is down can get it from the agent. The
entries validate it.
"""

import logging

import attrs

from trefoilgw.rollout import core as rollouts

MAX_DOCUMENT_BYTES = 1024 * 1024
# Several entries announce a new revision at the same time; only one of them is
# asked for the document.
REQUEST_INTERVAL_S = 1.0
# An entry that refuses a document asks for it again after every ping; at 1 MB
# each, the replies would take the agent's whole share of the network.
PUSH_INTERVAL_S = 10.0

log = logging.getLogger(__name__)


@attrs.define(eq=False)
class Configuration:
    """The newest configuration known.

    Attributes:
        rollout: Revision and document in force.
        refused: Number of documents refused because of their size.
        last_request_s: When an entry was last asked for its document.
        last_pushes: By entry, the revision pushed last and its time.
    """

    rollout: rollouts.Rollout = attrs.field(factory=rollouts.Rollout)
    refused: int = 0
    last_request_s: float = float("-inf")
    last_pushes: dict[str, tuple[int, float]] = attrs.field(factory=dict)

    @property
    def revision(self) -> int:
        """Revision in force, 0 if none."""
        return self.rollout.revision

    @property
    def document(self) -> bytes:
        """Document in force, empty if none."""
        return self.rollout.document

    def should_request(self, revision: int, now_s: float) -> bool:
        """Returns True if an entry with this revision is to be asked now.

        If so, the time of the request is recorded.
        """
        if not self.rollout.is_behind(revision):
            return False
        if now_s - self.last_request_s < REQUEST_INTERVAL_S:
            return False
        self.last_request_s = now_s
        return True

    def should_push(self, entry: str, now_s: float) -> bool:
        """Returns True if the document is to be sent to an entry that asks.

        If so, the revision and the time of the push are recorded.
        """
        if not self.revision:
            return False
        revision, pushed_s = self.last_pushes.get(entry, (0, float("-inf")))
        if revision == self.revision and now_s - pushed_s < PUSH_INTERVAL_S:
            return False
        self.last_pushes[entry] = (self.revision, now_s)
        return True

    def forget(self, entry: str) -> None:
        """Deletes the record of the last push to an entry that disconnected."""
        self.last_pushes.pop(entry, None)

    def offer(self, revision: int, document: bytes) -> None:
        """Adopts a configuration if it is newer and not too large."""
        if len(document) > MAX_DOCUMENT_BYTES:
            self.refused += 1
            log.warning(
                "configuration too large", extra={"size": len(document)}
            )
            return
        match self.rollout.offer(revision, document):
            case rollouts.Accept():
                log.info("configuration in force", extra={"revision": revision})
            case rollouts.Ignore(conflicting=True):
                log.warning(
                    "configuration conflicts", extra={"revision": revision}
                )
            case rollouts.Ignore():
                pass
