"""Credits: permissions to use the slots of one target, granted to entries.

Each slot is in exactly one of three states: free, held by an entry as a
credit, or used by a task or batch of an entry. Therefore the credits of all
entries never exceed the slots. This module does not depend on batches.
"""

import hashlib

import attrs

# Time for which the share of an entry that is expected but not connected stays
# reserved, so that a restarted entry finds its credits.
RESERVATION_S = 3.0
# Time after which an entry that returned credits is granted free ones again.
REGRANT_DELAY_S = 1.0


@attrs.define
class Account:
    """Credits of one connected entry.

    Attributes:
        held: Number of credits that the entry may spend.
        owed: Number of credits missing from its initial share; they are
            granted as other entries release theirs.
        leaving: True if the entry must not be granted further credits.
        no_grant_until_s: Monotonic time in seconds before which the entry gets
            no free credits except those owed to it, because it has just
            returned some.
    """

    held: int = 0
    owed: int = 0
    leaving: bool = False
    no_grant_until_s: float = float("-inf")


@attrs.define
class CreditBook:
    """The credits of one agent.

    Attributes:
        agent: Incarnation of the agent; part of the hash that distributes the
            remainder of an uneven division.
        total: Number of slots of the target.
        free: Number of slots that are neither held nor used.
        accounts: Account by entry, for connected entries only.
        used: Number of slots used by batches and stragglers, by entry.
        reserved_until_s: Monotonic time in seconds until which a share is
            reserved, by entry that is expected but not connected.
    """

    agent: str
    total: int
    free: int = attrs.field(
        default=attrs.Factory(lambda self: self.total, takes_self=True)
    )
    accounts: dict[str, Account] = attrs.field(factory=dict)
    used: dict[str, int] = attrs.field(factory=dict)
    reserved_until_s: dict[str, float] = attrs.field(factory=dict)

    def set_expected_entries(
        self, entries: tuple[str, ...], now_s: float
    ) -> None:
        """Reserves shares for those of the entries that are not connected.

        Reservations of other entries end. An existing reservation keeps its
        end.
        """
        until_s = now_s + RESERVATION_S
        self.reserved_until_s = {
            entry: self.reserved_until_s.get(entry, until_s)
            for entry in entries
            if entry not in self.accounts
        }

    def share(self, entry: str) -> int:
        """Returns an entry's even share of the slots.

        Notes:
            The remainder is distributed by a hash of agent and entry, so that
            no entry gets the larger share of every agent.
        """
        entries = self._sharing_entries() | {entry}
        ranked = sorted(entries, key=self._rank)
        base, remainder = divmod(self.total, len(ranked))
        return base + (ranked.index(entry) < remainder)

    def connect(self, entry: str) -> None:
        """Opens an account that is owed the entry's share of the slots."""
        self.reserved_until_s.pop(entry, None)
        self.accounts[entry] = Account()
        self.accounts[entry].owed = self._shortfall(entry)

    def disconnect(self, entry: str, now_s: float) -> None:
        """Closes an account and frees its credits.

        The entry's share stays reserved for `RESERVATION_S` unless the entry is
        leaving.
        """
        account = self.accounts.pop(entry, None)
        if account is None:
            return
        self.free += account.held
        if not account.leaving:
            self.reserved_until_s[entry] = now_s + RESERVATION_S

    def mark_leaving(self, entry: str) -> None:
        """Records that an entry must not be granted further credits."""
        if entry in self.accounts:
            self.accounts[entry].leaving = True
            self.accounts[entry].owed = 0

    def accept_returned(self, entry: str, credits: int, now_s: float) -> None:
        """Frees credits that an entry returned."""
        account = self.accounts.get(entry)
        if account is None:
            return
        taken = max(0, min(credits, account.held))
        account.held -= taken
        account.no_grant_until_s = now_s + REGRANT_DELAY_S
        self.free += taken

    def spend(self, entry: str, holder: str, credits: int) -> int:
        """Moves held credits into use by an entry.

        If the holder has too few, free credits make up the difference: the
        credits of a lender become free when its stream closes.

        Args:
            entry: Entry that uses the credits.
            holder: Entry to which they were granted: `entry` itself or a
                lender.
            credits: Number of credits requested.

        Returns:
            Number of credits moved, at most `credits`.
        """
        account = self.accounts.get(holder)
        from_holder = 0
        if account is not None:
            from_holder = min(credits, account.held)
            account.held -= from_holder
        from_free = min(credits - from_holder, self.free)
        self.free -= from_free
        taken = from_holder + from_free
        self.used[entry] = self.used.get(entry, 0) + taken
        return taken

    def release(self, entry: str, credits: int) -> int:
        """Ends the use of credits by an entry.

        Returns:
            Number of credits that go back to the entry. The others become
            free, because the entry is disconnected or leaving, or because it
            is above its share while another entry is owed credits.
        """
        self._end_use(entry, credits)
        account = self.accounts.get(entry)
        if account is None or account.leaving:
            self.free += credits
            return 0
        diverted = 0
        wanted = sum(self._update_owed().values())
        if wanted:
            current = account.held + self.used.get(entry, 0) + credits
            excess = current - self.share(entry)
            diverted = max(0, min(credits, wanted, excess))
        self.free += diverted
        account.held += credits - diverted
        return credits - diverted

    def grant(self, now_s: float) -> dict[str, int]:
        """Grants free credits: those owed first, then all unreserved ones.

        Call it after each change that may have freed credits. Reservations
        that have expired end first.

        Returns:
            Number of credits granted by this call, by entry.
        """
        granted: dict[str, int] = {}
        self.reserved_until_s = {
            entry: until_s
            for entry, until_s in self.reserved_until_s.items()
            if now_s < until_s
        }
        for entry, owed in self._update_owed().items():
            self._grant_to(entry, min(owed, self.free), granted)
            self.accounts[entry].owed -= granted.get(entry, 0)
        self._grant_unreserved(now_s, granted)
        return {entry: count for entry, count in granted.items() if count}

    def _grant_unreserved(self, now_s: float, granted: dict) -> None:
        """Grants free credits in excess of the reservations one at a time.

        Each goes to the entry with the fewest held and used credits.
        """
        open_accounts = [
            entry
            for entry, account in self.accounts.items()
            if not account.leaving and account.no_grant_until_s <= now_s
        ]
        spare = self.free - self._reserved()
        while spare > 0 and open_accounts:
            entry = min(open_accounts, key=self._grant_priority)
            self._grant_to(entry, 1, granted)
            spare -= 1

    def _grant_to(self, entry: str, credits: int, granted: dict) -> None:
        """Moves free credits to an account and adds them to `granted`."""
        self.free -= credits
        self.accounts[entry].held += credits
        granted[entry] = granted.get(entry, 0) + credits

    def _sharing_entries(self) -> set[str]:
        """Returns the entries that share the slots.

        These are the connected entries that are not leaving, and those with a
        reservation.
        """
        active = {
            entry
            for entry, account in self.accounts.items()
            if not account.leaving
        }
        return active | set(self.reserved_until_s)

    def _reserved(self) -> int:
        """Returns the number of credits reserved for unconnected entries."""
        return sum(self.share(entry) for entry in self.reserved_until_s)

    def _shortfall(self, entry: str) -> int:
        """Returns by how many credits an entry is below its share."""
        account = self.accounts[entry]
        current = account.held + self.used.get(entry, 0)
        return max(0, self.share(entry) - current)

    def _update_owed(self) -> dict[str, int]:
        """Reduces the owed credits to the current shortfalls and returns them.

        An entry may meanwhile have reached its share with credits that it
        borrowed.

        Returns:
            Number of credits owed, by entry, without accounts that were owed
            none before.
        """
        owed = {}
        for entry, account in self.accounts.items():
            if account.owed:
                account.owed = min(account.owed, self._shortfall(entry))
                owed[entry] = account.owed
        return owed

    def _end_use(self, entry: str, credits: int) -> None:
        """Reduces the number of credits that an entry uses."""
        self.used[entry] -= credits
        if not self.used[entry]:
            del self.used[entry]

    def _grant_priority(self, entry: str) -> tuple[int, int]:
        """Returns the sort key of an entry for spare credits; lowest first."""
        current = self.accounts[entry].held + self.used.get(entry, 0)
        return current, self._rank(entry)

    def _rank(self, entry: str) -> int:
        """Returns the hash rank of an entry, which differs among agents."""
        text = f"{self.agent}/{entry}".encode()
        digest = hashlib.blake2b(text, digest_size=8).digest()
        return int.from_bytes(digest, "big")
