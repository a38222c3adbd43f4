"""The lease key that shows the platform that an entry is alive."""

import logging

import attrs

from trefoilgw import keyvalue
from trefoilgw.messages import core as messages
from trefoilgw.registry import counters
from trefoilgw.registry import paths

# Three poll intervals, so that the lease survives two consecutive failed
# renewals.
LEASE_TTL_S = 15

log = logging.getLogger(__name__)


@attrs.define(eq=False)
class LeaseManager:
    """Grants, renews and revokes the lease of one entry.

    Attributes:
        client: Client of the platform.
        own: Roster entry of this process.
        counts: Counters of the registry.
        lease: The lease, None if none is held.
    """

    client: keyvalue.Client
    own: messages.RosterEntry
    counts: counters.Counts
    lease: keyvalue.Lease | None = None

    @property
    def key(self) -> str:
        """Key that is attached to the lease."""
        return paths.entry_key(self.own.incarnation)

    def ensure_held(self) -> bool:
        """Renews the lease or requests a new one.

        Returns:
            Whether the lease is held. For a new lease, also whether its key was
            written.
        """
        if self.lease is not None:
            renewed = self.client.keep_alive(self.lease)
            if isinstance(renewed, keyvalue.Lease):
                return True
            if not isinstance(renewed, keyvalue.Missing):
                return False
            self.counts.lost_leases += 1
            log.warning("lease lapsed")
            self.lease = None
        # A lease whose grant got no answer has no keys and expires unused.
        granted = self.client.grant_lease(LEASE_TTL_S)
        if not isinstance(granted, keyvalue.Lease):
            return False
        self.lease = granted
        self.counts.leases += 1
        return self.write_key()

    def write_key(self) -> bool:
        """Writes the lease key; this is idempotent.

        Returns:
            Whether the write was confirmed.
        """
        data = self.own.stream_address.encode()
        put = keyvalue.Put(self.key, data, self.lease.lease_id)
        result = self.client.put(put)
        if isinstance(result, keyvalue.Rejected):
            self.lease = None  # It expired after the renewal.
        return isinstance(result, keyvalue.Committed)

    def revoke(self) -> None:
        """Revokes the lease; if that fails, the lease expires by itself."""
        if self.lease is not None:
            self.client.revoke(self.lease)
            self.lease = None
