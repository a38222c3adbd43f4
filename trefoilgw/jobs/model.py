"""Values of the job table: jobs, batches, tombstones and results of calls."""

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
    # No task of it was ever sent, nor will be: the key stays refused.
    REFUSED = "refused"


@attrs.define(eq=False)
class Job:
    """One job at its home.

    Attributes:
        id: ``customer:key``, the name of the job between home and agents. A
            key is unique per customer only.
        key: Text of the key.
        period: Period of the key, see `records`.
        customer: Name of the customer.
        kind: Record of the kind under which the job was accepted.
        payloads: Request body of each task; empty once the job ended.
        deadline_s: Monotonic time of the deadline.
        idempotent: False if the work must run at most once.
        digest: Hash of the submission, to recognise the same body.
        accepted_s: Monotonic time of acceptance.
        announced: True once a caller may know the key.
        fates: Final fate of each task, None while open.
        left: Tasks without a final fate.
        waiting: Indices that are not at any agent.
        open_batches: Batches that have tasks without an outcome.
        abort_reason: Why the job can't complete any more, or None.
        refused: The refusal, if the state is refused.
        state: State.
        ended_s: Monotonic time of the end.
        was_sent: True once any task was handed to a stream.
        attempts: Times that tasks of the job were sent again.
        refusing_agents: Agents that struck tasks of this job.
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
    left: int = attrs.field()
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

    @left.default
    def _all_left(self) -> int:
        return len(self.payloads)

    @waiting.default
    def _all_waiting(self) -> list:
        return list(range(len(self.payloads)))

    @property
    def ended(self) -> bool:
        """True once the job has its answer."""
        return self.state is not State.RUNNING


_STATES = tuple(State)


class Tombstone(bytes):
    """What stays of an ended job whose answer is no longer held.

    Kept as bytes because there may be a million of them: they take a third of
    an object with fields, and the garbage collector passes over them.
    """

    __slots__ = ()

    def __new__(cls, digest: bytes, state: State):
        """Returns the tombstone of a job."""
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
    """The record of a key that was refused with a true not run.

    Attributes:
        digest: Hash of the submission.
        refused: The refusal.
    """

    digest: bytes
    refused: outcomes.Refused

    @property
    def state(self) -> State:
        """The state, which is always refused."""
        return State.REFUSED


Record = Job | Tombstone | RefusedKey


@attrs.define(eq=False)
class Batch:
    """Tasks of one job at one agent.

    Attributes:
        number: Unique per home incarnation.
        job: The job.
        agent: Incarnation of the agent.
        session: Session whose messages about the batch are taken.
        remaining: Indices without an outcome.
        sent_s: Monotonic time of sending.
    """

    number: int
    job: Job
    agent: str
    session: int
    remaining: set
    sent_s: float = 0.0


@attrs.frozen
class BatchLocation:
    """A batch and the agent that has it."""

    batch: int
    agent: str


@attrs.frozen
class Origin:
    """Where a message about a batch came from.

    Attributes:
        job: Job that the message names.
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
    """A job got its answer.

    Attributes:
        job: The job.
        strike: Batches of the job that agents still hold.
    """

    job: Job
    strike: tuple[BatchLocation, ...] = ()


@attrs.frozen
class RetryTasks:
    """Tasks that certainly did not run and may be sent again."""

    job: Job
    indices: tuple[int, ...]


@attrs.frozen
class StrikeBatches:
    """The job can't complete; what has not started of it must not start."""

    job: Job
    batches: tuple[BatchLocation, ...]
    reason: outcomes.Reason


@attrs.frozen
class Cancelled:
    """A job was cancelled, or had ended before.

    Attributes:
        job: The job; it ends once the outcomes of its batches are known.
        batches: Batches to strike.
        ended: True if the job ended just now.
    """

    job: Job
    batches: tuple[BatchLocation, ...]
    ended: bool = False


@attrs.frozen
class Explanation:
    """What the home knows about a job, for operators."""

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
    """Returns a hash that is equal for the same submission only."""
    head = f"{kind}\n{deadline_s!r}\n{idempotent}\n{len(payloads)}"
    state = hashlib.blake2b(head.encode(), digest_size=DIGEST_BYTES)
    for payload in payloads:
        state.update(len(payload).to_bytes(8, "big"))
        state.update(payload)
    return state.digest()
