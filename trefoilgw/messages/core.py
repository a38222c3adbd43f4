"""Messages between entries and agents, and among entries.

Each class has a numeric code, which is the first element of its frame and is
never reused for another class. New fields are appended at the end only, with a
default, so that processes of different releases can exchange messages as long
as their protocol version is the same.
"""

import attrs

from trefoilgw.outcomes import core as outcomes

PROTOCOL_VERSION = 1

# Message classes by code; the `message` decorator registers them.
CLASSES: dict[int, type] = {}


def message(code: int, hello: bool = False):
    """Returns a decorator that registers a frozen attrs class under a code.

    Args:
        code: The code, which no other class may have.
        hello: Whether a client may open a stream with the message.

    Raises:
        ValueError: Another class already has the code; raised when a class is
            decorated.
    """

    def decorate(cls: type) -> type:
        decorated = attrs.frozen(cls)
        if code in CLASSES:
            raise ValueError(f"message code {code} is used twice")
        decorated.code = code
        decorated.opens_stream = hello
        CLASSES[code] = decorated
        return decorated

    return decorate


def items_of(item_class: type, **kwargs):
    """Returns a field that holds a tuple of nested values."""
    return attrs.field(metadata={"item": item_class}, **kwargs)


@attrs.frozen
class RosterEntry:
    """Addresses of one entry process.

    Attributes:
        incarnation: 16 hex digits, chosen anew at every process start.
        stream_address: ``ip:port`` that accepts streams.
        admin_address: ``ip:port`` that serves metrics and status.
        domain: Failure domain.
    """

    incarnation: str
    stream_address: str
    admin_address: str
    domain: str


@attrs.frozen
class TaskSpec:
    """One task of a batch.

    Attributes:
        index: Position in the job, from 0.
        payload: Request body for the target, JSON text in UTF-8.
    """

    index: int
    payload: bytes


@attrs.frozen
class TaskOutcome:
    """Outcome of one task in wire form; see `fate_to_wire`."""

    index: int
    fate: str
    reason: str
    detail: str
    result: bytes
    run_s: float


@attrs.frozen
class BatchRef:
    """A batch whose outcomes an entry requests after a reconnect."""

    batch: int
    job: str
    indices: tuple[int, ...]


@attrs.frozen
class LentCredits:
    """Credits of one agent that one entry transfers to another.

    Attributes:
        agent: Incarnation of the agent that owns the slots.
        lender: Incarnation of the entry to which the agent granted them.
        credits: Number of credits; each stands for one slot.
    """

    agent: str
    lender: str
    credits: int


@attrs.frozen
class CustomerDemand:
    """Demand of one customer at one entry over the last second.

    Attributes:
        customer: Name of the customer.
        starts_s: Requested task starts per second.
        running: Tasks that are currently running.
    """

    customer: str
    starts_s: float
    running: int


@message(1)
class Challenge:
    """First message of a server: the nonce that a hello's proof must cover."""

    nonce: bytes
    version: int


@message(2, hello=True)
class AgentHello:
    """Opens a stream from an agent to an entry and describes its target.

    Attributes:
        version: Protocol version.
        agent: Name of the agent from its settings.
        incarnation: 16 hex digits, chosen anew at every process start.
        domain: Failure domain.
        services: Services that the target offers.
        slots: Number of tasks that the target can run concurrently.
        connections: Number of connections that the target accepts.
        revision: Configuration revision in force, 0 if none.
        admin_address: ``ip:port`` or empty.
        proof: HMAC over the nonce and this message with an empty proof.
    """

    version: int
    agent: str
    incarnation: str
    domain: str
    services: tuple[str, ...]
    slots: int
    connections: int
    revision: int
    admin_address: str
    proof: bytes = b""


@message(3, hello=True)
class PeerHello:
    """Opens a stream from one entry to another."""

    version: int
    entry: RosterEntry = attrs.field(metadata={"value": RosterEntry})
    revision: int
    proof: bytes = b""


@message(4)
class Welcome:
    """Accepts a hello.

    Attributes:
        incarnation: The server's incarnation.
        session: Number that increases with each stream of the same client
            incarnation.
        revision: Configuration revision in force at the server.
        lease_s: Length of the session lease in seconds, counted from the
            client's ping.
        epoch: Epoch of the roster.
        entries: The current roster.
        proof: HMAC over the nonce and the hello's proof.
    """

    incarnation: str
    session: int
    revision: int
    lease_s: float
    epoch: int
    entries: tuple[RosterEntry, ...] = items_of(RosterEntry)
    proof: bytes = b""


@message(5)
class HelloRefused:
    """Refuses a hello; the server then closes the stream."""

    reason: str
    detail: str


@message(10)
class Ping:
    """Heartbeat of an agent, which requests renewal of the session lease.

    Attributes:
        sent_s: Time of sending in seconds on the agent's monotonic clock.
        revision: Configuration revision in force at the agent.
        running: Tasks that are currently running at the target.
        lent: Credits that the receiving entry holds by the agent's count.
    """

    sent_s: float
    revision: int
    running: int
    lent: int


@message(11)
class Pong:
    """Renews the session lease until ``sent_s`` plus the lease's length.

    Attributes:
        sent_s: Copied from the ping.
        revision: Configuration revision in force at the entry.
        acked: Batches whose final outcomes the entry has received; the agent
            may discard their results.
    """

    sent_s: float
    revision: int
    acked: tuple[int, ...] = ()


@message(12)
class CreditGrant:
    """Grants credits from an agent to an entry."""

    credits: int


@message(13)
class CreditReturn:
    """Returns credits from an entry to the agent."""

    credits: int


@message(14)
class RunBatch:
    """Starts a batch, which is the part of one job that one agent runs.

    Attributes:
        batch: Number of the batch, unique per home incarnation.
        job: Key of the job.
        customer: Name of the customer.
        kind: Name of the kind of work.
        service: Name of the service at the target.
        concurrency: Number of tasks of the batch that may run concurrently;
            each uses one credit.
        lender: Incarnation of the entry to which the agent granted the
            credits; empty if that is the sending entry.
        deadline_s: Seconds from sending until the job's deadline.
        idempotent: False if the work must run at most once.
        tasks: The tasks, in order.
    """

    batch: int
    job: str
    customer: str
    kind: str
    service: str
    concurrency: int
    lender: str
    deadline_s: float
    idempotent: bool
    tasks: tuple[TaskSpec, ...] = items_of(TaskSpec)


@message(15)
class BatchDone:
    """Reports outcomes of tasks of a batch.

    Attributes:
        batch: Number of the batch.
        job: Key of the job.
        outcomes: Outcomes of the tasks that ended; each task of the batch is
            in exactly one message.
        credits: Credits that the entry gets back with this message.
        final: True if the batch has no unfinished tasks left.
    """

    batch: int
    job: str
    outcomes: tuple[TaskOutcome, ...] = items_of(TaskOutcome)
    credits: int
    final: bool


@message(16)
class Resize:
    """Changes how many tasks of a batch may run concurrently."""

    batch: int
    concurrency: int


@message(17)
class Strike:
    """Cancels all tasks of the given batches that have not started."""

    batches: tuple[int, ...]
    reason: str


@message(18)
class Reconcile:
    """Requests the outcomes of batches that were open on a lost stream."""

    batches: tuple[BatchRef, ...] = items_of(BatchRef)


@message(19)
class Leaving:
    """Announces that the sender accepts no more new work."""


@message(20)
class ConfigWant:
    """Requests the configuration in force at the receiver."""


@message(21)
class ConfigPush:
    """Sends a configuration with its revision."""

    revision: int
    document: bytes


@message(22)
class Roster:
    """Sends the current roster of entries."""

    epoch: int
    entries: tuple[RosterEntry, ...] = items_of(RosterEntry)


@message(30)
class PeerPing:
    """Heartbeat from one entry to another.

    Attributes:
        sent_s: Time of sending in seconds on the sender's monotonic clock.
        revision: Configuration revision in force at the sender.
        epoch: Roster epoch known to the sender.
        free_credits: Credits that the sender could lend.
        leaving: True if the sender is shutting down.
        window: Current window of the sender's tickets, -1 if the sender does
            not report it.
    """

    sent_s: float
    revision: int
    epoch: int
    free_credits: int
    leaving: bool
    window: int = -1


@message(31)
class Forward:
    """Forwards a caller's request to the entry that is the job's home.

    Attributes:
        request: Number of the request, unique per stream.
        customer: Name of the authenticated customer.
        action: ``submit``, ``read`` or ``cancel``.
        key: Key of the job.
        body: Body of a submission, empty otherwise.
        wait_s: Seconds for which the caller waits for the answer.
    """

    request: int
    customer: str
    action: str
    key: str
    body: bytes
    wait_s: float


@message(32)
class ForwardReply:
    """Answers a `Forward`.

    Attributes:
        request: Number of the request, copied from the `Forward`.
        status: HTTP status.
        body: JSON text in UTF-8 for the caller.
    """

    request: int
    status: int
    body: bytes


@message(33)
class CreditAsk:
    """Requests credits from another entry."""

    credits: int


@message(34)
class CreditLend:
    """Lends credits to the receiver; the tuple may be empty."""

    credits: tuple[LentCredits, ...] = items_of(LentCredits)


@message(35)
class Usage:
    """Reports the demand per customer at the sender, once a second."""

    demands: tuple[CustomerDemand, ...] = items_of(CustomerDemand)


def fate_to_wire(index: int, fate: outcomes.Fate) -> TaskOutcome:
    """Returns the wire form of a task's fate.

    Raises:
        TypeError: The value is not a fate.
    """
    match fate:
        case outcomes.Completed(result=result, run_s=run_s):
            return TaskOutcome(index, "completed", "", "", result, run_s)
        case outcomes.Failed(reason=reason, detail=detail, run_s=run_s):
            return TaskOutcome(index, "failed", reason, detail, b"", run_s)
        case outcomes.NotRun(reason=reason, detail=detail):
            return TaskOutcome(index, "not_run", reason, detail, b"", 0.0)
        case outcomes.Unknown(reason=reason, detail=detail):
            return TaskOutcome(index, "unknown", reason, detail, b"", 0.0)
    raise TypeError(f"not a fate: {fate!r}")


def fate_from_wire(outcome: TaskOutcome) -> outcomes.Fate:
    """Returns the fate of a task from its wire form.

    An unrecognized fate becomes `Unknown`, never `NotRun`, as the task may have
    run. An unrecognized reason becomes `INTERNAL`.
    """
    try:
        reason = outcomes.Reason(outcome.reason or outcomes.Reason.INTERNAL)
    except ValueError:
        reason = outcomes.Reason.INTERNAL
    match outcome.fate:
        case "completed":
            return outcomes.Completed(outcome.result, outcome.run_s)
        case "failed":
            return outcomes.Failed(reason, outcome.detail, outcome.run_s)
        case "not_run":
            return outcomes.NotRun(reason, outcome.detail)
        case _:
            return outcomes.Unknown(reason, outcome.detail)
