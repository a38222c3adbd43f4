"""Work items offered to admission and the decisions on them."""

import attrs

from trefoilgw.outcomes import core as outcomes


@attrs.frozen
class Flow:
    """Work of one kind of one customer; has its own queue and share."""

    customer: str
    kind: str


@attrs.frozen
class WorkItem:
    """A job offered to admission, which needs credits to run.

    Attributes:
        job: Key of the job, unique at this entry.
        customer: Name of the customer.
        kind: Name of the kind.
        service: Service that its tasks need.
        tasks: Number of tasks that still have to be sent. For a retry, only
            the tasks to be sent again.
        weight: Weight of the flow if it is not in the configuration.
        urgency: ``urgent``, ``normal`` or ``background``. Not used for
            admission: the share of a flow depends on its weight alone.
        arrived_s: Monotonic time at which the job arrived, in seconds.
        deadline_s: Monotonic time of the deadline in seconds (not a
            duration).
        run_time_s: Learned or declared run time of one task in seconds.
    """

    job: str
    customer: str
    kind: str
    service: str
    tasks: int
    weight: float
    urgency: str
    arrived_s: float
    deadline_s: float
    run_time_s: float

    @property
    def flow(self) -> Flow:
        """The flow that the job belongs to."""
        return Flow(self.customer, self.kind)


@attrs.frozen
class Queued:
    """The job was accepted and waits for credits."""

    job: str


@attrs.frozen
class Grant:
    """The job may spend credits now.

    Attributes:
        job: Key of the job.
        credits: Credits that it may spend.
        tasks: Tasks that it may send with them. More than `credits` if a
            credit may run several tasks one after the other.
    """

    job: str
    credits: int
    tasks: int


@attrs.frozen
class Dropped:
    """The job was taken out of its queue.

    Attributes:
        job: Key of the job.
        refused: The refusal. Its ``not_run`` is False if some of the job's
            tasks were sent.
    """

    job: str
    refused: outcomes.Refused


@attrs.frozen
class Reclaim:
    """A request that running batches of a job return credits.

    Attributes:
        job: Key of the job.
        credits: Number by which to lower the concurrency of its batches.
    """

    job: str
    credits: int
