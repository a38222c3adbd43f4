"""Counts of an entry, kept as plain numbers and read out per scrape."""

import attrs


@attrs.define(eq=False)
class Counters:
    """What an entry counts.

    Attributes:
        messages_sent: Messages by class name.
        messages_received: Messages by class name.
        wasted: Messages without use by cause: dispatches that were refused,
            their answers, and asks for credits that brought none.
        jobs_ended: Jobs by state.
        tasks_sent: Tasks handed to agents, retries included.
        tasks_retried: Tasks sent again after a refusal.
        refusals: Refused requests by reason.
        forwarded: Requests forwarded to their home.
        foreign_messages: Messages that no open session may send.
        pauses: Pauses of this process that ended its jobs.
        bytes_sent: Bytes of closed streams by the role of the other side.
        bytes_received: Likewise.
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
        """Keeps the bytes of a stream that closed."""
        _count(self.bytes_sent, role, stream.sent_bytes)
        _count(self.bytes_received, role, stream.received_bytes)

    def record_wasted(self, cause: str, messages: int = 1) -> None:
        """Counts messages that were of no use."""
        _count(self.wasted, cause, messages)

    def record_refused(self, reason: str) -> None:
        """Counts a refused request."""
        _count(self.refusals, reason)

    def record_ended(self, state: str) -> None:
        """Counts a job that got its answer."""
        _count(self.jobs_ended, state)


def _count(counts: dict, name: str, amount: int = 1) -> None:
    """Adds to one count."""
    counts[name] = counts.get(name, 0) + amount
