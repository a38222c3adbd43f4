"""The story of one job out of the log lines of many processes.

Lines of several hosts come in any order. Each is put where its time says; the
clocks of hosts differ by a few milliseconds, so neighbouring lines of two
hosts may be in the wrong order.
"""

import json
from collections.abc import Iterable

import attrs

# Fields that every line has, or that the story shows on its own.
_COMMON = frozenset(
    {"time", "level", "logger", "message", "program", "host", "job", "task"}
)
# Events that change what a process believes; shown beside a job's own lines.
_CONTEXT = frozenset(
    {
        "configuration in force",
        "foreign run",
        "lines left out",
        "roster lease lapsed",
        "runner given up",
        "runner joined",
        "runner lost",
        "scheduler joined",
        "scheduler lost",
        "started",
        "stopped",
        "store back",
        "store lost",
        "target back",
        "target drains",
        "target gone",
        "target in doubt",
        "target joined",
        "target left",
        "target lost",
        "target trusted",
        "uncaught error",
    }
)


@attrs.frozen
class Step:
    """One line of a story.

    Attributes:
        time: When it was written, ISO 8601.
        host: Host that wrote it.
        event: Name of the event.
        subject: The task or job that it tells of, empty for the context.
        details: Its other fields.
    """

    time: str
    host: str
    event: str
    subject: str
    details: dict


@attrs.frozen
class JobTimeline:
    """What log files tell of a job.

    Attributes:
        steps: The job's lines and, between the first and the last of them,
            what changed around it; in order of time.
        unreadable: Lines that are no JSON object.
    """

    steps: tuple[Step, ...]
    unreadable: int


def build_timeline(lines: Iterable[str], job: str) -> JobTimeline:
    """Returns the story of a job.

    Args:
        lines: Lines of all log files, in any order; text before the first
            brace of a line is skipped.
        job: The job's key.
    """
    own: list[Step] = []
    around: list[Step] = []
    unreadable = 0
    for line in lines:
        if not line.strip():
            continue
        row = _parse(line)
        if row is None:
            unreadable += 1
            continue
        step = _step(row)
        if step.subject.partition(".")[0] == job:
            own.append(step)
        elif step.event in _CONTEXT:
            around.append(step)
    if own:
        first = min(x.time for x in own)
        last = max(x.time for x in own)
        own += [x for x in around if first <= x.time <= last]
    return JobTimeline(tuple(sorted(own, key=lambda x: x.time)), unreadable)


def _parse(line: str) -> dict | None:
    """Returns the fields of a line, None if it has none."""
    start = line.find("{")
    if start < 0:
        return None
    try:
        row = json.loads(line[start:])
    except ValueError:
        return None
    return row if isinstance(row, dict) else None


def _step(row: dict) -> Step:
    """Returns the line as a step."""
    return Step(
        str(row.get("time", "")),
        str(row.get("host", "")),
        str(row.get("message", "")),
        str(row.get("task") or row.get("job") or ""),
        {k: v for k, v in row.items() if k not in _COMMON},
    )


def summarize(story: JobTimeline) -> str:
    """Returns in one sentence how a job ended and why, as far as told."""
    own = [x for x in story.steps if x.subject]
    if not own:
        return "no line tells of this job"
    last = _last(own, {"job rejected", "job ended", "caller gone"})
    trouble = _trouble(own)
    if last is None:
        return f"no end is told; {trouble or _lost(own)}"
    match last.event:
        case "job rejected":
            return _rejection(last)
        case "caller gone":
            return f"the caller left; {trouble or 'no attempt had failed'}"
    outcome = last.details.get("outcome", "")
    reason = last.details.get("reason", "")
    took_s = last.details.get("took_s")
    text = f"{outcome} after {took_s} s"
    if reason:
        text += f", reason {reason}"
    return f"{text}; {trouble or 'every attempt did its task'}"


def _last(steps: list[Step], events: set[str]) -> Step | None:
    """Returns the last step of some events."""
    found = [x for x in steps if x.event in events]
    return found[-1] if found else None


def _rejection(step: Step) -> str:
    """Returns why a job was rejected."""
    details = step.details
    text = f"rejected at once, reason {details.get('reason')}"
    if details.get("reason") != "overload":
        return text
    return (
        f"{text}: room was expected after {details.get('wait_s')} s, "
        f"it could wait {details.get('slack_s')} s"
    )


def _trouble(steps: list[Step]) -> str:
    """Returns the attempts that did nothing, by cause."""
    found: dict[str, int] = {}
    for step in steps:
        if step.event != "run not done":
            continue
        cause = step.details.get("reason") or step.details.get("ending")
        name = f"{cause} at {step.details.get('runner')}"
        found[name] = found.get(name, 0) + 1
    if not found:
        return ""
    texts = [f"{count} x {name}" for name, count in found.items()]
    return "attempts that did nothing: " + ", ".join(texts)


def _lost(steps: list[Step]) -> str:
    """Returns what may have become of a job without an end."""
    admitted = _last(steps, {"job admitted"})
    if admitted is None:
        return "it was never admitted"
    return f"look at what became of {admitted.host} after {admitted.time}"
