"""The configuration that an agent keeps for the entries.

An agent does not read the document. It keeps the newest one, so that entries
that start while the platform is down can learn it; they check it themselves.
"""

import logging

import attrs

from trefoilgw.rollout import core as rollouts

LIMIT_DOCUMENT_BYTES = 1024 * 1024
# Several entries announce a new revision at once; one of them is asked.
ASK_INTERVAL_S = 1.0
# An entry that refuses a document asks for it after every ping; at 1 MB that
# would take the agent's whole share of the network.
PUSH_INTERVAL_S = 10.0

log = logging.getLogger(__name__)


@attrs.define(eq=False)
class Configuration:
    """The newest configuration known.

    Attributes:
        rollout: Revision and document in force.
        refused: Documents above the limit.
        asked_s: When an entry was last asked.
        pushed: By entry, the revision pushed last and when.
    """

    rollout: rollouts.Rollout = attrs.field(factory=rollouts.Rollout)
    refused: int = 0
    asked_s: float = float("-inf")
    pushed: dict[str, tuple[int, float]] = attrs.field(factory=dict)

    @property
    def revision(self) -> int:
        """Revision in force, 0 if none."""
        return self.rollout.revision

    @property
    def document(self) -> bytes:
        """Document in force, empty if none."""
        return self.rollout.document

    def should_ask(self, revision: int, now_s: float) -> bool:
        """Returns True if an entry with this revision is to be asked now."""
        if not self.rollout.is_behind(revision):
            return False
        if now_s - self.asked_s < ASK_INTERVAL_S:
            return False
        self.asked_s = now_s
        return True

    def should_push(self, entry: str, now_s: float) -> bool:
        """Returns True if the document is to be sent to an entry that asks."""
        if not self.revision:
            return False
        revision, pushed_s = self.pushed.get(entry, (0, float("-inf")))
        if revision == self.revision and now_s - pushed_s < PUSH_INTERVAL_S:
            return False
        self.pushed[entry] = (self.revision, now_s)
        return True

    def forget(self, entry: str) -> None:
        """Forgets what was pushed on a stream that closed."""
        self.pushed.pop(entry, None)

    def offer(self, revision: int, document: bytes) -> None:
        """Takes a configuration if it is newer."""
        if len(document) > LIMIT_DOCUMENT_BYTES:
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
