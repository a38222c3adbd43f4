"""How schedulers find each other.

Each holds one key under a lease and reads all such keys from time to time.
The list is only needed by newcomers: everybody keeps what it knows while the
store is away.
"""

import logging
from collections.abc import Callable

import attrs
import eventlet

from trefoilgw.keyvalue import values
from trefoilgw.platform import store as platform_store

PREFIX = "trefoilgw/schedulers/"
LEASE_S = 9.0
REFRESH_S = 3.0
# While the own key is missing, it is written again this soon.
RETRY_S = 0.7

log = logging.getLogger(__name__)


@attrs.define(eq=False)
class Roster:
    """Stream addresses of the schedulers in the store.

    Attributes:
        store: The store.
        name: Name of the own host.
        address: Own stream address.
        on_listed: Called with the addresses whenever they were read.
        lease: Lease of the own key, None while there is none.
    """

    store: platform_store.Store
    name: str
    address: str
    on_listed: Callable[[frozenset[str]], None]
    lease: values.Lease | None = None

    @property
    def key(self) -> str:
        """The own key."""
        return PREFIX + self.name

    def run(self) -> None:
        """Keeps the key and reads the list; spawn it as a greenthread."""
        while True:
            done = self._renew() and self._read()
            eventlet.sleep(REFRESH_S if done else RETRY_S)

    def shut_down(self) -> None:
        """Deletes the own key."""
        if self.lease is not None:
            answer = self.store.end_lease(self.lease)
            log.info("left the roster", extra={"answer": str(answer)})

    def _renew(self) -> bool:
        """Makes sure that the own key stands under a lease."""
        if self.lease is not None:
            answer = self.store.keep_alive(self.lease)
            if isinstance(answer, values.Lease):
                return True
            if not isinstance(answer, values.Missing):
                return False
            log.warning("roster lease lapsed")
            self.lease = None
        granted = self.store.grant_lease(LEASE_S)
        if not isinstance(granted, values.Lease):
            return False
        put = values.Put(self.key, self.address.encode(), granted.lease_id)
        answer = self.store.txn((), (put,))
        if not isinstance(answer, values.Committed):
            # An unknown outcome is harmless: the lease is not renewed.
            return False
        self.lease = granted
        return True

    def _read(self) -> bool:
        """Reads the list; a missing own key is written again."""
        page = self.store.list_stale(PREFIX)
        if not isinstance(page, values.Page):
            return False
        found = frozenset(x.data.decode("ascii", "replace") for x in page.items)
        self.on_listed(found)
        if self.address not in found:
            # The list may be older than the key; if not, the key is gone
            # although its lease was renewed.
            self.lease = None
            return False
        return True
