"""Metrics of an entry, read from its counters and state at each scrape."""

import collections
from collections.abc import Callable
from collections.abc import Iterable

import attrs

from trefoilgw.metrics import core as metrics


def make_registry(entry) -> metrics.Registry:
    """Returns a registry with the metrics of an entry."""
    registry = metrics.Registry()
    host = entry.host
    counts = host.counts
    labeled = (
        ("messages_sent", "Messages sent", "type", counts.messages_sent),
        (
            "messages_received",
            "Messages received",
            "type",
            counts.messages_received,
        ),
        ("messages_wasted", "Messages without use", "cause", counts.wasted),
        ("jobs_ended", "Jobs with an answer", "state", counts.jobs_ended),
        ("requests_refused", "Refused requests", "reason", counts.refusals),
    )
    for name, text, label, values in labeled:
        registry.observable_counter(name, text, _rows(values), label)
    for name, text, closed, field in (
        ("stream_bytes_sent", "Bytes sent", counts.bytes_sent, "sent_bytes"),
        (
            "stream_bytes_received",
            "Bytes received",
            counts.bytes_received,
            "received_bytes",
        ),
    ):
        registry.observable_counter(
            name, text, _stream_bytes(host, closed, field), "peer"
        )
    plain = (
        ("tasks_sent", "Tasks sent to agents", lambda: counts.tasks_sent),
        ("tasks_retried", "Tasks sent again", lambda: counts.tasks_retried),
        ("requests_forwarded", "Requests forwarded", lambda: counts.forwarded),
        ("pauses", "Pauses that ended jobs", lambda: counts.pauses),
        (
            "messages_foreign",
            "Messages of closed sessions",
            lambda: counts.foreign_messages,
        ),
        (
            "outcomes_ignored",
            "Late, doubled or foreign outcomes",
            lambda: host.table.ignored_outcomes,
        ),
    )
    for name, text, read in plain:
        registry.observable_counter(name, text, metrics.unlabeled(read))
    gauges = (
        ("jobs_running", "Jobs running", lambda: len(host.table.running)),
        ("jobs_queued", "Jobs waiting", lambda: len(host.queued_tasks)),
        ("records", "Keys with a record", lambda: host.table.records.size),
        ("agents", "Agents connected", lambda: len(host.agents)),
        ("peers", "Entries connected", lambda: len(host.peers)),
        ("revision", "Configuration", lambda: entry.config.revision),
        ("epoch", "Roster epoch", lambda: host.roster.epoch),
    )
    for name, text, read in gauges:
        registry.observable_gauge(name, text, metrics.unlabeled(read))
    registry.observable_gauge(
        "agents_blocked", "Agents without work", _blocked_agents(host), "reason"
    )
    registry.observable_gauge(
        "kinds_stopped", "Kinds stopped as poison", _stopped_kinds(host)
    )
    _add_platform(registry, entry)
    return registry


def _add_platform(registry: metrics.Registry, entry) -> None:
    """Adds the counters of the connection to the platform."""

    def events() -> list[metrics.Sample]:
        platform = entry.registry
        return _rows(attrs.asdict(platform.counts))() if platform else []

    def client_count(field: str) -> Callable:
        return metrics.unlabeled(
            lambda: (
                getattr(entry.registry.client, field) if entry.registry else 0
            )
        )

    registry.observable_counter(
        "registry_events", "Leases, roster and watch", events, "event"
    )
    for name, text, field in (
        ("platform_calls", "Calls to the platform", "calls"),
        ("platform_failures", "Calls without an answer", "failures"),
    ):
        registry.observable_counter(name, text, client_count(field))


def _blocked_agents(host) -> Callable:
    """Returns a reader of the number of blocked agents by reason."""

    def read() -> list[metrics.Sample]:
        found = collections.Counter(
            reason
            for session in host.agents.values()
            for reason in session.blocked
        )
        return _rows(found)()

    return read


def _stopped_kinds(host) -> Callable:
    """Returns a reader of the number of stopped kinds."""
    return metrics.unlabeled(
        lambda: sum(
            record.stopped_until_s is not None
            for record in host.outliers.kinds.values()
        )
    )


def _stream_bytes(host, closed: dict, field: str) -> Callable:
    """Returns a reader of stream bytes by the role of the other side.

    It adds the bytes of open streams to those of closed ones.
    """

    def read() -> list[metrics.Sample]:
        sessions = {"agent": host.agents.values(), "entry": host.peers.values()}
        return [
            metrics.Sample(
                closed.get(role, 0)
                + sum(
                    getattr(session.stream, field) for session in open_sessions
                ),
                (role,),
            )
            for role, open_sessions in sessions.items()
        ]

    return read


def _rows(values: dict) -> Callable[[], Iterable[metrics.Sample]]:
    """Returns a reader of counts by label value."""
    return lambda: [
        metrics.Sample(value, (str(name),)) for name, value in values.items()
    ]
