"""Asks the running entries over their admin ports."""

import concurrent.futures
import json
import urllib.parse
from collections.abc import Callable
from collections.abc import Iterable

import attrs
import urllib3

from trefoilgw import keyvalue as platform
from trefoilgw import registry
from trefoilgw.cli import writes

TIMEOUT_S = 2.0
ANSWER_LIMIT_BYTES = 16 * 1024 * 1024
PARALLEL_REQUESTS = 16


@attrs.frozen
class Reply:
    """What one entry answered.

    Attributes:
        address: Its admin address.
        incarnation: Its incarnation, empty if not known.
        status: HTTP status; 0 if it was not reached.
        values: The answer's JSON object; empty if there is none.
        error: Why there is no answer.
    """

    address: str
    incarnation: str = ""
    status: int = 0
    values: dict = attrs.field(factory=dict)
    error: str = ""


@attrs.frozen
class Located:
    """The entries and what the platform says about them.

    Attributes:
        addresses: Incarnation by admin address; empty text if not known.
        epoch: Epoch of the roster, 0 if the platform was not reached.
        stored: The configuration at the platform, None if not known.
        error: Why the platform was not reached.
        domains: Failure domain by admin address, as far as a roster names it.
    """

    addresses: dict[str, str]
    epoch: int = 0
    stored: writes.Stored | None = None
    error: str = ""
    domains: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen
class AgentRow:
    """One agent as its entries see it.

    Attributes:
        name: Name from its settings.
        incarnation: Its incarnation.
        domain: Its failure domain.
        revision: Highest revision that it reported.
        entries: Entries that it is connected to.
        blocked: Entries that send it nothing, by reason, such as
            ``ejected``.
        address: Its admin address, empty if it has none.
        verdicts: What it was ejected for, as the entries say.
        probation: Entries at which it is on probation.
        ejected_for_s: Longest time until it is probed, 0 if not ejected.
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
    """A kind that entries stopped because it fails on most agents.

    Attributes:
        kind: Its name.
        entries: Entries that stopped it.
        failing_agents: Most agents at which it failed, as an entry saw it.
        judged_agents: Agents that had run it there.
        probe_in_s: Longest time until one job is let through.
    """

    kind: str
    entries: int
    failing_agents: int
    judged_agents: int
    probe_in_s: float


def locate(client: platform.Client, seeds: Iterable[str]) -> Located:
    """Finds the entries through the roster and the given admin addresses.

    Args:
        client: Client of the platform.
        seeds: Admin addresses of entries to ask as well, for use while the
            platform is down.
    """
    addresses = dict.fromkeys(seeds, "")
    domains = {}
    for reply in ask(addresses, "/admin/status"):
        addresses[reply.address] = reply.values.get("incarnation", "")
        for row in reply.values.get("roster", ()):
            addresses.setdefault(row["admin_address"], row["incarnation"])
            domains[row["admin_address"]] = row.get("domain", "")
    found = client.get(registry.ROSTER_KEY)
    epoch = 0
    error = ""
    match found:
        case platform.KeyValue(data=data):
            roster = registry.parse_roster(data)
            if isinstance(roster, registry.Roster):
                epoch = roster.epoch
                for entry in roster.entries:
                    addresses[entry.admin_address] = entry.incarnation
                    domains[entry.admin_address] = entry.domain
            else:
                error = roster.text
        case platform.Missing():
            pass
        case _:
            return Located(addresses, error=found.detail, domains=domains)
    stored = writes.read_stored(client)
    if isinstance(stored, writes.NotWritten):
        return Located(addresses, epoch, None, stored.detail, domains)
    return Located(addresses, epoch, stored, error, domains)


def ask(addresses: dict[str, str], path: str) -> list[Reply]:
    """Returns each entry's answer to a GET request, in order."""
    with concurrent.futures.ThreadPoolExecutor(PARALLEL_REQUESTS) as pool:
        return list(pool.map(_request(path), addresses.items()))


def explain(addresses: dict[str, str], job: str) -> list[Reply]:
    """Asks each entry what it knows about a job."""
    return ask(addresses, f"/admin/jobs/{urllib.parse.quote(job, safe='')}")


def agents(replies: Iterable[Reply]) -> list[AgentRow]:
    """Returns the agents, each once, from the status of the entries."""
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


def stopped_kinds(replies: Iterable[Reply]) -> list[StoppedKind]:
    """Returns the stopped kinds, each once, by name."""
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


def _request(path: str) -> Callable[[tuple[str, str]], Reply]:
    """Returns a function that asks one entry."""

    def request(item: tuple[str, str]) -> Reply:
        address, incarnation = item
        reply = Reply(address, incarnation)
        try:
            with urllib3.PoolManager(retries=False) as http:
                answer = http.request(
                    "GET",
                    f"http://{address}{path}",
                    timeout=urllib3.Timeout(total=TIMEOUT_S),
                    redirect=False,
                    preload_content=False,
                )
                data = answer.read(ANSWER_LIMIT_BYTES)
                answer.close()
            values = json.loads(data)
            if not isinstance(values, dict):
                raise ValueError("the answer is not an object")
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            return attrs.evolve(reply, error=f"{type(error).__name__}: {error}")
        return attrs.evolve(reply, status=answer.status, values=values)

    return request
