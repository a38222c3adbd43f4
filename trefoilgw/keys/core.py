"""Idempotency keys, the windows and epochs they live in, and their homes.

The home of a key never moves: a ticket names it, and a caller's own
key is mapped over the roster of the epoch that it names. This module does not
know which entries are reachable and keeps no tombstones.
"""

import hashlib
import re
from collections.abc import Mapping

import attrs

from trefoilgw.outcomes import core as outcomes

# A ticket stays valid for two to three windows, long enough for a caller that
# resubmits after its own time limit of several minutes.
TICKET_WINDOW_S = 300.0
OLDER_WINDOWS_ACCEPTED = 2
# The home accepts keys of this many epochs; older ones lose their tombstones.
# A rolling restart of 11 entries makes 22 epochs within minutes and must not
# expire the keys that were made before it.
EPOCHS_ACCEPTED = 24
# The roster keeps more epochs, so that the home of an older key is still
# found and can refuse it.
EPOCHS_KEPT = 32
KEY_LIMIT_CHARS = 200

_TICKET = re.compile(r"t1\.([0-9a-f]{16})\.([0-9]{1,12})\.([0-9a-f]{8,32})")
_OWN_KEY = re.compile(r"k1\.([0-9]{1,12})\.([A-Za-z0-9_.~-]{1,160})")


@attrs.frozen
class Ticket:
    """A key that an entry issued.

    Attributes:
        incarnation: The home: the issuer or a connected peer of it.
        window: Window of the home's clock in which it was issued.
        nonce: 8 to 32 hex digits that make it unique.
    """

    incarnation: str
    window: int
    nonce: str


@attrs.frozen
class CallerKey:
    """A key that the caller chose.

    Attributes:
        epoch: Roster epoch in which it was made up.
        name: The caller's part, unique per customer and epoch.
    """

    epoch: int
    name: str


Key = Ticket | CallerKey


def parse_key(text: str) -> Ticket | CallerKey | outcomes.Refused:
    """Returns the key that a caller sent.

    Returns:
        The key, or a refusal if the text has neither form. No submission can
        have run under such a text, so the refusal is a true not run.
    """
    if len(text) <= KEY_LIMIT_CHARS:
        match = _TICKET.fullmatch(text)
        if match:
            return Ticket(match[1], int(match[2]), match[3])
        match = _OWN_KEY.fullmatch(text)
        if match:
            return CallerKey(int(match[1]), match[2])
    return outcomes.Refused(
        outcomes.Reason.BAD_REQUEST,
        not_run=True,
        detail="the key must be a ticket of POST /v1/tickets or "
        "k1.<epoch>.<name> with a name of A-Z a-z 0-9 _ . ~ -",
    )


def format_key(key: Key) -> str:
    """Returns the text of a key; the inverse of `parse_key`."""
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
        entries: Incarnations of the current epoch.
        history: Incarnations by epoch, the current epoch included, at most
            `EPOCHS_KEPT` epochs.
    """

    epoch: int = 0
    entries: tuple[str, ...] = ()
    history: Mapping[int, tuple[str, ...]] = attrs.field(factory=dict)

    def entries_of(self, epoch: int) -> tuple[str, ...] | None:
        """Returns the entries of an epoch, or None if it is not known."""
        if epoch == self.epoch and self.entries:
            return self.entries
        return self.history.get(epoch)


def home_of(key: Key, roster: RosterView) -> str | outcomes.Refused:
    """Returns the incarnation of the home of a key.

    An own key goes to the entry with the highest hash of key and entry
    (rendezvous hashing, Thaler and Ravishankar 1998), so that entries agree
    without a shared table.

    Returns:
        The incarnation, or a refusal with unknown outcome if the epoch of the
        key is not known here.
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
            text = f"{epoch}.{name}"
            return max(entries, key=lambda entry: _weight(text, entry))
    raise TypeError(f"not a key: {key!r}")


def _weight(text: str, entry: str) -> tuple[bytes, str]:
    """Returns the rank of an entry for a key; ties go by incarnation."""
    data = f"{entry}/{text}".encode()
    return hashlib.blake2b(data, digest_size=8).digest(), entry


@attrs.frozen
class TicketWindows:
    """Windows of an entry's monotonic clock, counted from its start.

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
        return 0 <= age <= OLDER_WINDOWS_ACCEPTED

    def expired(self, window: int, now_s: float) -> bool:
        """Returns whether a window will never be accepted again."""
        return self.current(now_s) - window > OLDER_WINDOWS_ACCEPTED


@attrs.define
class AcceptedEpochs:
    """The epochs whose own keys a home accepts.

    The lower bound only grows. A home that went back to an older roster would
    otherwise accept keys whose tombstones are gone.

    Attributes:
        newest: Newest epoch seen so far, 0 if none.
    """

    newest: int = 0

    def seen(self, epoch: int) -> None:
        """Takes note of a roster's epoch."""
        self.newest = max(self.newest, epoch)

    def accepts(self, epoch: int) -> bool:
        """Returns whether own keys of an epoch are accepted."""
        return epoch <= self.newest and not self.expired(epoch)

    def expired(self, epoch: int) -> bool:
        """Returns whether an epoch will never be accepted again."""
        return epoch <= self.newest - EPOCHS_ACCEPTED
