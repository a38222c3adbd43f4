"""Queries the running entries through their admin ports."""

import concurrent.futures
import json
import urllib.parse
from collections.abc import Callable
from collections.abc import Iterable

import attrs
import urllib3

from trefoilgw import keyvalue
from trefoilgw import registry
from trefoilgw.cli import writes

REQUEST_TIMEOUT_S = 2.0
MAX_ANSWER_BYTES = 16 * 1024 * 1024
MAX_PARALLEL_REQUESTS = 16


@attrs.frozen
class Reply:
    """Answer of an entry to an admin request.

    Attributes:
        address: Admin address of the entry.
        incarnation: Incarnation of the entry; empty if unknown.
        status: HTTP status; 0 if there is no valid answer.
        values: JSON object of the answer; empty if there is none.
        error: Why there is no valid answer; empty if there is one.
    """

    address: str
    incarnation: str = ""
    status: int = 0
    values: dict = attrs.field(factory=dict)
    error: str = ""


@attrs.frozen
class Discovery:
    """Entries that were found, and their state at the platform.

    Attributes:
        addresses: Incarnation by admin address; empty if the incarnation is
            unknown.
        epoch: Epoch of the roster at the platform; 0 if unknown.
        stored: Configuration document at the platform; None if unknown.
        error: Why the platform could not be read; empty if it could.
        domains: Failure domain by admin address, as far as a roster names it.
    """

    addresses: dict[str, str]
    epoch: int = 0
    stored: writes.StoredDocument | None = None
    error: str = ""
    domains: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen
class AgentRow:
    """State of an agent, merged from the reports of its entries.

    Attributes:
        name: Name from the agent's settings.
        incarnation: Incarnation of the agent.
        domain: Failure domain of the agent.
        revision: Highest revision that any entry reports for it.
        entries: Number of entries that it is connected to.
        blocked: Number of entries that send it no work, by reason, such as
            ``ejected``.
        address: Admin address of the agent; empty if it has none.
        verdicts: Why it was ejected, one per entry that ejected it.
        probation: Number of entries at which it is on probation.
        ejected_for_s: Longest time until it is probed, in seconds; 0 if it is
            not ejected.
    """

    name: str
    incarnation: str
    domain: str
    revision: int
    entries: int
    blocked: dict[str, int]
    address: str = ""
    verdicts: tuple[str, ...] = ()
    probation: int = 0
    ejected_for_s: float = 0.0


@attrs.frozen
class StoppedKind:
    """Kind that entries stopped because it fails on most agents.

    Attributes:
        kind: Name of the kind.
        entries: Number of entries that stopped it.
        failing_agents: Highest number of agents on which it fails, as reported
            by one entry.
        judged_agents: Number of agents that had run it for that entry.
        probe_in_s: Longest time until an entry admits one job as a probe, in
            seconds.
    """

    kind: str
    entries: int
    failing_agents: int
    judged_agents: int
    probe_in_s: float


def discover(client: keyvalue.Client, seeds: Iterable[str]) -> Discovery:
    """Finds the entries through the roster and the given admin addresses.

    Args:
        client: Client of the platform.
        seeds: Admin addresses of entries that are asked for their roster as
            well, for use while the platform is unavailable.
    """
    addresses = dict.fromkeys(seeds, "")
    domains = {}
    for reply in query_entries(addresses, "/admin/status"):
        addresses[reply.address] = reply.values.get("incarnation", "")
        for row in reply.values.get("roster", ()):
            addresses.setdefault(row["admin_address"], row["incarnation"])
            domains[row["admin_address"]] = row.get("domain", "")
    found = client.get(registry.ROSTER_KEY)
    epoch = 0
    error = ""
    match found:
        case keyvalue.KeyValue(data=data):
            roster = registry.parse_roster(data)
            if isinstance(roster, registry.Roster):
                epoch = roster.epoch
                for entry in roster.entries:
                    addresses[entry.admin_address] = entry.incarnation
                    domains[entry.admin_address] = entry.domain
            else:
                error = roster.text
        case keyvalue.Missing():
            pass
        case _:
            return Discovery(addresses, error=found.detail, domains=domains)
    stored = writes.read_stored(client)
    if isinstance(stored, writes.NotWritten):
        return Discovery(addresses, epoch, None, stored.detail, domains)
    return Discovery(addresses, epoch, stored, error, domains)


def query_entries(addresses: dict[str, str], path: str) -> list[Reply]:
    """Sends a GET request to each entry; returns replies in the same order.

    Args:
        addresses: Incarnation by admin address.
        path: Path of the request.
    """
    with concurrent.futures.ThreadPoolExecutor(MAX_PARALLEL_REQUESTS) as pool:
        return list(pool.map(_make_query(path), addresses.items()))


def query_job(addresses: dict[str, str], job: str) -> list[Reply]:
    """Queries each entry for the state of a job."""
    return query_entries(
        addresses, f"/admin/jobs/{urllib.parse.quote(job, safe='')}"
    )


def summarize_agents(replies: Iterable[Reply]) -> list[AgentRow]:
    """Merges the agents in the status of all entries.

    Returns:
        One row per agent, sorted by name and incarnation.
    """
    rows: dict[str, AgentRow] = {}
    for reply in replies:
        for item in reply.values.get("agents", ()):
            incarnation = item["incarnation"]
            row = rows.get(incarnation)
            if row is None:
                row = AgentRow(
                    item["agent"],
                    incarnation,
                    item["domain"],
                    0,
                    0,
                    {},
                    item.get("admin_address", ""),
                )
            blocked = dict(row.blocked)
            verdict = item.get("verdict") if item.get("ejected_for_s") else ""
            for reason in item.get("blocked", ()):
                blocked[reason] = blocked.get(reason, 0) + 1
            rows[incarnation] = attrs.evolve(
                row,
                revision=max(row.revision, item["revision"]),
                entries=row.entries + 1,
                blocked=blocked,
                verdicts=row.verdicts + ((verdict,) if verdict else ()),
                probation=row.probation + bool(item.get("probation")),
                ejected_for_s=max(
                    row.ejected_for_s, item.get("ejected_for_s") or 0.0
                ),
            )
    return sorted(rows.values(), key=lambda row: (row.name, row.incarnation))


def summarize_stopped_kinds(replies: Iterable[Reply]) -> list[StoppedKind]:
    """Merges the stopped kinds in the status of all entries.

    Returns:
        One item per kind, sorted by name.
    """
    found: dict[str, StoppedKind] = {}
    for reply in replies:
        for item in reply.values.get("stopped_kinds", ()):
            name = item["kind"]
            known = found.get(name, StoppedKind(name, 0, 0, 0, 0.0))
            found[name] = StoppedKind(
                name,
                known.entries + 1,
                *max(
                    (known.failing_agents, known.judged_agents),
                    (item["failing_agents"], item["judged_agents"]),
                ),
                max(known.probe_in_s, item["probe_in_s"]),
            )
    return [found[name] for name in sorted(found)]


def _make_query(path: str) -> Callable[[tuple[str, str]], Reply]:
    """Returns a function that sends a GET request to one entry."""

    def request(item: tuple[str, str]) -> Reply:
        address, incarnation = item
        reply = Reply(address, incarnation)
        try:
            with urllib3.PoolManager(retries=False) as http:
                answer = http.request(
                    "GET",
                    f"http://{address}{path}",
                    timeout=urllib3.Timeout(total=REQUEST_TIMEOUT_S),
                    redirect=False,
                    preload_content=False,
                )
                data = answer.read(MAX_ANSWER_BYTES)
                answer.close()
            values = json.loads(data)
            if not isinstance(values, dict):
                raise ValueError("the answer is not an object")
        except (
            urllib3.exceptions.HTTPError,
            OSError,
            ValueError,
            RecursionError,
        ) as error:
            return attrs.evolve(reply, error=f"{type(error).__name__}: {error}")
        return attrs.evolve(reply, status=answer.status, values=values)

    return request
