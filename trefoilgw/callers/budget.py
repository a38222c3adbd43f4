"""Decides how much memory and how many connections callers may hold.

It answers this load: many callers that nobody controls connect at the same
time. Their bodies are each of legal size, but all of them together do not fit
in the memory of the host. They arrive whole or in pieces, and most stop shortly
before their end, so that none of the memory is freed by an answer. Other
callers only open connections. Ordinary small requests must be served meanwhile.

- Memory is charged before it is used: an announced body as a whole before it
  is read, a chunked one as it arrives, and a decoded job by its tasks.
- Large requests leave `BudgetLimits.small_reserve_bytes` to small ones.
- If the connections are used up, those are shed that are refused already, then
  idle ones, then the oldest incomplete request.
- If the memory is used up, incomplete requests are shed by the product of their
  size and age: the largest and slowest first.
- A request that is being served is never shed.

The module does no I/O; its caller closes the connections that it names.
"""

import enum
from collections.abc import Iterable

import attrs

MIB = 1024 * 1024
# Memory of a connection besides its body: its greenthread, buffers and sockets,
# and half of the bytes that the kernel may keep for it.
CONNECTION_BYTES = 32 * 1024
# Descriptors of a host that are reserved for files.
FILE_DESCRIPTORS = 200
# Share of a host's memory for all connections of callers and their requests;
# the rest is for the program, its other connections and freed memory that the
# allocator keeps.
MEMORY_SHARE = 0.35
# Share of a host's memory that the decoded form of one body may take. Bodies
# are decoded one at a time.
DECODED_SHARE = 1 / 6
# Share of a host's sockets for callers; streams and the store use the others.
SOCKET_SHARE = 0.75
MAX_CONNECTIONS = 4096
# An incomplete request is not shed for the memory of another of its size before
# this age, nor for a new connection before the shorter one, in which the head
# of an ordinary request arrives.
FRESH_S = 1.0
FRESH_CONNECTION_S = 0.1
# A response that is not read for this time may be shed for a new connection.
UNREAD_S = 5.0
# A request is shed for one that needs at most this fraction of its size.
MUCH_SMALLER = 1 / 8


class Phase(enum.Enum):
    """What a connection does."""

    IDLE = "idle"
    RECEIVING = "receiving"
    SERVING = "serving"
    RESPONDING = "responding"
    REFUSED = "refused"


class Cause(enum.StrEnum):
    """Why a request was refused or a connection was closed."""

    CONNECTIONS = "connections"
    IDLE = "idle"
    MEMORY = "memory"
    REFUSED = "refused"
    SLOW = "slow"
    TOO_LARGE = "too_large"
    UNREAD = "unread"


_SHED_CAUSES = {
    Phase.IDLE: Cause.IDLE,
    Phase.RECEIVING: Cause.MEMORY,
    Phase.RESPONDING: Cause.UNREAD,
    Phase.REFUSED: Cause.REFUSED,
}


@attrs.frozen
class BudgetLimits:
    """Limits of all connections of one server.

    Attributes:
        memory_bytes: Memory for bodies and decoded jobs of all connections.
        small_reserve_bytes: Part of it that only small requests may use.
        small_request_bytes: Largest size of a small request.
        connections: Maximum number of open connections.
        min_rate_bytes_s: Slowest mean rate at which a body may arrive.
        rate_grace_s: Age of an incomplete request from which the rate counts.
    """

    memory_bytes: int = 256 * MIB
    small_reserve_bytes: int = 32 * MIB
    small_request_bytes: int = 64 * 1024
    connections: int = MAX_CONNECTIONS
    min_rate_bytes_s: float = 1024.0
    rate_grace_s: float = 5.0

    @property
    def largest_request_bytes(self) -> int:
        """Size of the largest request that can be served."""
        return self.memory_bytes - self.small_reserve_bytes


# Limits of servers for other programs on the host and for operators.
SERVICE_LIMITS = BudgetLimits(
    memory_bytes=MIB, small_reserve_bytes=MIB // 2, connections=64
)


def limits_of_host(memory_bytes: int, descriptors: int) -> BudgetLimits:
    """Returns the limits of the callers' server on a host.

    Args:
        memory_bytes: Memory limit of the process.
        descriptors: Limit of open descriptors of the process.
    """
    share_bytes = int(memory_bytes * MEMORY_SHARE)
    sockets = max(0, descriptors - FILE_DESCRIPTORS)
    connections = min(
        MAX_CONNECTIONS,
        int(sockets * SOCKET_SHARE),
        share_bytes // 2 // CONNECTION_BYTES,
    )
    connections = max(1, connections)
    body_bytes = share_bytes - connections * CONNECTION_BYTES
    return BudgetLimits(
        memory_bytes=body_bytes,
        small_reserve_bytes=body_bytes // 4,
        connections=connections,
    )


def decoded_limit_bytes(memory_bytes: int) -> int:
    """Returns the limit of the decoded form of one body on a host."""
    return int(memory_bytes * DECODED_SHARE)


@attrs.define(eq=False)
class Account:
    """What one connection holds.

    Attributes:
        phase: What it does.
        since_s: When it began to do so.
        held_bytes: Memory charged for its request.
        received_bytes: Bytes of the present body that have arrived.
        shed: Whether it is to be closed for others.
    """

    phase: Phase
    since_s: float
    held_bytes: int = 0
    received_bytes: int = 0
    shed: bool = False

    def cost(self, now_s: float) -> float:
        """Returns size times age of an incomplete request, in byte seconds."""
        return (self.held_bytes + CONNECTION_BYTES) * (now_s - self.since_s)


@attrs.frozen
class Decision:
    """Answer to a request for memory or a connection.

    Attributes:
        granted: Whether it may be used.
        shed: Accounts whose connections must be closed for it.
    """

    granted: bool
    shed: tuple[Account, ...] = ()


@attrs.define(eq=False)
class Budget:
    """Memory and connections of one server.

    Attributes:
        limits: Limits in force.
        accounts: Open connections, oldest first; those that were shed are
            not among them.
        held_bytes: Sum of what the accounts hold.
        counts: Requests refused and connections closed so far, by cause.
    """

    limits: BudgetLimits = attrs.field(factory=BudgetLimits)
    accounts: dict[Account, None] = attrs.field(factory=dict)
    held_bytes: int = 0
    counts: dict[Cause, int] = attrs.field(factory=dict)

    def count(self, cause: Cause) -> None:
        """Counts a refusal or a closed connection."""
        self.counts[cause] = self.counts.get(cause, 0) + 1

    # Connections.

    def open(self, now_s: float) -> tuple[Account | None, Decision]:
        """Decides on a new connection.

        Args:
            now_s: Current time.

        Returns:
            The account of the connection, None if there is no place for it,
            and the decision.
        """
        shed = ()
        if len(self.accounts) >= self.limits.connections:
            shed = self.free_connection(now_s)
            if not shed:
                self.count(Cause.CONNECTIONS)
                return None, Decision(False)
        account = Account(Phase.IDLE, now_s)
        self.accounts[account] = None
        return account, Decision(True, shed)

    def free_connection(self, now_s: float) -> tuple[Account, ...]:
        """Sheds the connection that matters least; returns it, if any."""
        by_phase: dict[Phase, list[Account]] = {}
        for account in self.accounts:
            by_phase.setdefault(account.phase, []).append(account)
        for phase in (Phase.REFUSED, Phase.IDLE):
            if phase in by_phase:
                oldest = min(by_phase[phase], key=lambda x: x.since_s)
                return (self._shed(oldest),)
        for phase, age_s in (
            (Phase.RECEIVING, FRESH_CONNECTION_S),
            (Phase.RESPONDING, UNREAD_S),
        ):
            if phase in by_phase:
                oldest = min(by_phase[phase], key=lambda x: x.since_s)
                if now_s - oldest.since_s >= age_s:
                    return (self._shed(oldest),)
        return ()

    def close(self, account: Account) -> None:
        """Handles the end of a connection."""
        if account in self.accounts:
            self._release(account)
            del self.accounts[account]

    def enter(self, account: Account, phase: Phase, now_s: float) -> None:
        """Handles that a connection begins to do something else.

        An idle or refused connection and one that responds hold nothing.
        """
        account.phase = phase
        account.since_s = now_s
        account.received_bytes = 0
        if phase not in (Phase.RECEIVING, Phase.SERVING):
            self._release(account)

    # Memory.

    def reserve(
        self, account: Account, size_bytes: int, now_s: float
    ) -> Decision:
        """Decides on more memory for the request of a connection.

        Args:
            account: Account of the connection.
            size_bytes: Bytes that are needed in addition.
            now_s: Current time.
        """
        if account.shed:
            return Decision(False)
        excess_bytes = self._excess_bytes(account, size_bytes)
        shed = ()
        if excess_bytes > 0:
            victims = self._choose(account, size_bytes, excess_bytes, now_s)
            if victims is None:
                self.count(Cause.MEMORY)
                return Decision(False)
            shed = tuple(self._shed(x) for x in victims)
        self._hold(account, size_bytes)
        return Decision(True, shed)

    def recharge(self, account: Account, size_bytes: int) -> bool:
        """Replaces what a request holds; returns False if it does not fit.

        A request that is already being served sheds no others.
        """
        before_bytes = account.held_bytes
        self._release(account)
        if self._excess_bytes(account, size_bytes) > 0:
            self._hold(account, before_bytes)
            self.count(Cause.MEMORY)
            return False
        self._hold(account, size_bytes)
        return True

    def is_too_slow(self, account: Account, now_s: float) -> bool:
        """Returns whether an incomplete request arrives too slowly."""
        age_s = now_s - account.since_s
        if age_s < self.limits.rate_grace_s:
            return False
        return account.received_bytes < age_s * self.limits.min_rate_bytes_s

    def _excess_bytes(self, account: Account, size_bytes: int) -> int:
        """Returns by how much a request would exceed the memory."""
        limit_bytes = self.limits.memory_bytes
        size_bytes_then = account.held_bytes + size_bytes
        if size_bytes_then > self.limits.small_request_bytes:
            limit_bytes -= self.limits.small_reserve_bytes
        return self.held_bytes + size_bytes - limit_bytes

    def _choose(
        self,
        account: Account,
        size_bytes: int,
        excess_bytes: int,
        now_s: float,
    ) -> list[Account] | None:
        """Returns the incomplete requests to shed, None if they don't suffice.

        These are the ones that are no longer fresh and, for a request that is
        much smaller, all larger ones.
        """
        need_bytes = account.held_bytes + size_bytes
        candidates = [
            x
            for x in self.accounts
            if x is not account
            and x.phase is Phase.RECEIVING
            and x.held_bytes > 0
            and (
                (
                    now_s - x.since_s >= FRESH_S
                    and x.cost(now_s) > account.cost(now_s)
                )
                or need_bytes <= x.held_bytes * MUCH_SMALLER
            )
        ]
        if _sum_bytes(candidates) < excess_bytes:
            return None
        candidates.sort(key=lambda x: x.cost(now_s), reverse=True)
        chosen = []
        for candidate in candidates:
            if excess_bytes <= 0:
                break
            chosen.append(candidate)
            excess_bytes -= candidate.held_bytes
        return chosen

    def _hold(self, account: Account, size_bytes: int) -> None:
        """Charges memory to a connection."""
        account.held_bytes += size_bytes
        self.held_bytes += size_bytes

    def _release(self, account: Account) -> None:
        """Releases what a connection holds."""
        self.held_bytes -= account.held_bytes
        account.held_bytes = 0

    def _shed(self, account: Account) -> Account:
        """Marks a connection that is to be closed for others."""
        self.count(_SHED_CAUSES[account.phase])
        account.shed = True
        self.close(account)
        return account


def _sum_bytes(accounts: Iterable[Account]) -> int:
    """Returns the memory that accounts hold together."""
    return sum(x.held_bytes for x in accounts)
