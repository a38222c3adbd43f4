"""Readings of a whole fleet before and after a stage, and their differences.

Messages are counted at the entries: what they sent, and what they received
from agents. Frames among entries are counted where they were sent. Heartbeats
and configuration are counted apart. Agents are not scraped, as that loads a
library into them which they do not need otherwise.
"""

import attrs

from tools import fleet as fleets

MESSAGES_SENT = "trefoilgw_messages_sent_total"
MESSAGES_RECEIVED = "trefoilgw_messages_received_total"
MESSAGES_WASTED = "trefoilgw_messages_wasted_total"
BYTES_SENT = "trefoilgw_stream_bytes_sent_total"
BYTES_RECEIVED = "trefoilgw_stream_bytes_received_total"
# Messages that do not grow with the tasks.
UPKEEP = frozenset(
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
FROM_AGENTS = frozenset({"BatchDone", "CreditGrant", "Leaving"})
FORWARDS = frozenset({"Forward", "ForwardReply"})


@attrs.frozen
class Reading:
    """Counters of a fleet at one moment.

    Attributes:
        entry_cpu_s: CPU time of all entries.
        agent_cpu_s: CPU time of each agent.
        metrics: Metrics of the entries, added up.
        families: Names of all metrics that the entries have; a counter
            without any event has no sample.
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
    """Returns what was added between two readings of the same fleet."""
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


def by_class(reading: Reading, family: str) -> dict[str, float]:
    """Returns the values of a family by the class of message."""
    values = {}
    for key, value in reading.metrics.items():
        name, _, labels = key.partition("{")
        if name == family:
            message = labels.partition('"')[2].partition('"')[0]
            values[message] = values.get(message, 0.0) + value
    return values


def task_messages(reading: Reading) -> float | None:
    """Returns the frames that carried work, None if none were counted."""
    sent = by_class(reading, MESSAGES_SENT)
    received = by_class(reading, MESSAGES_RECEIVED)
    if not sent or not received:
        return None
    return sum(n for name, n in sent.items() if name not in UPKEEP) + sum(
        n for name, n in received.items() if name in FROM_AGENTS
    )


def forwards(reading: Reading) -> float:
    """Returns the frames that forwarded requests among entries."""
    sent = by_class(reading, MESSAGES_SENT)
    return sum(n for name, n in sent.items() if name in FORWARDS)


def wasted_messages(reading: Reading) -> float | None:
    """Returns messages without use, None if the entries count none."""
    if MESSAGES_WASTED not in reading.families:
        return None
    return fleets.total(reading.metrics, MESSAGES_WASTED)


def stream_bytes(reading: Reading, part: str) -> float | None:
    """Returns the bytes on streams whose labels contain a text."""
    names = {key.partition("{")[0] for key in reading.metrics}
    if not {BYTES_SENT, BYTES_RECEIVED} <= names:
        return None
    return fleets.total(reading.metrics, BYTES_SENT, part) + fleets.total(
        reading.metrics, BYTES_RECEIVED, part
    )
