"""Credits: the slots of one target, lent to the entries.

Each slot is in exactly one of three states: free, held by an entry as a
credit, or used by a task or batch of an entry. So the entries together never
hold more than the slots. This module does not know batches.
"""

import hashlib

import attrs

# The share of an entry that is expected but not connected stays reserved for
# this long, so that a restarted entry finds its credits.
RESERVATION_S = 3.0
# An entry that returned credits is offered free ones again after this time.
REST_S = 1.0


@attrs.define
class Account:
    """Credits of one connected entry.

    Attributes:
        held: Credits that the entry may spend.
        owed: Credits missing from its first share, paid as others come back.
        leaving: True if the entry takes no new work.
        rests_until_s: No free credit is granted before this time, because the
            entry has just returned some.
    """

    held: int = 0
    owed: int = 0
    leaving: bool = False
    rests_until_s: float = float("-inf")


@attrs.define
class CreditBook:
    """The credits of one agent.

    Attributes:
        agent: Incarnation, spreads the remainder of uneven shares.
        total: Slots of the target.
        free: Slots that are neither held nor used.
        accounts: By entry, connected entries only.
        used: Slots used by batches and stragglers, by entry.
        reserved_until_s: By entry that is expected but not connected.
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
        """Sets the entries that are about to connect."""
        until_s = now_s + RESERVATION_S
        self.reserved_until_s = {
            entry: self.reserved_until_s.get(entry, until_s)
            for entry in entries
            if entry not in self.accounts
        }

    def share(self, entry: str) -> int:
        """Returns an entry's even share of the slots.

        Notes:
            The remainder goes by a hash of agent and entry, so that no entry
            gets the larger share of every agent.
        """
        members = self._members() | {entry}
        ranked = sorted(members, key=self._rank)
        base, remainder = divmod(self.total, len(ranked))
        return base + (ranked.index(entry) < remainder)

    def connect(self, entry: str) -> None:
        """Opens an account, to which the entry's share is owed."""
        self.reserved_until_s.pop(entry, None)
        self.accounts[entry] = Account()
        self.accounts[entry].owed = self._missing(entry)

    def disconnect(self, entry: str, now_s: float) -> None:
        """Takes back the credits of an entry whose stream closed."""
        account = self.accounts.pop(entry, None)
        if account is None:
            return
        self.free += account.held
        if not account.leaving:
            self.reserved_until_s[entry] = now_s + RESERVATION_S

    def leaving(self, entry: str) -> None:
        """Notes that an entry takes no new credits."""
        if entry in self.accounts:
            self.accounts[entry].leaving = True
            self.accounts[entry].owed = 0

    def returned(self, entry: str, credits: int, now_s: float) -> None:
        """Books credits that an entry gave back."""
        account = self.accounts.get(entry)
        if account is None:
            return
        taken = max(0, min(credits, account.held))
        account.held -= taken
        account.rests_until_s = now_s + REST_S
        self.free += taken

    def spend(self, entry: str, holder: str, credits: int) -> int:
        """Moves credits of a holder into use by an entry.

        Args:
            entry: Who uses them.
            holder: Who was granted them: the entry itself or a lender.
            credits: How many are asked for.

        Returns:
            How many were there, counting free ones if the holder's are short:
            a lender's credits are lent anew when its stream closes.
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

    def put_back(self, entry: str, credits: int) -> int:
        """Ends the use of credits.

        Returns:
            How many the entry holds again. The rest has become free: the
            entry is gone or leaving, or another one misses its first share.
        """
        self._end_use(entry, credits)
        account = self.accounts.get(entry)
        if account is None or account.leaving:
            self.free += credits
            return 0
        diverted = 0
        wanted = sum(self._update_owed().values())
        if wanted:
            present = account.held + self.used.get(entry, 0) + credits
            above = present - self.share(entry)
            diverted = max(0, min(credits, wanted, above))
        self.free += diverted
        account.held += credits - diverted
        return credits - diverted

    def grant(self, now_s: float) -> dict[str, int]:
        """Grants free credits: first those owed, then the unreserved rest.

        Call it after each change that may have made credits free.

        Returns:
            Credits granted now, by entry.
        """
        granted: dict[str, int] = {}
        self.reserved_until_s = {
            entry: until_s
            for entry, until_s in self.reserved_until_s.items()
            if now_s < until_s
        }
        for entry, owed in self._update_owed().items():
            self._grant_one(entry, min(owed, self.free), granted)
            self.accounts[entry].owed -= granted.get(entry, 0)
        self._grant_unreserved(now_s, granted)
        return {entry: count for entry, count in granted.items() if count}

    def _grant_unreserved(self, now_s: float, granted: dict) -> None:
        """Spreads free credits above the reservations, one by one."""
        open_accounts = [
            entry
            for entry, account in self.accounts.items()
            if not account.leaving and account.rests_until_s <= now_s
        ]
        spare = self.free - self._reserved()
        while spare > 0 and open_accounts:
            entry = min(open_accounts, key=self._load)
            self._grant_one(entry, 1, granted)
            spare -= 1

    def _grant_one(self, entry: str, credits: int, granted: dict) -> None:
        """Moves free credits to an account."""
        self.free -= credits
        self.accounts[entry].held += credits
        granted[entry] = granted.get(entry, 0) + credits

    def _members(self) -> set[str]:
        """Returns the entries among which the slots are shared."""
        active = {
            entry
            for entry, account in self.accounts.items()
            if not account.leaving
        }
        return active | set(self.reserved_until_s)

    def _reserved(self) -> int:
        """Returns the credits kept for entries that are not connected."""
        return sum(self.share(entry) for entry in self.reserved_until_s)

    def _missing(self, entry: str) -> int:
        """Returns how many credits an entry is below its share."""
        account = self.accounts[entry]
        present = account.held + self.used.get(entry, 0)
        return max(0, self.share(entry) - present)

    def _update_owed(self) -> dict[str, int]:
        """Returns what is owed; lending may have filled a share meanwhile."""
        owed = {}
        for entry, account in self.accounts.items():
            if account.owed:
                account.owed = min(account.owed, self._missing(entry))
                owed[entry] = account.owed
        return owed

    def _end_use(self, entry: str, credits: int) -> None:
        """Counts credits as no longer used."""
        self.used[entry] -= credits
        if not self.used[entry]:
            del self.used[entry]

    def _load(self, entry: str) -> tuple[int, int]:
        """Returns the order in which entries get spare credits."""
        present = self.accounts[entry].held + self.used.get(entry, 0)
        return present, self._rank(entry)

    def _rank(self, entry: str) -> int:
        """Returns a fixed pseudo-random rank of an entry at this agent."""
        text = f"{self.agent}/{entry}".encode()
        digest = hashlib.blake2b(text, digest_size=8).digest()
        return int.from_bytes(digest, "big")
