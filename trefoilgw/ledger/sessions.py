"""Session fencing and leases for the entries that an agent serves.

The session number is a fencing token: only the newest session of an entry has
authority, and only until its lease expires. This module is independent of
tasks.
"""

import math

import attrs

# Default length of a session lease in seconds, counted from the agent's ping.
LEASE_S = 3.0
# Maximum number of entries whose session numbers are stored. An agent is
# connected to a few entries at once; the others are entries that have stopped.
MAX_ENTRIES = 256


@attrs.define
class EntrySession:
    """Newest session of one entry.

    Attributes:
        session: Session number.
        lease_until_s: Time in seconds before which the session may start
            tasks.
        lease_s: Length of the lease in seconds.
        is_first: True if this is the first known session of the entry.
        connected: True until the stream of the session closes.
    """

    session: int
    lease_until_s: float
    lease_s: float = LEASE_S
    is_first: bool = True
    connected: bool = True


@attrs.define
class Sessions:
    """The newest session of each entry.

    At `MAX_ENTRIES`, the oldest entry that is not connected is evicted. If
    it reconnects, its session counts as a first one, so that its earlier
    batches are not reported as never received.

    Attributes:
        entries: Session by incarnation of the entry, in order of insertion.
    """

    entries: dict[str, EntrySession] = attrs.field(factory=dict)

    def opened(
        self, entry: str, session: int, sent_s: float, lease_s: float
    ) -> bool:
        """Registers a session if it is newer than the entry's last one.

        Args:
            entry: Incarnation of the entry.
            session: Session number from `Welcome`.
            sent_s: Time in seconds when the dial began. The lease starts here,
                because the entry's answer proves that it was alive later.
            lease_s: Length of the lease in seconds from `Welcome`.

        Returns:
            False if the session is not newer, or if the table is full and no
            entry can be evicted.
        """
        entry_session = self.entries.get(entry)
        if entry_session is None:
            if len(self.entries) >= MAX_ENTRIES and not self._evict_entry():
                return False
            self.entries[entry] = EntrySession(
                session, sent_s + lease_s, lease_s
            )
            return True
        if session <= entry_session.session:
            return False
        entry_session.session = session
        entry_session.lease_s = lease_s
        entry_session.lease_until_s = sent_s + lease_s
        entry_session.is_first = False
        entry_session.connected = True
        return True

    def closed(self, entry: str, session: int) -> None:
        """Marks an entry as disconnected if its newest session closed.

        The lease is not shortened.
        """
        entry_session = self.entries.get(entry)
        if entry_session is not None and entry_session.session == session:
            entry_session.connected = False

    def lease_renewed(self, entry: str, session: int, sent_s: float) -> None:
        """Extends the lease of the newest session after a `Pong`.

        Args:
            entry: Incarnation of the entry.
            session: Session of the stream.
            sent_s: Time in seconds when the ping was sent.
        """
        entry_session = self.entries.get(entry)
        if entry_session is not None and entry_session.session == session:
            until_s = sent_s + entry_session.lease_s
            entry_session.lease_until_s = max(
                entry_session.lease_until_s, until_s
            )

    def current(self, entry: str, session: int) -> bool:
        """Returns True if `session` is the newest session of the entry."""
        entry_session = self.entries.get(entry)
        return entry_session is not None and entry_session.session == session

    def lease_until_s(self, entry: str, session: int) -> float:
        """Returns when the lease of a session ends, -inf if it is fenced."""
        if not self.current(entry, session):
            return -math.inf
        return self.entries[entry].lease_until_s

    def authorised(self, entry: str, session: int, now_s: float) -> bool:
        """Returns True if the session may start tasks now."""
        return now_s < self.lease_until_s(entry, session)

    def _evict_entry(self) -> bool:
        """Removes the oldest entry that is not connected.

        Returns:
            False if all entries are connected.
        """
        for entry, entry_session in self.entries.items():
            if not entry_session.connected:
                del self.entries[entry]
                return True
        return False
