"""When to ask which peer for credits, and how many.

`core` owns the credits; this module only paces the asking.
"""

from collections.abc import Mapping

import attrs

# Free credits at or below which this entry asks.
LOW_CREDITS = 2
# A peer must have so many more free credits than this entry. Half of the
# difference moves, so the two don't ask each other in turn.
GAP_CREDITS = 4
# An answer that has not come by then counts as lost.
ANSWER_TIMEOUT_S = 0.1
# A peer that had nothing to lend is left alone for a time that doubles.
EMPTY_FIRST_S = 0.02
EMPTY_LIMIT_S = 0.5


@attrs.frozen
class Ask:
    """Ask a peer for credits.

    Attributes:
        entry: Incarnation of the peer.
        credits: How many.
    """

    entry: str
    credits: int


@attrs.define
class PeerRecord:
    """What this entry knows of one peer's lending.

    Attributes:
        empty_answers: Answers without credits in a row.
        quiet_until_s: The peer is not asked before.
    """

    empty_answers: int = 0
    quiet_until_s: float = 0.0


@attrs.define
class Asking:
    """Paces credit asks: one open at a time.

    Attributes:
        peers: Record per peer.
        open_entry: The peer whose answer is awaited, empty if none.
        asked_s: When it was asked.
    """

    peers: dict[str, PeerRecord] = attrs.field(factory=dict)
    open_entry: str = ""
    asked_s: float = 0.0

    def ask(
        self, now_s: float, own_free: int, peers_free: Mapping[str, int]
    ) -> Ask | None:
        """Returns whom to ask, or None.

        Args:
            now_s: Monotonic time in seconds.
            own_free: Credits free here.
            peers_free: Credits free at each connected peer, as last heard.
        """
        if own_free > LOW_CREDITS or self._is_waiting(now_s):
            return None
        candidates = [
            (free, entry)
            for entry, free in peers_free.items()
            if free - own_free >= GAP_CREDITS and self._is_open(entry, now_s)
        ]
        if not candidates:
            return None
        free, entry = max(candidates)
        self.open_entry = entry
        self.asked_s = now_s
        return Ask(entry, (free - own_free) // 2)

    def answered(self, credits: int) -> None:
        """Records the answer to the open ask."""
        if not self.open_entry:
            return
        peer = self.peers.setdefault(self.open_entry, PeerRecord())
        self.open_entry = ""
        if credits:
            peer.empty_answers = 0
            return
        quiet_s = min(EMPTY_LIMIT_S, EMPTY_FIRST_S * 2.0**peer.empty_answers)
        peer.empty_answers += 1
        peer.quiet_until_s = self.asked_s + quiet_s

    def forget(self, entry: str) -> None:
        """Forgets a peer that left."""
        self.peers.pop(entry, None)
        if self.open_entry == entry:
            self.open_entry = ""

    def _is_waiting(self, now_s: float) -> bool:
        """Tells whether an answer is still awaited."""
        return bool(self.open_entry and now_s - self.asked_s < ANSWER_TIMEOUT_S)

    def _is_open(self, entry: str, now_s: float) -> bool:
        """Tells whether a peer may be asked again."""
        peer = self.peers.get(entry)
        return peer is None or now_s >= peer.quiet_until_s
