"""Metrics and status of an agent for operators.

The Prometheus text format is written here: prometheus_client would take 2 MB of
the agent's memory and load OpenSSL, which `trefoilgw.processes.unused_modules`
blocks.
"""

import pathlib
import time

import attrs

from trefoilgw.metrics import core as metrics


def make_registry(agent) -> metrics.Registry:
    """Returns the registry of an agent, whose values are read per scrape."""
    registry = metrics.Registry()
    registry.observable_counter(
        "agent_events",
        "Batches and tasks by event",
        lambda: _counter_samples(agent.slots.counters),
        "event",
    )
    registry.observable_counter(
        "target_calls",
        "Requests and connections to the target by event",
        lambda: _counter_samples(agent.target.counters),
        "event",
    )
    counters = (
        ("dials", "Streams dialed", lambda: agent.connections.dials),
        (
            "dial_failures",
            "Dials that failed",
            lambda: agent.connections.dial_failures,
        ),
    )
    for name, text, read in counters:
        registry.observable_counter(name, text, metrics.unlabeled(read))
    gauges = (
        ("running", "Occupied slots", lambda: agent.slots.running),
        ("slots", "Slots of the target", lambda: agent.slots.book.total),
        ("free_credits", "Credits not lent", lambda: agent.slots.book.free),
        ("start_marks", "Start marks", lambda: len(agent.ledger.marks)),
        ("records", "Batch records", lambda: len(agent.ledger.records)),
        (
            "result_bytes",
            "Results kept for reconciliation",
            lambda: agent.ledger.records.result_bytes,
        ),
        ("revision", "Configuration", lambda: agent.configuration.revision),
        (
            "entries",
            "Entries connected",
            lambda: len(agent.connections.open_links()),
        ),
    )
    for name, text, read in gauges:
        registry.observable_gauge(name, text, metrics.unlabeled(read))
    return registry


def exposition(registry: metrics.Registry) -> bytes:
    """Returns the metrics in the Prometheus text format, version 0.0.4."""
    lines = []
    for family in registry.families.values():
        suffix = "_total" if family.kind == "counter" else ""
        name = f"trefoilgw_{family.name}{suffix}"
        lines += _family_header(name, family.kind, family.description)
        for labels, value in family.values.items():
            pairs = zip(family.label_names, labels, strict=True)
            text = ",".join(f'{key}="{label}"' for key, label in pairs)
            braces = f"{{{text}}}" if text else ""
            lines.append(f"{name}{braces} {float(value)}")
    name = "process_cpu_seconds_total"
    lines += _family_header(name, "counter", "User and system CPU time")
    lines.append(f"{name} {time.process_time()}")
    name = "process_resident_memory_bytes"
    lines += _family_header(name, "gauge", "Resident memory")
    lines.append(f"{name} {float(_resident_bytes())}")
    return ("\n".join(lines) + "\n").encode()


def status_of(agent) -> dict:
    """Returns the response of ``/admin/status``."""
    return {
        "role": "agent",
        "agent": agent.settings.name,
        "incarnation": agent.incarnation,
        "domain": agent.settings.domain,
        "revision": agent.configuration.revision,
        "leaving": agent.slots.leaving,
        "epoch": agent.connections.epoch,
        "slots": agent.slots.book.total,
        "running": agent.slots.running,
        "stragglers": len(agent.slots.stragglers),
        "batches": len(agent.slots.open_batches),
        "start_marks": len(agent.ledger.marks),
        "records": len(agent.ledger.records),
        "entries": [
            {
                "incarnation": link.entry,
                "address": link.address,
                "session": link.session,
                "credits": agent.slots.held(link.entry),
            }
            for link in agent.connections.open_links()
        ],
    }


def _counter_samples(counters) -> list[metrics.Sample]:
    """Returns a sample for each counter of an attrs instance."""
    return [
        metrics.Sample(value, (name,))
        for name, value in attrs.asdict(counters).items()
    ]


def _family_header(name: str, kind: str, text: str) -> list[str]:
    """Returns the HELP and TYPE lines of a metric family."""
    return [f"# HELP {name} {text}", f"# TYPE {name} {kind}"]


def _resident_bytes() -> int:
    """Returns the resident memory of this process, 0 if not found."""
    status = pathlib.Path("/proc/self/status").read_text(encoding="ascii")
    for line in status.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    return 0
