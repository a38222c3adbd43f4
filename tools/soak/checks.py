"""Checks what a soak has recorded: the runs of all targets and the answers."""

import collections
import json
import pathlib
from collections.abc import Iterable

import attrs

from tools import deployments
from tools.soak import plan as soak_plan

# Status of a submission without a response.
NO_ANSWER = 0
NOT_RUN = (429, 503)
UNKNOWN_OUTCOME = (NO_ANSWER, 502, 504)


@attrs.define(eq=False)
class Submission:
    """One request of a caller.

    Attributes:
        scheduler: Number of the scheduler.
        sent_s: When it was sent.
        limit_s: Time that the caller waited for at most.
        leaves: Whether the caller left early on purpose.
        ended_s: When it was answered or given up.
        status: Status of the response, `NO_ANSWER` without one.
        state: State of the job in the response.
        error: Kind of error without a response.
    """

    scheduler: int
    sent_s: float
    limit_s: float
    leaves: bool = False
    ended_s: float = 0.0
    status: int = NO_ANSWER
    state: str = ""
    error: str = ""


@attrs.define(eq=False)
class Call:
    """A caller's job.

    Attributes:
        key: Key of the job.
        kind: Kind of the job.
        submissions: Requests in order.
    """

    key: str
    kind: soak_plan.Kind
    submissions: list[Submission] = attrs.field(factory=list)

    @property
    def last(self) -> Submission:
        """The last request."""
        return self.submissions[-1]


@attrs.frozen
class Evacuation:
    """An evacuation of a failure domain.

    Attributes:
        domain: The domain.
        written_s: When the store had acknowledged it.
        ended_s: When it was about to be taken back.
    """

    domain: str
    written_s: float
    ended_s: float

    def obeyed_from_s(
        self, limit_s: float, store_faults: Iterable[tuple[float, float]]
    ) -> float:
        """Returns from when on nothing may start in the domain.

        While the store is hidden from all schedulers, and for as long after,
        nobody can be expected to know.

        Args:
            limit_s: Time in which the evacuation must be obeyed, in seconds.
            store_faults: Begin and end of the faults that hide the store.
        """
        from_s = self.written_s + limit_s
        for begin_s, end_s in sorted(store_faults):
            if begin_s < from_s and end_s > self.written_s:
                from_s = max(from_s, end_s + limit_s)
        return from_s


def read_runs(
    paths: dict[int, pathlib.Path], killed_s: dict[int, list[float]]
) -> list[dict]:
    """Returns the runs of all targets, also of those that were killed.

    Args:
        paths: Records by the number of the target.
        killed_s: Times at which targets had been killed, by number.
    """
    found = {}
    for number, path in paths.items():
        lines = path.read_text().splitlines() if path.exists() else ()
        for line in lines:
            run = json.loads(line) | {"target": number}
            key = (number, run["task"], run["run"], run["started_s"])
            found[key] = run
    for run in found.values():
        if run["ended_s"] is None:
            ends = killed_s.get(run["target"], ())
            later = [x for x in ends if x >= run["started_s"]]
            run["ended_s"] = min(later, default=None)
            run["how"] = "killed"
    return list(found.values())


def describe_run(run: dict, started_s: float) -> str:
    """Returns a run as text, with times since the start of the load."""
    end = run["ended_s"]
    text = "-" if end is None else f"{end - started_s:.3f}"
    return (
        f"run {run['run']} at target-{run['target']} "
        f"{run['started_s'] - started_s:.3f} to {text} {run['how']}"
    )


def runs_by_job(runs: list[dict]) -> dict[str, list[dict]]:
    """Returns the runs of each job by the job's key."""
    found = collections.defaultdict(list)
    for run in runs:
        found[run["task"].partition(".")[0]].append(run)
    return found


def unfinished_jobs(calls: list[Call], runs: list[dict]) -> list[str]:
    """Returns jobs answered as completed of which a task has not ended done."""
    by_job = runs_by_job(runs)
    found = []
    for call in calls:
        if call.last.status != 200 or call.last.state != "completed":
            continue
        done = {x["task"] for x in by_job[call.key] if x["how"] == "done"}
        if len(done) != call.kind.tasks:
            found.append(
                f"{call.key}: {len(done)} of {call.kind.tasks} tasks done"
            )
    return found


def started_rejects(calls: list[Call], runs: list[dict]) -> list[str]:
    """Returns jobs rejected as not run of which a task has started.

    After a submission without a definite answer the job may have run through
    another scheduler.
    """
    by_job = runs_by_job(runs)
    found = []
    for call in calls:
        statuses = [x.status for x in call.submissions]
        if set(statuses) <= set(NOT_RUN) and by_job[call.key]:
            tasks = sorted({x["task"] for x in by_job[call.key]})
            found.append(f"{call.key}: {statuses}, started {tasks}")
    return found


def evacuated_starts(
    runs: list[dict],
    evacuations: list[Evacuation],
    target_domains: dict[int, str],
    limit_s: float,
    store_faults: list[tuple[float, float]],
) -> list[str]:
    """Returns the runs that started in an evacuated domain too late.

    Args:
        runs: All runs.
        evacuations: All evacuations.
        target_domains: Failure domain of each target, by its number.
        limit_s: Time in which an evacuation must be obeyed, in seconds.
        store_faults: Begin and end of the faults that hide the store.
    """
    found = []
    for evacuation in evacuations:
        from_s = evacuation.obeyed_from_s(limit_s, store_faults)
        found += [
            f"{x['task']} run {x['run']} at target-{x['target']}, "
            f"{x['started_s'] - evacuation.written_s:.3f} s after the "
            f"evacuation of {evacuation.domain}"
            for x in runs
            if target_domains[x["target"]] == evacuation.domain
            and from_s < x["started_s"] < evacuation.ended_s
        ]
    return found


def stuck_calls(calls: list[Call], calm_s: float, limit_s: float) -> list[str]:
    """Returns submissions without an answer for a time without any fault.

    Args:
        calls: All calls.
        calm_s: End of the last fault.
        limit_s: Time after which an answer is due, in seconds.
    """
    found = []
    for call in calls:
        for x in call.submissions:
            waited_s = x.ended_s - max(x.sent_s, calm_s)
            unanswered = x.status == NO_ANSWER and not x.leaves
            if unanswered and waited_s >= limit_s:
                found.append(
                    f"{call.key} ({call.kind.queue}) at scheduler-"
                    f"{x.scheduler}, {x.error}: {x.ended_s - x.sent_s:.1f} s, "
                    f"{waited_s:.1f} s of them after the last fault"
                )
    return found


def unanswered_calls(calls: list[Call]) -> list[str]:
    """Returns submissions that had no answer within the caller's limit."""
    return [
        f"{call.key} ({call.kind.queue}) at scheduler-{x.scheduler}"
        for call in calls
        for x in call.submissions
        if x.status == NO_ANSWER
        and not x.leaves
        and x.ended_s - x.sent_s >= 0.95 * x.limit_s
    ]


def overlaps(runs: list[dict], started_s: float) -> list[str]:
    """Returns the pairs of overlapping runs of one task as text."""
    return [
        f"{first['task']}: {describe_run(first, started_s)}; "
        f"{describe_run(second, started_s)}"
        for first, second in deployments.overlapping_runs(runs)
    ]
