"""When to ask which peer for credits, and how many to lend.

`core` owns the credits; this module paces the asking and keeps what is owed.
"""

from collections.abc import Mapping

import attrs

# Difference of free credits that is assumed if a peer reported less; half of
# the difference is asked for.
GAP_CREDITS = 4
# An ask that was not answered by then is forgotten at both ends.
ASK_VALID_S = 0.5
# Asks per second, and so many at once. In a flood at all entries work always
# waits, and unbounded asks only move the same credits in a circle.
ASK_RATE_S = 10.0
ASK_BURST = 20.0
# With more tasks waiting than this entry has credits, one more credit changes
# little, and asks are made no more often than this.
CROWDED_ASK_S = 0.1
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
        asked_s: When an ask was sent that is still open, None if none is.
        empty_answers: Answers without credits in a row.
        quiet_until_s: The peer is not asked before.
        keeps_asks: False once it answered without credits: it does not keep
            asks for later, so it is asked only if it reports free credits.
    """

    asked_s: float | None = None
    empty_answers: int = 0
    quiet_until_s: float = float("-inf")
    keeps_asks: bool = True

    def is_open(self, now_s: float, more_free: int) -> bool:
        """Tells whether the peer may be asked.

        Args:
            now_s: Monotonic time in seconds.
            more_free: Credits that it reported above those free here.
        """
        if not self.keeps_asks and more_free < GAP_CREDITS:
            return False
        if self.asked_s is not None and now_s - self.asked_s < ASK_VALID_S:
            return False
        return now_s >= self.quiet_until_s


@attrs.define
class Asking:
    """Paces credit asks: one open ask per peer.

    Attributes:
        peers: Record per peer.
        asked_s: When a peer was last asked.
        allowance: Asks that may be made, at `asked_s`.
    """

    peers: dict[str, PeerRecord] = attrs.field(factory=dict)
    asked_s: float = float("-inf")
    allowance: float = ASK_BURST

    def next_ask(
        self,
        now_s: float,
        free: int,
        total: int,
        peers_free: Mapping[str, int],
        waiting: int,
    ) -> Ask | None:
        """Returns whom to ask, or None.

        Args:
            now_s: Monotonic time in seconds.
            free: Credits free here.
            total: Credits free or in use here.
            peers_free: Credits free at each connected peer, as last heard.
            waiting: Tasks that wait here, 0 if not known.
        """
        elapsed_s = now_s - self.asked_s
        if waiting > total and elapsed_s < CROWDED_ASK_S:
            return None
        allowance = min(ASK_BURST, self.allowance + elapsed_s * ASK_RATE_S)
        if allowance < 1.0:
            return None
        candidates = [
            (peer_free, entry)
            for entry, peer_free in peers_free.items()
            if self._record(entry).is_open(now_s, peer_free - free)
        ]
        if not candidates:
            return None
        peer_free, entry = max(candidates)
        self.asked_s = now_s
        self.allowance = allowance - 1.0
        self._record(entry).asked_s = now_s
        half = max(GAP_CREDITS, peer_free - free) // 2
        return Ask(entry, max(half, waiting // 2))

    def answered(self, entry: str, credits: int) -> None:
        """Records the answer of a peer; it may come late."""
        peer = self._record(entry)
        asked_s = peer.asked_s
        peer.asked_s = None
        if credits or asked_s is None:
            peer.empty_answers = 0
            return
        quiet_s = min(EMPTY_LIMIT_S, EMPTY_FIRST_S * 2.0**peer.empty_answers)
        peer.empty_answers += 1
        peer.keeps_asks = False
        peer.quiet_until_s = asked_s + quiet_s

    def answered_by_any(self, credits: int) -> None:
        """Records an answer whose sender is not known: the oldest ask's."""
        open_asks = [
            (peer.asked_s, entry)
            for entry, peer in self.peers.items()
            if peer.asked_s is not None
        ]
        if open_asks:
            self.answered(min(open_asks)[1], credits)

    def forget(self, entry: str) -> None:
        """Forgets a peer that left."""
        self.peers.pop(entry, None)

    def _record(self, entry: str) -> PeerRecord:
        """Returns the record of a peer."""
        return self.peers.setdefault(entry, PeerRecord())


@attrs.define
class Owing:
    """Asks of peers that could not be met at once, oldest first.

    Attributes:
        asks: Credits and time of the ask, by peer.
    """

    asks: dict[str, tuple[int, float]] = attrs.field(factory=dict)

    def add(self, entry: str, credits: int, now_s: float) -> None:
        """Notes an ask; it replaces an earlier one of the same peer."""
        self.asks.pop(entry, None)
        self.asks[entry] = (credits, now_s)

    def first(self, now_s: float) -> Ask | None:
        """Returns the oldest ask that is still valid."""
        while self.asks:
            entry, (credits, asked_s) = next(iter(self.asks.items()))
            if now_s - asked_s < ASK_VALID_S:
                return Ask(entry, credits)
            del self.asks[entry]
        return None

    def forget(self, entry: str) -> None:
        """Forgets the ask of a peer."""
        self.asks.pop(entry, None)


def lendable(free: int, total: int, share: float, waiting: int) -> int:
    """Returns how many credits may be lent.

    Args:
        free: Credits free here.
        total: Credits free or in use here.
        share: This entry's even share of the slots.
        waiting: Tasks that wait here.

    Notes:
        Half of the free ones, so that lender and borrower end up alike and
        don't ask each other in turn. Credits above the even share are given
        back on demand even while work waits here: else a flood at one entry
        would keep what it once borrowed.
    """
    above = max(0, min(free, total - round(share)))
    return above if waiting else max(above, free // 2)
