"""WSGI application of the admin port: metrics, status and jobs."""

import json
import urllib.parse
from collections.abc import Callable

import attrs

from trefoilgw.callers import values
from trefoilgw.entry import metrics as entry_metrics
from trefoilgw.metrics import core as metrics


@attrs.define(eq=False)
class Admin:
    """Answers requests of operators.

    Attributes:
        entry: The entry.
        registry: Metrics of the entry.
    """

    entry: object
    registry: metrics.Registry = attrs.field(init=False)

    def __attrs_post_init__(self):
        """Creates the registry of the metrics."""
        self.registry = entry_metrics.make_registry(self.entry)

    def __call__(self, environ: dict, start_response: Callable) -> list[bytes]:
        """Answers one HTTP request."""
        path = urllib.parse.unquote(environ["PATH_INFO"])
        content_type = "application/json"
        status = 200
        if environ["REQUEST_METHOD"] != "GET":
            status, body = 405, b'{"detail": "only GET is allowed"}'
        elif path == "/metrics":
            content_type, body = (
                metrics.CONTENT_TYPE,
                self.registry.exposition(),
            )
        elif path == "/admin/status":
            body = json.dumps(status_of(self.entry)).encode()
        elif path.startswith("/admin/jobs/"):
            found = explain(self.entry, path[len("/admin/jobs/") :])
            status = 200 if found else 404
            body = json.dumps({"jobs": found}).encode()
        else:
            status, body = 404, b'{"detail": "there is nothing here"}'
        headers = [
            ("Content-Type", content_type),
            ("Content-Length", str(len(body))),
        ]
        start_response(values.status_line(status), headers)
        return [body]


def status_of(entry) -> dict:
    """Returns the fields of `/admin/status`."""
    host = entry.host
    config = entry.config
    return {
        "role": "entry",
        "incarnation": host.incarnation,
        "domain": host.domain,
        "revision": config.revision,
        "leaving": host.leaving,
        "epoch": host.roster.epoch,
        "roster": [attrs.asdict(item) for item in config.roster_entries()],
        "jobs_running": len(host.table.running),
        "jobs_queued": len(host.queued_tasks),
        "records": host.table.records.size,
        "free_credits": {
            name: host.placement.free(name) for name in host.services
        },
        "total_credits": {
            name: host.placement.total(name) for name in host.services
        },
        "batches_in_flight": len(host.in_flight),
        "agents": [_agent_row(host, s) for s in host.agents.values()],
        "stopped_kinds": _stopped_kinds(entry),
        "peers": [_peer_row(p) for p in host.peers.values()],
    }


def explain(entry, key: str) -> list[dict]:
    """Returns the known jobs of a key, at most one per customer.

    Args:
        entry: The entry.
        key: Key of the jobs, or the id of one job as `customer:key`.
    """
    host = entry.host
    now_s = host.now()
    if ":" in key:
        ids = [key]
    else:
        configuration = host.configuration
        customers = configuration.customers if configuration else ()
        ids = [f"{customer.name}:{key}" for customer in customers]
    found = [host.table.explain(job_id, now_s) for job_id in ids]
    rows = [attrs.asdict(item) for item in found if item is not None]
    for row in rows:
        for batch in row["open_batches"]:
            session = host.agents.get(batch["agent"])
            batch["name"] = session.hello.agent if session else ""
            open_batch = host.table.batches.by_number.get(batch["batch"])
            batch["tasks"] = len(open_batch.remaining) if open_batch else 0
    return rows


def _stopped_kinds(entry) -> list[dict]:
    """Returns the fields of each kind that is stopped as poison."""
    host = entry.host
    now_s = host.now()
    return [
        {
            "kind": change.kind,
            "failing_agents": change.failing,
            "judged_agents": change.agents,
            "probe_in_s": host.outliers.retry_after_s(change.kind, now_s),
        }
        for change in entry.agents.stopped_kinds.values()
    ]


def _agent_row(host, session) -> dict:
    """Returns the fields of one agent."""
    record = host.outliers.agents.get(session.agent)
    until_s = record.ejected_until_s if record else None
    ejected_for_s = None if until_s is None else max(0.0, until_s - host.now())
    return {
        "agent": session.hello.agent,
        "incarnation": session.agent,
        "domain": session.hello.domain,
        "services": list(session.hello.services),
        "slots": session.hello.slots,
        "admin_address": session.hello.admin_address,
        "revision": session.revision,
        "session": session.number,
        "blocked": sorted(session.blocked),
        "probation": bool(record and record.on_probation),
        "ejected_for_s": ejected_for_s,
        "verdict": session.verdict,
    }


def _peer_row(peer) -> dict:
    """Returns the fields of one peer."""
    return {
        "incarnation": peer.entry.incarnation,
        "admin_address": peer.entry.admin_address,
        "revision": peer.revision,
        "free_credits": peer.free_credits,
        "leaving": peer.leaving,
    }
