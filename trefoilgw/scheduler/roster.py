"""Discovery of schedulers through the store.

Each scheduler registers its stream address in a key under a lease, and reads
all such keys periodically. Only schedulers that start depend on the list: all
others keep the addresses that they know while the store is unavailable.
"""

import logging
from collections.abc import Callable

import attrs
import eventlet

from trefoilgw.keyvalue import values
from trefoilgw.platform import store as platform_store

KEY_PREFIX = "trefoilgw/schedulers/"
LEASE_S = 9.0
REFRESH_S = 3.0
# Delay before the next attempt while the own key is not registered.
RETRY_S = 0.7

log = logging.getLogger(__name__)


@attrs.define(eq=False)
class Roster:
    """Registers this scheduler in the store and lists all others.

    Attributes:
        store: The store.
        name: Name of this scheduler's host.
        address: Stream address of this scheduler.
        on_addresses_read: Called with all addresses after each read.
        lease: Lease of the own key, None while it is not registered.
    """

    store: platform_store.Store
    name: str
    address: str
    on_addresses_read: Callable[[frozenset[str]], None]
    lease: values.Lease | None = None

    @property
    def key(self) -> str:
        """Key that holds the address of this scheduler."""
        return KEY_PREFIX + self.name

    def run(self) -> None:
        """Keeps the key registered and reads the addresses, forever.

        Run it in a greenthread of its own.
        """
        while True:
            done = self._renew_registration() and self._read_addresses()
            eventlet.sleep(REFRESH_S if done else RETRY_S)

    def deregister(self) -> None:
        """Ends the lease, which deletes the own key."""
        if self.lease is not None:
            answer = self.store.end_lease(self.lease)
            log.info("left the roster", extra={"answer": str(answer)})

    def _renew_registration(self) -> bool:
        """Renews the lease, or writes the own key under a new one.

        Returns:
            Whether the own key is registered, as far as the store tells.
        """
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
            # If the key was written although the outcome is unknown, it
            # expires: this lease is not renewed.
            return False
        self.lease = granted
        return True

    def _read_addresses(self) -> bool:
        """Reads all addresses; a missing own key is registered again.

        Returns:
            Whether the list was read and holds the own address.
        """
        page = self.store.list_stale(KEY_PREFIX)
        if not isinstance(page, values.Page):
            return False
        addresses = frozenset(
            x.data.decode("ascii", "replace") for x in page.items
        )
        self.on_addresses_read(addresses)
        if self.address not in addresses:
            # The read may be stale and older than the key. Otherwise the key
            # was deleted although its lease was renewed.
            self.lease = None
            return False
        return True
