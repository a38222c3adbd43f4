"""State of one pass through the filters of an entry."""

import attrs

from trefoilgw.callers import values
from trefoilgw.jobs import model as jobs
from trefoilgw.keys import core as keys
from trefoilgw.outcomes import core as outcomes


@attrs.frozen
class Submission:
    """The decoded body of a submission.

    Attributes:
        kind: Name of the kind.
        payloads: Request body of each task, JSON text in UTF-8.
        deadline_s: Seconds until the deadline, None for the default of the
            kind.
        idempotent: Whether tasks may be repeated, None for the default of the
            kind.
        digest: Hash of the submission, which detects a reused key.
    """

    kind: str
    payloads: tuple[bytes, ...]
    deadline_s: float | None
    idempotent: bool | None
    digest: bytes


@attrs.frozen
class PlannedBatch:
    """A batch that has an agent but was not sent yet.

    Attributes:
        job: The job.
        agent: Incarnation of the agent.
        lender: Entry that the agent granted the credits to, empty if it is
            this one.
        indices: Indices of the tasks in the batch.
        concurrency: Number of credits that it uses.
    """

    job: jobs.Job
    agent: str
    lender: str
    indices: tuple[int, ...]
    concurrency: int


@attrs.define(eq=False)
class Exchange:
    """One pass through the filters.

    A pass without a caller's request places and sends waiting work.

    Attributes:
        request: The caller's request, None if there is none.
        key: Parsed key of the job.
        customer: Name of the identified customer.
        forwarded: True if a peer identified the customer.
        submission: Decoded body, None if it is not valid.
        kind: Configuration record of the kind.
        pending_refusal: Why the submission can't be accepted. Whether nothing
            ran under the key is known only after `deduplicate`.
        job: The job.
        is_new: True if this pass created the job.
        planned_batches: Batches that `dispatch` will send.
        reply: The answer; no further filter runs once it is set.
    """

    request: values.Request | None = None
    key: keys.Key | None = None
    customer: str = ""
    forwarded: bool = False
    submission: Submission | None = None
    kind: object | None = None
    pending_refusal: outcomes.Refused | None = None
    job: jobs.Job | None = None
    is_new: bool = False
    planned_batches: list[PlannedBatch] = attrs.field(factory=list)
    reply: values.Reply | None = None

    @property
    def is_submission(self) -> bool:
        """True if the caller submits a job."""
        request = self.request
        return request is not None and request.action is values.Action.SUBMIT
