"""Decides when to ask which peer for credits and how many to lend.

`core` owns the credits. This module limits the rate of asks and keeps the asks
of peers that could not be met yet.
"""

from collections.abc import Mapping

import attrs

# Minimum assumed difference between the free credits of a peer and those of
# this entry, used if the peer reported less. Half of the difference is asked
# for.
MIN_CREDIT_GAP = 4
# Time after which both entries discard an unanswered ask.
ASK_TIMEOUT_S = 0.5
# Rate and burst size of the token bucket that limits asks. When all entries are
# overloaded, tasks always wait everywhere, and unlimited asks would only pass
# the same credits around.
ASKS_PER_S = 10.0
ASK_BURST = 20.0
# Minimum interval between asks while more tasks wait than this entry has
# credits: one more credit then makes little difference.
OVERLOAD_ASK_INTERVAL_S = 0.1
# Initial and maximum backoff after an ask to a peer that had nothing to lend;
# the backoff doubles with each consecutive empty answer.
MIN_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.5


@attrs.frozen
class Ask:
    """Request for credits that is sent to a peer or received from one.

    Attributes:
        entry: Incarnation of the peer.
        credits: Number of credits asked for.
    """

    entry: str
    credits: int


@attrs.define
class PeerRecord:
    """State of the asks to one peer.

    Attributes:
        asked_s: Monotonic time in seconds at which the open ask was sent, or
            None if no ask is open.
        empty_answers: Number of consecutive answers without credits.
        retry_at_s: Monotonic time in seconds before which the peer must not be
            asked.
        defers_asks: False once the peer answered without credits. Such a peer
            does not keep asks to meet them later, so it is asked only if it
            reports enough free credits.
    """

    asked_s: float | None = None
    empty_answers: int = 0
    retry_at_s: float = float("-inf")
    defers_asks: bool = True

    def may_be_asked(self, now_s: float, free_gap: int) -> bool:
        """Returns whether the peer may be asked for credits.

        Args:
            now_s: Monotonic time in seconds.
            free_gap: Free credits that the peer reported, minus the free
                credits of this entry.
        """
        if not self.defers_asks and free_gap < MIN_CREDIT_GAP:
            return False
        if self.asked_s is not None and now_s - self.asked_s < ASK_TIMEOUT_S:
            return False
        return now_s >= self.retry_at_s


@attrs.define
class AskPacer:
    """Limits credit asks to one open ask per peer and a rate over all peers.

    Attributes:
        peers: Record by incarnation of the peer.
        asked_s: Monotonic time in seconds of the last ask to any peer.
        tokens: Asks that the token bucket allowed at `asked_s`.
    """

    peers: dict[str, PeerRecord] = attrs.field(factory=dict)
    asked_s: float = float("-inf")
    tokens: float = ASK_BURST

    def next_ask(
        self,
        now_s: float,
        free: int,
        total: int,
        peers_free: Mapping[str, int],
        waiting: int,
    ) -> Ask | None:
        """Returns the next ask and records it as sent, or returns None.

        The peer with the most free credits is chosen.

        Args:
            now_s: Monotonic time in seconds.
            free: Free credits of this entry.
            total: Free and used credits of this entry.
            peers_free: Last reported free credits by connected peer.
            waiting: Number of tasks that wait at this entry, 0 if not known.
        """
        elapsed_s = now_s - self.asked_s
        if waiting > total and elapsed_s < OVERLOAD_ASK_INTERVAL_S:
            return None
        tokens = min(ASK_BURST, self.tokens + elapsed_s * ASKS_PER_S)
        if tokens < 1.0:
            return None
        candidates = [
            (peer_free, entry)
            for entry, peer_free in peers_free.items()
            if self._record(entry).may_be_asked(now_s, peer_free - free)
        ]
        if not candidates:
            return None
        peer_free, entry = max(candidates)
        self.asked_s = now_s
        self.tokens = tokens - 1.0
        self._record(entry).asked_s = now_s
        half = max(MIN_CREDIT_GAP, peer_free - free) // 2
        return Ask(entry, max(half, waiting // 2))

    def record_answer(self, entry: str, credits: int) -> None:
        """Records the answer of a peer to an ask.

        An answer without credits starts or extends the backoff, unless no ask
        to the peer is open: an answer may come late. Any other answer resets
        the count of empty answers.

        Args:
            entry: Incarnation of the peer.
            credits: Number of credits that it lent.
        """
        peer = self._record(entry)
        asked_s = peer.asked_s
        peer.asked_s = None
        if credits or asked_s is None:
            peer.empty_answers = 0
            return
        backoff_s = min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2.0**peer.empty_answers)
        peer.empty_answers += 1
        peer.defers_asks = False
        peer.retry_at_s = asked_s + backoff_s

    def record_unattributed_answer(self, credits: int) -> None:
        """Records an answer without a known sender for the oldest open ask."""
        open_asks = [
            (peer.asked_s, entry)
            for entry, peer in self.peers.items()
            if peer.asked_s is not None
        ]
        if open_asks:
            self.record_answer(min(open_asks)[1], credits)

    def forget(self, entry: str) -> None:
        """Removes the record of a peer that left."""
        self.peers.pop(entry, None)

    def _record(self, entry: str) -> PeerRecord:
        """Returns the record of a peer, creating it if needed."""
        return self.peers.setdefault(entry, PeerRecord())


@attrs.define
class DeferredAsks:
    """Asks of peers that could not be met at once, oldest first.

    Attributes:
        asks: Number of credits and monotonic time in seconds of the ask, by
            incarnation of the peer.
    """

    asks: dict[str, tuple[int, float]] = attrs.field(factory=dict)

    def add(self, entry: str, credits: int, now_s: float) -> None:
        """Adds an ask, which replaces an earlier one of the same peer."""
        self.asks.pop(entry, None)
        self.asks[entry] = (credits, now_s)

    def first(self, now_s: float) -> Ask | None:
        """Returns the oldest valid ask, or None, and discards expired ones."""
        while self.asks:
            entry, (credits, asked_s) = next(iter(self.asks.items()))
            if now_s - asked_s < ASK_TIMEOUT_S:
                return Ask(entry, credits)
            del self.asks[entry]
        return None

    def forget(self, entry: str) -> None:
        """Removes the ask of a peer, if there is one."""
        self.asks.pop(entry, None)


def lendable(free: int, total: int, share: float, waiting: int) -> int:
    """Returns the number of credits that may be lent.

    Args:
        free: Free credits of this entry.
        total: Free and used credits of this entry.
        share: This entry's even share of all slots.
        waiting: Number of tasks that wait at this entry.

    Notes:
        Without waiting tasks, half of the free credits are lent, so that
        lender and borrower end up with equal numbers and don't ask each other
        in turn. Credits in excess of the even share are lent on demand even
        while tasks wait here: otherwise an overloaded entry would never give
        back the credits that it borrowed.
    """
    surplus = max(0, min(free, total - round(share)))
    return surplus if waiting else max(surplus, free // 2)
