"""Reconstructs the timeline of a job from the log lines of many processes.

The log lines of several hosts may come in any order and are sorted by their
timestamps. The clocks of hosts differ by a few milliseconds, so adjacent lines
of two hosts may be in the wrong order.
"""

import json
from collections.abc import Iterable

import attrs

# Fields that every line has, or that are attributes of `Step`.
_COMMON_FIELDS = frozenset(
    {"time", "level", "logger", "message", "program", "host", "job", "task"}
)
# Events that change a process's view of the system; shown along with the job's
# own events.
_CONTEXT_EVENTS = frozenset(
    {
        "configuration in force",
        "foreign run",
        "leases expired",
        "lines left out",
        "other target reported",
        "paused",
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


# Events of attempts that did not do their task.
_FAILED_ATTEMPT_EVENTS = frozenset({"run not done", "task repeated"})


@attrs.frozen
class Step:
    """One log line of a timeline.

    Attributes:
        time: Timestamp of the line in ISO 8601.
        host: Host that logged it.
        event: Name of the event.
        subject: Identifier of the task or job; empty for context events.
        details: The other fields of the line.
    """

    time: str
    host: str
    event: str
    subject: str
    details: dict


@attrs.frozen
class JobTimeline:
    """The logged events of a job.

    Attributes:
        steps: The job's own events and the context events between the first
            and the last of them, sorted by time.
        unreadable: Number of lines that hold no JSON object.
    """

    steps: tuple[Step, ...]
    unreadable: int


def build_timeline(lines: Iterable[str], job: str) -> JobTimeline:
    """Returns the timeline of a job.

    Args:
        lines: Lines of all log files, in any order; text before the first
            brace of a line is ignored.
        job: Key of the job.
    """
    job_steps: list[Step] = []
    context_steps: list[Step] = []
    unreadable = 0
    for line in lines:
        if not line.strip():
            continue
        row = parse_fields(line)
        if row is None:
            unreadable += 1
            continue
        step = _make_step(row)
        if step.subject.partition(".")[0] == job:
            job_steps.append(step)
        elif step.event in _CONTEXT_EVENTS:
            context_steps.append(step)
    if job_steps:
        first = min(x.time for x in job_steps)
        last = max(x.time for x in job_steps)
        job_steps += [x for x in context_steps if first <= x.time <= last]
    return JobTimeline(
        tuple(sorted(job_steps, key=lambda x: x.time)), unreadable
    )


def parse_fields(line: str) -> dict | None:
    """Returns the fields of a line, or None if it holds no JSON object."""
    start = line.find("{")
    if start < 0:
        return None
    try:
        row = json.loads(line[start:])
    except ValueError:
        return None
    return row if isinstance(row, dict) else None


def _make_step(row: dict) -> Step:
    """Returns the step of a line's fields."""
    return Step(
        str(row.get("time", "")),
        str(row.get("host", "")),
        str(row.get("message", "")),
        str(row.get("task") or row.get("job") or ""),
        {k: v for k, v in row.items() if k not in _COMMON_FIELDS},
    )


def summarize(timeline: JobTimeline) -> str:
    """Returns in one sentence how a job ended and why, as far as logged."""
    job_steps = [x for x in timeline.steps if x.subject]
    if not job_steps:
        return "no log line names this job"
    last = _find_last(job_steps, {"job rejected", "job ended", "caller gone"})
    failures = _describe_failed_attempts(job_steps)
    if last is None:
        return (
            f"no end is logged; {failures or _describe_missing_end(job_steps)}"
        )
    match last.event:
        case "job rejected":
            return _describe_rejection(last)
        case "caller gone":
            return f"the caller left; {failures or 'no attempt had failed'}"
    outcome = last.details.get("outcome", "")
    reason = last.details.get("reason", "")
    took_s = last.details.get("took_s")
    text = f"{outcome} after {took_s} s"
    if reason:
        text += f", reason {reason}"
    return f"{text}; {failures or 'every attempt did its task'}"


def _find_last(steps: list[Step], events: set[str]) -> Step | None:
    """Returns the last step of one of the events, or None."""
    found = [x for x in steps if x.event in events]
    return found[-1] if found else None


def _describe_rejection(step: Step) -> str:
    """Returns the reason for which a job was rejected."""
    details = step.details
    text = f"rejected at once, reason {details.get('reason')}"
    if details.get("reason") == "late":
        return (
            f"{text}: its host was short of processor time; with the delay it "
            f"was expected to start after {details.get('wait_s')} s, it could "
            f"wait {details.get('slack_s')} s"
        )
    if details.get("reason") != "overload":
        return text
    return (
        f"{text}: room was expected after {details.get('wait_s')} s, "
        f"it could wait {details.get('slack_s')} s"
    )


def _describe_failed_attempts(steps: list[Step]) -> str:
    """Returns the counts of failed attempts as text.

    They are counted by cause, runner and evidence that they can't work any
    longer. The text is empty if no attempt failed.
    """
    found: dict[str, int] = {}
    for step in steps:
        if step.event not in _FAILED_ATTEMPT_EVENTS:
            continue
        cause = step.details.get("reason") or step.details.get("ending")
        name = f"{cause} at {step.details.get('runner')}"
        if "evidence" in step.details:
            name += f" ({step.details['evidence']})"
        found[name] = found.get(name, 0) + 1
    if not found:
        return ""
    texts = [f"{count} x {name}" for name, count in found.items()]
    return "attempts that did nothing: " + ", ".join(texts)


def _describe_missing_end(steps: list[Step]) -> str:
    """Returns where to look for the cause of a job without a logged end."""
    admitted = _find_last(steps, {"job admitted"})
    if admitted is None:
        return "it was never admitted"
    return f"check what happened to {admitted.host} after {admitted.time}"
