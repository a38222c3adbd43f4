"""Message classes between entries and agents and among entries.

Each class has a code that stands first in its frame; a code is never used
again for another class. Fields are appended at the end only, with a default,
so that a newer process can talk to an older one of the same version.
"""

import attrs

from trefoilgw.outcomes import core as outcomes

PROTOCOL_VERSION = 1

# Message classes by code, filled by the `message` decorator.
CLASSES: dict[int, type] = {}


def message(code: int, hello: bool = False):
    """Returns a decorator that makes a frozen attrs class with a code.

    Args:
        code: The code, which no other class may have.
        hello: Whether a client may open a stream with the message.
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
    """One entry process as other processes reach it.

    Attributes:
        incarnation: 16 hex digits, new at every process start.
        stream_address: ``ip:port`` for streams.
        admin_address: ``ip:port`` for metrics and status.
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
    """The fate of one task in wire form; see `fate_to_wire`."""

    index: int
    fate: str
    reason: str
    detail: str
    result: bytes
    run_s: float


@attrs.frozen
class BatchRef:
    """A batch whose outcome is asked for after a reconnect."""

    batch: int
    job: str
    indices: tuple[int, ...]


@attrs.frozen
class LentCredits:
    """Credits of one agent that pass from one entry to another.

    Attributes:
        agent: Incarnation of the agent whose slots they are.
        lender: Incarnation of the entry that the agent lent them to.
        credits: How many slots.
    """

    agent: str
    lender: str
    credits: int


@attrs.frozen
class CustomerDemand:
    """Demand of one customer at one entry over the last second.

    Attributes:
        customer: Name.
        starts_s: Task starts asked for, per second.
        running: Tasks that run now.
    """

    customer: str
    starts_s: float
    running: int


@message(1)
class Challenge:
    """First message of a server: the nonce that the hello must prove."""

    nonce: bytes
    version: int


@message(2, hello=True)
class AgentHello:
    """An agent announces itself and its target.

    Attributes:
        version: Protocol version.
        agent: Name from the settings.
        incarnation: 16 hex digits, new at every process start.
        domain: Failure domain.
        services: Services that the target offers.
        slots: Tasks that the target runs at once.
        connections: Connections that the target takes.
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
    """An entry opens a stream to another entry."""

    version: int
    entry: RosterEntry = attrs.field(metadata={"value": RosterEntry})
    revision: int
    proof: bytes = b""


@message(4)
class Welcome:
    """A server accepts a hello.

    Attributes:
        incarnation: The server's incarnation.
        session: Grows with each stream of the same client incarnation.
        revision: Configuration revision in force at the server.
        lease_s: Session lease in seconds, counted from the client's ping.
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
    """A server refuses a hello and closes the stream."""

    reason: str
    detail: str


@message(10)
class Ping:
    """Heartbeat of an agent; asks to renew the session lease.

    Attributes:
        sent_s: The agent's monotonic clock in seconds when it was sent.
        revision: Configuration revision in force at the agent.
        running: Tasks that run at the target now.
        lent: Credits that this entry holds, as the agent counts them.
    """

    sent_s: float
    revision: int
    running: int
    lent: int


@message(11)
class Pong:
    """Renews the session lease until ``sent_s`` + lease.

    Attributes:
        sent_s: Copied from the ping.
        revision: Configuration revision in force at the entry.
        acked: Batches whose final answer arrived; their results may go.
    """

    sent_s: float
    revision: int
    acked: tuple[int, ...] = ()


@message(12)
class CreditGrant:
    """An agent lends credits to an entry."""

    credits: int


@message(13)
class CreditReturn:
    """An entry gives credits back to the agent."""

    credits: int


@message(14)
class RunBatch:
    """Part of one job for one agent.

    Attributes:
        batch: Number, unique per home incarnation.
        job: Key of the job.
        customer: Name of the customer.
        kind: Name of the kind of work.
        service: Name of the service at the target.
        concurrency: Tasks of the batch that may run at once; as many credits
            are spent.
        lender: Incarnation of the entry that the credits were lent to first;
            empty if this entry got them from the agent.
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
    """Outcomes of tasks of a batch.

    Attributes:
        batch: Number of the batch.
        job: Key of the job.
        outcomes: Each task of the batch stands in exactly one message.
        credits: Credits that pass back to the entry with this message.
        final: True if no task of the batch is left.
    """

    batch: int
    job: str
    outcomes: tuple[TaskOutcome, ...] = items_of(TaskOutcome)
    credits: int
    final: bool


@message(16)
class Resize:
    """Changes how many tasks of a batch may run at once."""

    batch: int
    concurrency: int


@message(17)
class Strike:
    """Cancels all tasks of the batches that have not started."""

    batches: tuple[int, ...]
    reason: str


@message(18)
class Reconcile:
    """Asks for the outcomes of batches that were open on a lost stream."""

    batches: tuple[BatchRef, ...] = items_of(BatchRef)


@message(19)
class Leaving:
    """The sender takes no new work."""


@message(20)
class ConfigWant:
    """Asks for the configuration that the other side has in force."""


@message(21)
class ConfigPush:
    """A configuration with its revision."""

    revision: int
    document: bytes


@message(22)
class Roster:
    """The current roster of entries."""

    epoch: int
    entries: tuple[RosterEntry, ...] = items_of(RosterEntry)


@message(30)
class PeerPing:
    """Heartbeat among entries.

    Attributes:
        sent_s: The sender's monotonic clock in seconds.
        revision: Configuration revision in force at the sender.
        epoch: Roster epoch known to the sender.
        free_credits: Credits that the sender could lend.
        leaving: True if the sender is stopping.
        window: Current window of the sender's tickets, -1 if not told.
    """

    sent_s: float
    revision: int
    epoch: int
    free_credits: int
    leaving: bool
    window: int = -1


@message(31)
class Forward:
    """A caller's request for a job whose home is the receiver.

    Attributes:
        request: Number, unique per stream.
        customer: Name of the identified customer.
        action: ``submit``, ``read`` or ``cancel``.
        key: Key of the job.
        body: Body of a submission, empty otherwise.
        wait_s: Seconds that the caller waits for the answer.
    """

    request: int
    customer: str
    action: str
    key: str
    body: bytes
    wait_s: float


@message(32)
class ForwardReply:
    """The home's answer to a forwarded request.

    Attributes:
        request: Copied from the request.
        status: HTTP status.
        body: JSON text in UTF-8 for the caller.
    """

    request: int
    status: int
    body: bytes


@message(33)
class CreditAsk:
    """Asks a peer to lend credits."""

    credits: int


@message(34)
class CreditLend:
    """Credits that pass to the receiver; may be empty."""

    credits: tuple[LentCredits, ...] = items_of(LentCredits)


@message(35)
class Usage:
    """Demand per customer at the sender, once a second."""

    demands: tuple[CustomerDemand, ...] = items_of(CustomerDemand)


def fate_to_wire(index: int, fate: outcomes.Fate) -> TaskOutcome:
    """Returns the wire form of a task's fate."""
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

    An unrecognised fate or reason counts as unknown, never as not run.
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
