"""Work that asks for admission, and the decisions on it."""

import attrs

from trefoilgw.outcomes import core as outcomes


@attrs.frozen
class Flow:
    """Work of one kind of one customer: what queues and shares are kept by."""

    customer: str
    kind: str


@attrs.frozen
class WorkItem:
    """A job that asks for credits.

    Attributes:
        job: Key of the job, unique at this entry.
        customer: Name.
        kind: Name.
        service: Service that its tasks need.
        tasks: Tasks that still have to be sent; for a retry, those alone.
        weight: Weight of the flow if the configuration doesn't know it.
        urgency: ``urgent``, ``normal`` or ``background``; carried along. The
            share of a flow is its weight.
        arrived_s: Monotonic time at which the job arrived.
        deadline_s: Monotonic time of the deadline (not a duration).
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
        job: Key.
        credits: Credits that it may spend.
        tasks: Tasks that it may send with them; more than `credits` if each
            credit may carry several tasks one after the other.
    """

    job: str
    credits: int
    tasks: int


@attrs.frozen
class Dropped:
    """The job was taken out of its queue.

    Attributes:
        job: Key.
        refused: Why; ``not_run`` is False if some of its tasks were sent.
    """

    job: str
    refused: outcomes.Refused


@attrs.frozen
class Reclaim:
    """Credits that running batches of a job should give back.

    Attributes:
        job: Key.
        credits: By how many the concurrency of its batches goes down.
    """

    job: str
    credits: int
