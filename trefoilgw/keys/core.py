"""Idempotency keys, their windows or epochs, and their home entries.

The home of a key never changes: a ticket names it, and a key chosen by the
caller is hashed over the roster of the epoch that it names. This module does
not track which entries are reachable and keeps no tombstones.
"""

import hashlib
import re
from collections.abc import Mapping

import attrs

from trefoilgw.outcomes import core as outcomes

# A ticket stays valid for two to three windows, long enough for a caller that
# resubmits after a time limit of several minutes.
TICKET_WINDOW_S = 300.0
MAX_TICKET_AGE_WINDOWS = 2
# The home accepts keys of this many epochs; tombstones of older epochs are
# deleted. A rolling restart of 11 entries creates 22 epochs within minutes and
# must not expire the keys that were created before it.
EPOCHS_ACCEPTED = 24
# The roster keeps more epochs than that, so that the home of an expired key can
# still be determined and refuse it.
EPOCHS_KEPT = 32
MAX_KEY_CHARS = 200

_TICKET = re.compile(r"t1\.([0-9a-f]{16})\.([0-9]{1,12})\.([0-9a-f]{8,32})")
_CALLER_KEY = re.compile(r"k1\.([0-9]{1,12})\.([A-Za-z0-9_.~-]{1,160})")


@attrs.frozen
class Ticket:
    """A key issued by an entry.

    Attributes:
        incarnation: Incarnation of the home, which is the issuer or a peer
            connected to it.
        window: Window of the home's clock in which the ticket was issued.
        nonce: 8 to 32 hex digits that make the ticket unique.
    """

    incarnation: str
    window: int
    nonce: str


@attrs.frozen
class CallerKey:
    """A key chosen by the caller.

    Attributes:
        epoch: Roster epoch in which the caller created the key.
        name: Text chosen by the caller, unique per customer and epoch.
    """

    epoch: int
    name: str


Key = Ticket | CallerKey


def parse_key(text: str) -> Ticket | CallerKey | outcomes.Refused:
    """Parses the key that a caller sent.

    Returns:
        The key, or a refusal if the text has neither form. No submission can
        have run under such a text, so the refusal guarantees `not_run`.
    """
    if len(text) <= MAX_KEY_CHARS:
        match = _TICKET.fullmatch(text)
        if match:
            return Ticket(match[1], int(match[2]), match[3])
        match = _CALLER_KEY.fullmatch(text)
        if match:
            return CallerKey(int(match[1]), match[2])
    return outcomes.Refused(
        outcomes.Reason.BAD_REQUEST,
        not_run=True,
        detail="the key must be a ticket of POST /v1/tickets or "
        "k1.<epoch>.<name> with a name of A-Z a-z 0-9 _ . ~ -",
    )


def format_key(key: Key) -> str:
    """Returns the text of a key, from which `parse_key` restores the key."""
    match key:
        case Ticket(incarnation=incarnation, window=window, nonce=nonce):
            return f"t1.{incarnation}.{window}.{nonce}"
        case CallerKey(epoch=epoch, name=name):
            return f"k1.{epoch}.{name}"
    raise TypeError(f"not a key: {key!r}")


@attrs.frozen
class RosterView:
    """The roster of entries, with the rosters of earlier epochs.

    Attributes:
        epoch: Current epoch; 0 means that no roster is known.
        entries: Incarnations of the entries in the current epoch.
        history: Incarnations by epoch, including the current epoch, for at
            most `EPOCHS_KEPT` epochs.
    """

    epoch: int = 0
    entries: tuple[str, ...] = ()
    history: Mapping[int, tuple[str, ...]] = attrs.field(factory=dict)

    def entries_of(self, epoch: int) -> tuple[str, ...] | None:
        """Returns the incarnations of an epoch, or None if it is unknown."""
        if epoch == self.epoch and self.entries:
            return self.entries
        return self.history.get(epoch)


def home_of(key: Key, roster: RosterView) -> str | outcomes.Refused:
    """Returns the incarnation of the home of a key.

    The home of a key chosen by the caller is the entry with the highest hash of
    key and entry (rendezvous hashing, Thaler and Ravishankar 1998), so that
    all entries agree without a shared table.

    Returns:
        The incarnation, or a refusal with an unknown outcome if this
        entry doesn't know the roster of the key's epoch.
    """
    match key:
        case Ticket(incarnation=incarnation):
            return incarnation
        case CallerKey(epoch=epoch, name=name):
            entries = roster.entries_of(epoch)
            if not entries:
                return outcomes.Refused(
                    outcomes.Reason.HOME_UNREACHABLE,
                    not_run=False,
                    detail=f"the roster of epoch {epoch} is not known here",
                    retry_after_s=1.0,
                )
            key_text = f"{epoch}.{name}"
            return max(
                entries, key=lambda entry: _rendezvous_rank(key_text, entry)
            )
    raise TypeError(f"not a key: {key!r}")


def _rendezvous_rank(key_text: str, entry: str) -> tuple[bytes, str]:
    """Returns the rank of an entry for a key; incarnations break ties."""
    data = f"{entry}/{key_text}".encode()
    return hashlib.blake2b(data, digest_size=8).digest(), entry


@attrs.frozen
class TicketWindows:
    """Validity windows of tickets on an entry's monotonic clock.

    Windows last `TICKET_WINDOW_S` seconds and are numbered from the entry's
    start.

    Attributes:
        started_s: Monotonic time at which window 0 began.
    """

    started_s: float

    def current(self, now_s: float) -> int:
        """Returns the number of the window at `now_s`."""
        return max(0, int((now_s - self.started_s) // TICKET_WINDOW_S))

    def accepts(self, window: int, now_s: float) -> bool:
        """Returns whether tickets of a window are still accepted."""
        age = self.current(now_s) - window
        return 0 <= age <= MAX_TICKET_AGE_WINDOWS

    def expired(self, window: int, now_s: float) -> bool:
        """Returns whether tickets of a window are refused from now on."""
        return self.current(now_s) - window > MAX_TICKET_AGE_WINDOWS


@attrs.define
class AcceptedEpochs:
    """The epochs whose caller-chosen keys a home accepts.

    The lower bound never decreases. Otherwise a home that received an older
    roster would accept keys whose tombstones are already deleted.

    Attributes:
        newest: Newest epoch seen so far, 0 if none.
    """

    newest: int = 0

    def record_epoch(self, epoch: int) -> None:
        """Records the epoch of a roster."""
        self.newest = max(self.newest, epoch)

    def accepts(self, epoch: int) -> bool:
        """Returns whether caller-chosen keys of an epoch are accepted."""
        return epoch <= self.newest and not self.expired(epoch)

    def expired(self, epoch: int) -> bool:
        """Returns whether keys of an epoch are refused from now on."""
        return epoch <= self.newest - EPOCHS_ACCEPTED
