"""Session fence and session lease of the entries that an agent serves.

The session number is a fencing token: only the newest session of an entry has
authority, and only while its lease lasts. This module does not know tasks.
"""

import math

import attrs

# Default of the session lease in seconds, counted from the agent's ping.
LEASE_S = 3.0
# Entries whose session numbers are remembered. An agent is connected to a few
# entries at once; the rest are entries that have stopped.
LIMIT_ENTRIES = 256


@attrs.define
class EntrySession:
    """What is known of one entry.

    Attributes:
        session: The newest session number.
        lease_until_s: The session may start tasks before this time.
        lease_s: Length of the lease in seconds.
        first: True during the first session of this entry.
        connected: True until the stream of the newest session closes.
    """

    session: int
    lease_until_s: float
    lease_s: float = LEASE_S
    first: bool = True
    connected: bool = True


@attrs.define
class Sessions:
    """The newest session of each entry.

    At `LIMIT_ENTRIES` the entry that has been known longest and is not
    connected is forgotten. When it returns, its session counts as a first
    one, so that nothing is claimed about its earlier batches.

    Attributes:
        entries: By incarnation, in the order of their first session.
    """

    entries: dict[str, EntrySession] = attrs.field(factory=dict)

    def opened(
        self, entry: str, session: int, sent_s: float, lease_s: float
    ) -> bool:
        """Accepts a session if it is newer than all before.

        Args:
            entry: Incarnation of the entry.
            session: Number from `Welcome`.
            sent_s: When the dial began; the lease counts from here, because
                the entry's answer proves that it was alive after it.
            lease_s: Length of the lease from `Welcome`.

        Returns:
            False if the session is not newer, or no entry can be forgotten.
        """
        known = self.entries.get(entry)
        if known is None:
            if len(self.entries) >= LIMIT_ENTRIES and not self._forget_one():
                return False
            self.entries[entry] = EntrySession(
                session, sent_s + lease_s, lease_s
            )
            return True
        if session <= known.session:
            return False
        known.session = session
        known.lease_s = lease_s
        known.lease_until_s = sent_s + lease_s
        known.first = False
        known.connected = True
        return True

    def closed(self, entry: str, session: int) -> None:
        """Notes that a stream closed; its lease runs on until it lapses."""
        known = self.entries.get(entry)
        if known is not None and known.session == session:
            known.connected = False

    def lease_renewed(self, entry: str, session: int, sent_s: float) -> None:
        """Extends the lease of the newest session after a `Pong`."""
        known = self.entries.get(entry)
        if known is not None and known.session == session:
            until_s = sent_s + known.lease_s
            known.lease_until_s = max(known.lease_until_s, until_s)

    def current(self, entry: str, session: int) -> bool:
        """Returns True if this is the newest session of the entry."""
        known = self.entries.get(entry)
        return known is not None and known.session == session

    def lease_until_s(self, entry: str, session: int) -> float:
        """Returns when a session's authority ends, -inf if it has none."""
        if not self.current(entry, session):
            return -math.inf
        return self.entries[entry].lease_until_s

    def authorised(self, entry: str, session: int, now_s: float) -> bool:
        """Returns True if the session may start tasks now."""
        return now_s < self.lease_until_s(entry, session)

    def _forget_one(self) -> bool:
        """Forgets the oldest entry that is not connected."""
        for entry, known in self.entries.items():
            if not known.connected:
                del self.entries[entry]
                return True
        return False
