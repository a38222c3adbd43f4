"""Data types of the job table: jobs, batches, tombstones and results."""

import enum
import hashlib

import attrs

from trefoilgw.outcomes import core as outcomes

DIGEST_BYTES = 16


class State(enum.StrEnum):
    """State of a job as callers see it."""

    RUNNING = "running"
    COMPLETE = "complete"
    FAILED = "failed"
    # No task was or will be sent; the key stays refused.
    REFUSED = "refused"


@attrs.define(eq=False)
class Job:
    """One job at its home.

    Attributes:
        id: ``customer:key``, the job's identifier in messages between home and
            agents. A key is unique per customer only.
        key: Text of the key.
        period: Period of the key, see `records`.
        customer: Name of the customer.
        kind: Configuration of the task kind when the job was accepted.
        payloads: Request body of each task; empty once the job has ended.
        deadline_s: Monotonic time of the deadline in seconds.
        idempotent: False if the work must run at most once.
        digest: Hash of the submission, to detect another body under the key.
        accepted_s: Monotonic time of acceptance in seconds.
        announced: True once a caller may know the key.
        fates: Final fate of each task, None while the task is open.
        open_tasks: Number of tasks without a final fate.
        waiting: Indices of open tasks that are not assigned to an agent.
        open_batches: Numbers of batches with tasks without an outcome.
        abort_reason: Why the job can no longer complete, or None.
        refused: The refusal, if the state is refused.
        state: State of the job.
        ended_s: Monotonic time of the end in seconds.
        was_sent: True once a task was assigned to an agent.
        attempts: Number of times that tasks of the job were retried.
        refusing_agents: Agents at which tasks of this job did not run; they
            are not chosen for the job again.
    """

    id: str
    key: str
    period: tuple[str, int]
    customer: str
    kind: object
    payloads: tuple[bytes, ...]
    deadline_s: float
    idempotent: bool
    digest: bytes
    accepted_s: float
    announced: bool = True
    fates: list = attrs.field()
    open_tasks: int = attrs.field()
    waiting: list = attrs.field()
    open_batches: set = attrs.field(factory=set)
    abort_reason: outcomes.Reason | None = None
    refused: outcomes.Refused | None = None
    state: State = State.RUNNING
    ended_s: float = 0.0
    was_sent: bool = False
    attempts: int = 0
    refusing_agents: frozenset = frozenset()

    @fates.default
    def _no_fates(self) -> list:
        return [None] * len(self.payloads)

    @open_tasks.default
    def _all_open(self) -> int:
        return len(self.payloads)

    @waiting.default
    def _all_waiting(self) -> list:
        return list(range(len(self.payloads)))

    @property
    def ended(self) -> bool:
        """True once the job has its final state."""
        return self.state is not State.RUNNING


_STATES = tuple(State)


class Tombstone(bytes):
    """Record of an ended job whose answer is no longer held.

    A subclass of bytes, because there may be a million of them: it takes a
    third of the memory of an object with fields, and the garbage collector
    does not track it.
    """

    __slots__ = ()

    def __new__(cls, digest: bytes, state: State):
        """Returns the tombstone for the digest and state of a job."""
        return super().__new__(cls, digest + bytes((_STATES.index(state),)))

    @property
    def digest(self) -> bytes:
        """Hash of the submission."""
        return self[:-1]

    @property
    def state(self) -> State:
        """State in which the job ended."""
        return _STATES[self[-1]]


@attrs.frozen
class RefusedKey:
    """Record of a key that was refused and of which no task ran.

    Attributes:
        digest: Hash of the submission.
        refused: The refusal.
    """

    digest: bytes
    refused: outcomes.Refused

    @property
    def state(self) -> State:
        """State of the job, always refused."""
        return State.REFUSED


Record = Job | Tombstone | RefusedKey


@attrs.define(eq=False)
class Batch:
    """Tasks of one job at one agent.

    Attributes:
        number: Batch number, unique per home incarnation.
        job: The job.
        agent: Incarnation of the agent.
        session: Session whose messages about the batch are accepted.
        remaining: Indices of tasks without an outcome.
        sent_s: Monotonic time of sending in seconds.
    """

    number: int
    job: Job
    agent: str
    session: int
    remaining: set
    sent_s: float = 0.0


@attrs.frozen
class BatchLocation:
    """Number of a batch and the agent that it was sent to."""

    batch: int
    agent: str


@attrs.frozen
class Origin:
    """Origin of a message about a batch.

    Attributes:
        job: Id of the job in the message.
        agent: Incarnation of the agent of the stream.
        session: Session of the stream.
    """

    job: str
    agent: str
    session: int


@attrs.frozen
class Accepted:
    """The submission is a new job."""

    job: Job


@attrs.frozen
class Existing:
    """The submission was made before."""

    job: Job


@attrs.frozen
class JobEnded:
    """A job reached its final state.

    Attributes:
        job: The job.
        strike: Batches of the job that agents may still hold, to be struck.
    """

    job: Job
    strike: tuple[BatchLocation, ...] = ()


@attrs.frozen
class RetryTasks:
    """Tasks that are known not to have run and may be sent again."""

    job: Job
    indices: tuple[int, ...]


@attrs.frozen
class StrikeBatches:
    """The job can't complete; its tasks that have not started must not start.

    Attributes:
        job: The job.
        batches: Batches to strike.
        reason: Reason for the agents.
    """

    job: Job
    batches: tuple[BatchLocation, ...]
    reason: outcomes.Reason


@attrs.frozen
class Canceled:
    """A job was canceled, or had already ended.

    Attributes:
        job: The job. If it is still running, it ends once its batches have all
            outcomes.
        batches: Batches to strike.
        ended: True if the job ended by this call.
    """

    job: Job
    batches: tuple[BatchLocation, ...]
    ended: bool = False


@attrs.frozen
class Explanation:
    """State of a job at its home, for operators."""

    key: str
    customer: str
    state: str
    kind: str
    reason: str
    age_s: float
    deadline_in_s: float
    tasks: int
    waiting: int
    open_batches: tuple[BatchLocation, ...]
    fates: tuple[str, ...]


def digest(
    kind: str, payloads: tuple[bytes, ...], deadline_s: float, idempotent: bool
) -> bytes:
    """Returns a hash that identifies the content of a submission."""
    head = f"{kind}\n{deadline_s!r}\n{idempotent}\n{len(payloads)}"
    state = hashlib.blake2b(head.encode(), digest_size=DIGEST_BYTES)
    for payload in payloads:
        state.update(len(payload).to_bytes(8, "big"))
        state.update(payload)
    return state.digest()
