"""Reads the counters of a fleet and computes what a stage added to them.

Messages are counted at the entries: those that they sent, and those that they
received from agents. Messages between entries are therefore counted once, at
the sender. Heartbeats and configuration messages are not counted as messages
of tasks. Agents are not scraped, since a scrape makes them import a library
that they do not need otherwise.
"""

import attrs

from tools import fleet as fleets

MESSAGES_SENT = "trefoilgw_messages_sent_total"
MESSAGES_RECEIVED = "trefoilgw_messages_received_total"
MESSAGES_WASTED = "trefoilgw_messages_wasted_total"
STREAM_BYTES_SENT = "trefoilgw_stream_bytes_sent_total"
STREAM_BYTES_RECEIVED = "trefoilgw_stream_bytes_received_total"
# Messages whose number does not grow with the number of tasks.
BACKGROUND_MESSAGES = frozenset(
    {
        "Challenge",
        "ConfigPush",
        "ConfigWant",
        "AgentHello",
        "PeerHello",
        "PeerPing",
        "Ping",
        "Pong",
        "Roster",
        "Usage",
        "Welcome",
    }
)
# Messages from agents whose number grows with the number of tasks.
AGENT_TASK_MESSAGES = frozenset({"BatchDone", "CreditGrant", "Leaving"})
FORWARD_MESSAGES = frozenset({"Forward", "ForwardReply"})


@attrs.frozen
class Reading:
    """Counters of a fleet at one instant, or their increase.

    Attributes:
        entry_cpu_s: CPU time of all entries together.
        agent_cpu_s: CPU time of each agent.
        metrics: Samples of the entries, summed over the entries.
        families: Names of all metrics of the entries. They are needed since a
            counter without any event has no sample.
    """

    entry_cpu_s: float
    agent_cpu_s: tuple[float, ...]
    metrics: dict[str, float]
    families: frozenset[str] = frozenset()


def read(fleet: fleets.Fleet) -> Reading:
    """Reads the counters of a fleet."""
    summed = {}
    families = frozenset()
    for process in fleet.entries():
        text = fleet.metrics_text(process)
        families |= fleets.parse_families(text)
        for name, value in fleets.parse_metrics(text).items():
            summed[name] = summed.get(name, 0.0) + value
    return Reading(
        sum(process.cpu_s() for process in fleet.entries()),
        tuple(process.cpu_s() for process in fleet.agents()),
        summed,
        families,
    )


def difference(before: Reading, after: Reading) -> Reading:
    """Returns the increase between two readings of the same processes."""
    return Reading(
        after.entry_cpu_s - before.entry_cpu_s,
        tuple(
            late - early
            for early, late in zip(
                before.agent_cpu_s, after.agent_cpu_s, strict=True
            )
        ),
        {
            name: value - before.metrics.get(name, 0.0)
            for name, value in after.metrics.items()
        },
        after.families,
    )


def by_message_class(reading: Reading, family: str) -> dict[str, float]:
    """Returns the values of a metric by the class of the message.

    Args:
        reading: Counters of a fleet.
        family: Name of a metric whose first label is the class.
    """
    values = {}
    for key, value in reading.metrics.items():
        name, _, labels = key.partition("{")
        if name == family:
            message = labels.partition('"')[2].partition('"')[0]
            values[message] = values.get(message, 0.0) + value
    return values


def task_messages(reading: Reading) -> float | None:
    """Returns how many messages tasks caused, None if none were counted."""
    sent = by_message_class(reading, MESSAGES_SENT)
    received = by_message_class(reading, MESSAGES_RECEIVED)
    if not sent or not received:
        return None
    return sum(
        n for name, n in sent.items() if name not in BACKGROUND_MESSAGES
    ) + sum(n for name, n in received.items() if name in AGENT_TASK_MESSAGES)


def forwards(reading: Reading) -> float:
    """Returns how many messages forwarded requests between entries."""
    sent = by_message_class(reading, MESSAGES_SENT)
    return sum(n for name, n in sent.items() if name in FORWARD_MESSAGES)


def wasted_messages(reading: Reading) -> float | None:
    """Returns how many messages were wasted, None if that is not counted."""
    if MESSAGES_WASTED not in reading.families:
        return None
    return fleets.total(reading.metrics, MESSAGES_WASTED)


def stream_bytes(reading: Reading, label: str) -> float | None:
    """Returns the bytes that entries sent and received on streams.

    Args:
        reading: Counters of a fleet.
        label: Text that the labels of a stream must contain.

    Returns:
        The number of bytes, None if the entries have no such counters.
    """
    names = {key.partition("{")[0] for key in reading.metrics}
    if not {STREAM_BYTES_SENT, STREAM_BYTES_RECEIVED} <= names:
        return None
    return fleets.total(
        reading.metrics, STREAM_BYTES_SENT, label
    ) + fleets.total(reading.metrics, STREAM_BYTES_RECEIVED, label)
