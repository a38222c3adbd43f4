"""Index of the open batches of a home by number and by agent."""

import attrs

from trefoilgw.jobs import model
from trefoilgw.messages import core as messages


@attrs.define(eq=False)
class OpenBatches:
    """Batches that have tasks without an outcome.

    Attributes:
        by_number: Batch by batch number.
        by_agent: Batch numbers by agent, in the order in which they were sent.
    """

    by_number: dict = attrs.field(factory=dict)
    by_agent: dict = attrs.field(factory=dict)

    def add(self, batch: model.Batch) -> None:
        """Adds a batch and registers it with its job."""
        batch.job.open_batches.add(batch.number)
        self.by_number[batch.number] = batch
        self.by_agent.setdefault(batch.agent, {})[batch.number] = None

    def close(self, batch: model.Batch) -> None:
        """Removes a batch for which no more outcomes are accepted."""
        batch.job.open_batches.discard(batch.number)
        del self.by_number[batch.number]
        numbers = self.by_agent[batch.agent]
        del numbers[batch.number]
        if not numbers:
            del self.by_agent[batch.agent]

    def of_agent(self, agent: str) -> list[model.Batch]:
        """Returns the open batches of an agent."""
        return [self.by_number[n] for n in self.by_agent.get(agent, ())]

    def references(self, agent: str) -> tuple[messages.BatchRef, ...]:
        """Returns the open batches of an agent as message fields."""
        return tuple(
            messages.BatchRef(b.number, b.job.id, tuple(sorted(b.remaining)))
            for b in self.of_agent(agent)
        )

    def locations(self, job: model.Job) -> tuple[model.BatchLocation, ...]:
        """Returns the open batches of a job and their agents."""
        return tuple(
            model.BatchLocation(number, self.by_number[number].agent)
            for number in sorted(job.open_batches)
        )
