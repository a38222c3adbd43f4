"""Text output of `trefoilgw status` and `trefoilgw explain`."""

import collections
from collections.abc import Sequence

from trefoilgw.cli import fleet
from trefoilgw.cli import report
from trefoilgw.logs import job_timeline

STATUS_HEADER = ("role", "name", "domain", "address", "revision", "state")
# Limits the task numbers shown per fate; a job has up to 310 tasks.
MAX_TASK_NUMBERS = 12


def status_lines(
    discovery: fleet.Discovery,
    replies: Sequence[fleet.Reply],
    agents: Sequence[fleet.AgentRow],
    kinds: Sequence[fleet.StoppedKind],
) -> list[str]:
    """Formats the state of the fleet as a summary and a table."""
    # The newest revision in force is used while the platform is unavailable.
    revisions = [reply.values.get("revision", 0) for reply in replies]
    revisions += [row.revision for row in agents]
    if discovery.stored:
        revisions.append(discovery.stored.revision)
    newest_revision = max(revisions)
    epoch = max(
        discovery.epoch, *(reply.values.get("epoch", 0) for reply in replies)
    )
    rows = [
        (
            "entry",
            reply.incarnation,
            reply.values.get("domain")
            or discovery.domains.get(reply.address, ""),
            reply.address,
            _revision_text(reply.values.get("revision"), newest_revision),
            _entry_state(reply, epoch),
        )
        for reply in replies
    ]
    rows += [
        (
            "agent",
            row.name,
            row.domain,
            row.address or "-",
            _revision_text(row.revision, newest_revision),
            _agent_state(row),
        )
        for row in agents
    ]
    lines = [
        _summary(discovery, replies, agents),
        *report.format_table(STATUS_HEADER, rows),
    ]
    lines += [
        f"kind {kind.kind} is stopped at {kind.entries} of {len(replies)} "
        f"entries: fails at {kind.failing_agents} of {kind.judged_agents} "
        f"agents, {_probe_text(kind.probe_in_s)}"
        for kind in kinds
    ]
    return lines


def job_lines(row: dict) -> list[str]:
    """Formats the state of a job as reported by its home.

    Args:
        row: Fields of a job as returned by ``/admin/jobs``, and ``home``.
    """
    head = {name: row.get(name) for name in ("key", "customer", "home")}
    lines = [f"{name}: {value}" for name, value in head.items() if value]
    reason = f", {row['reason']}" if row.get("reason") else ""
    lines.append(f"state: {row['state']}{reason}")
    if not row.get("tasks"):
        lines.append("its answer is no longer kept")
        return [*lines, ""]
    lines.append(f"kind: {row['kind']}, {row['tasks']} tasks")
    lines.append(_deadline_line(row["age_s"], row["deadline_in_s"]))
    if row["waiting"]:
        lines.append(f"waiting for a credit: {row['waiting']} tasks")
    lines += [
        f"batch {batch['batch']}: {batch['tasks']} tasks open at "
        f"{batch.get('name') or 'an agent that is gone'} ({batch['agent']})"
        for batch in row["open_batches"]
    ]
    return [*lines, *_fate_lines(row["fates"]), ""]


def _deadline_line(age_s: float, deadline_in_s: float) -> str:
    """Formats the age and the deadline of a job."""
    deadline = (
        f"deadline in {deadline_in_s:.1f} s"
        if deadline_in_s > 0
        else f"deadline {-deadline_in_s:.1f} s ago"
    )
    return f"accepted {age_s:.1f} s ago, {deadline}"


def _fate_lines(fates: Sequence[str]) -> list[str]:
    """Formats the number of tasks per fate, with the first task numbers."""
    tasks = collections.defaultdict(list)
    for index, fate in enumerate(fates):
        tasks[fate].append(index)
    lines = []
    for fate, indices in sorted(tasks.items(), key=lambda item: item[1]):
        plural = "s" if len(indices) > 1 else ""
        line = f"{len(indices)} task{plural} {fate}"
        if len(tasks) > 1 and fate != "completed":
            numbers = ", ".join(map(str, indices[:MAX_TASK_NUMBERS]))
            more = ", ..." if len(indices) > MAX_TASK_NUMBERS else ""
            line += f" (number {numbers}{more})"
        lines.append(line)
    return lines


def _summary(
    discovery: fleet.Discovery,
    replies: Sequence[fleet.Reply],
    agents: Sequence[fleet.AgentRow],
) -> str:
    """Formats revision, epoch and counts of the fleet in one line."""
    stored = discovery.stored.revision if discovery.stored else "unknown"
    blocked = collections.Counter(
        reason for row in agents for reason in row.blocked
    )
    parts = [
        f"stored revision {stored}",
        f"epoch {discovery.epoch or 'unknown'}",
        f"{len(replies)} entries",
        f"{len(agents)} agents",
    ]
    parts += [f"{count} {reason}" for reason, count in sorted(blocked.items())]
    return ", ".join(parts)


def _probe_text(probe_in_s: float) -> str:
    """Describes when a stopped kind is probed."""
    if probe_in_s > 0:
        return f"the first job after {probe_in_s:.0f} s is a probe"
    return "the next job is a probe"


def _revision_text(revision: int | None, newest_revision: int) -> str:
    """Formats a revision in force, marked if it is behind the newest one."""
    if revision is None:
        return "?"
    return (
        f"{revision} (behind)" if revision < newest_revision else str(revision)
    )


def _entry_state(reply: fleet.Reply, epoch: int) -> str:
    """Formats the state of an entry."""
    values = reply.values
    if not values:
        return "no answer"
    state = "leaving" if values.get("leaving") else "serving"
    parts = [
        state,
        f"{values.get('jobs_running', 0)} jobs running",
        f"{values.get('jobs_queued', 0)} queued",
        f"{len(values.get('agents', ()))} agents",
        f"{len(values.get('peers', ()))} peers",
    ]
    known = values.get("epoch", epoch)
    if known < epoch:
        parts.append(f"epoch {known} (behind)")
    return ", ".join(parts)


def _agent_state(row: fleet.AgentRow) -> str:
    """Formats the state of an agent."""
    parts = [
        f"{reason} at {count} of {row.entries} entries"
        for reason, count in sorted(row.blocked.items())
    ] or [f"usable at {row.entries} entries"]
    if row.verdicts:
        parts.append(f"{row.verdicts[0]}, probed in {row.ejected_for_s:.0f} s")
    if row.probation:
        parts.append(f"on probation at {row.probation}")
    return "; ".join(parts)


def timeline_lines(timeline: job_timeline.JobTimeline) -> list[str]:
    """Formats the steps of a job's timeline as a table, one per line."""
    rows = [
        (
            step.time[11:23],
            step.host,
            step.event,
            step.subject or "-",
            " ".join(f"{k}={v}" for k, v in step.details.items()),
        )
        for step in timeline.steps
    ]
    if not rows:
        return []
    return report.format_table(("time", "host", "event", "of", "details"), rows)
