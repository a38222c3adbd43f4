"""Counters of an entry, kept as plain numbers and read at each scrape."""

import attrs


@attrs.define(eq=False)
class Counters:
    """Counters of one entry.

    Attributes:
        messages_sent: Messages by class name.
        messages_received: Messages by class name.
        wasted: Messages without effect by cause: dispatches that were refused,
            their answers, and requests for credits that were answered with
            none.
        jobs_ended: Jobs by state.
        tasks_sent: Tasks sent to agents, retries included.
        tasks_retried: Tasks sent again after a refusal.
        refusals: Refused requests by reason.
        forwarded: Requests forwarded to their home.
        foreign_messages: Messages that an agent sent outside its open session
            or about a batch that does not use its credits.
        pauses: Pauses of this process that ended its jobs.
        bytes_sent: Bytes sent on streams that are closed, by the role of the
            other side.
        bytes_received: Bytes received on streams that are closed, by the role
            of the other side.
    """

    messages_sent: dict = attrs.field(factory=dict)
    messages_received: dict = attrs.field(factory=dict)
    wasted: dict = attrs.field(factory=dict)
    jobs_ended: dict = attrs.field(factory=dict)
    tasks_sent: int = 0
    tasks_retried: int = 0
    refusals: dict = attrs.field(factory=dict)
    forwarded: int = 0
    foreign_messages: int = 0
    pauses: int = 0
    bytes_sent: dict = attrs.field(factory=dict)
    bytes_received: dict = attrs.field(factory=dict)

    def record_sent(self, message) -> None:
        """Counts a message that was sent."""
        _count(self.messages_sent, type(message).__name__)

    def record_received(self, message) -> None:
        """Counts a message that arrived."""
        _count(self.messages_received, type(message).__name__)

    def record_closed_stream(self, role: str, stream) -> None:
        """Adds the bytes of a stream that closed."""
        _count(self.bytes_sent, role, stream.sent_bytes)
        _count(self.bytes_received, role, stream.received_bytes)

    def record_wasted(self, cause: str, messages: int = 1) -> None:
        """Counts messages that had no effect."""
        _count(self.wasted, cause, messages)

    def record_refused(self, reason: str) -> None:
        """Counts a refused request."""
        _count(self.refusals, reason)

    def record_ended(self, state: str) -> None:
        """Counts a job that ended."""
        _count(self.jobs_ended, state)


def _count(counts: dict, name: str, amount: int = 1) -> None:
    """Adds an amount to the counter of a name."""
    counts[name] = counts.get(name, 0) + amount
