"""The lease key that shows the platform that an entry is alive."""

import logging

import attrs

from trefoilgw import keyvalue as platform
from trefoilgw.messages import core as messages
from trefoilgw.registry import counters
from trefoilgw.registry import paths

# Three polls: two failed renewals in a row do not cost the lease.
LEASE_TTL_S = 15

log = logging.getLogger(__name__)


@attrs.define(eq=False)
class LeaseKeeper:
    """Holds the lease of one entry.

    Attributes:
        client: Client of the platform.
        own: The entry.
        counts: Counters of the registry.
        lease: The lease, None if none is held.
    """

    client: platform.Client
    own: messages.RosterEntry
    counts: counters.Counts
    lease: platform.Lease | None = None

    @property
    def key(self) -> str:
        """The lease key."""
        return paths.entry_key(self.own.incarnation)

    def keep(self) -> bool:
        """Renews the lease, or takes a new one; returns whether it is held."""
        if self.lease is not None:
            renewed = self.client.keep_alive(self.lease)
            if isinstance(renewed, platform.Lease):
                return True
            if not isinstance(renewed, platform.Missing):
                return False
            self.counts.lost_leases += 1
            log.warning("lease lapsed")
            self.lease = None
        # A lease whose grant got no answer has no keys and lapses unused.
        granted = self.client.grant_lease(LEASE_TTL_S)
        if not isinstance(granted, platform.Lease):
            return False
        self.lease = granted
        self.counts.leases += 1
        return self.put_key()

    def put_key(self) -> bool:
        """Writes the lease key; writing it twice is harmless."""
        data = self.own.stream_address.encode()
        put = platform.Put(self.key, data, self.lease.lease_id)
        result = self.client.put(put)
        if isinstance(result, platform.Rejected):
            self.lease = None  # It lapsed since the renewal.
        return isinstance(result, platform.Committed)

    def end(self) -> None:
        """Ends the lease; if that fails, it lapses by itself."""
        if self.lease is not None:
            self.client.revoke(self.lease)
            self.lease = None
