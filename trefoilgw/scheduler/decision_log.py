"""Log lines of a scheduler's decisions; `docs/logs.md` lists their fields."""

import logging

from trefoilgw.messages import runs
from trefoilgw.scheduling import actions
from trefoilgw.scheduling import jobs
from trefoilgw.scheduling import runners
from trefoilgw.work import core as work

# Log lines are filtered by this name.
log = logging.getLogger("trefoilgw.scheduler.lines")


def log_job_admitted(
    job: jobs.Job, waiting_count: int, version: int, now_s: float
) -> None:
    """Logs that a job was admitted.

    Args:
        job: The admitted job.
        waiting_count: Number of jobs with waiting tasks, including this one if
            it waits.
        version: Version of the configuration that the decision used.
        now_s: Current time in seconds.
    """
    log.info(
        "job admitted",
        extra={
            "job": job.key,
            "queue": job.spec.queue.name,
            "configuration": version,
            "tasks": len(job.tasks),
            "first_run": job.tasks[0].run,
            "expected_s": round(job.expected_s, 3),
            "wait_s": round(job.predicted_wait_s, 3),
            "slack_s": round(job.latest_start_s - now_s, 3),
            "line": waiting_count,
        },
    )


def log_job_rejected(
    spec: work.JobSpec,
    outcome: actions.Rejected,
    waiting_count: int,
    version: int,
) -> None:
    """Logs that a job was rejected at admission."""
    log.warning(
        "job rejected",
        extra={
            "job": spec.key,
            "queue": spec.queue.name,
            "configuration": version,
            "reason": outcome.reason,
            "retry_after_s": round(outcome.retry_after_s or 0.0, 3),
            "wait_s": round(outcome.wait_s, 3),
            "slack_s": round(outcome.slack_s, 3),
            "ahead_millicores": outcome.ahead_millicores,
            "rate": round(outcome.rate),
            "line": waiting_count,
        },
    )


def log_tasks_sent(
    view: runners.RunnerView, message: runs.StartRuns, now_s: float
) -> None:
    """Logs the start orders to a runner, one line for each job."""
    report = view.report
    for group in message.groups:
        first = group.orders[0]
        log.info(
            "tasks sent",
            extra={
                "job": first.task.partition(".")[0],
                "task": first.task,
                "run": first.run,
                "tasks": len(group.orders),
                "runner": view.name,
                "offer": message.offer,
                "report_age_s": round(now_s - view.last_report_s, 3),
                "free_millicores": report.free.cpu_millicores if report else 0,
            },
        )


def log_task_repeated(repeated: actions.Repeated) -> None:
    """Logs that a task is placed again, and why its run can't work any longer.

    A run that has certainly not started is no failure, and refusals come in
    floods. All others are logged as failures, with a budget of their own.
    """
    end = repeated.end
    match end.evidence:
        case work.Evidence.NOT_RUN:
            level = logging.INFO
        case (
            work.Evidence.ENDED
            | work.Evidence.LEASE_EXPIRED
            | work.Evidence.OTHER_LIFE
            | work.Evidence.NONE
        ):
            level = logging.WARNING
        case _:
            raise ValueError(f"no evidence: {end.evidence!r}")
    log.log(
        level,
        "task repeated",
        extra={
            "task": repeated.task,
            "run": repeated.run,
            "runner": repeated.runner,
            "incarnation": repeated.incarnation,
            "instance": end.instance,
            "born": end.started_ms,
            "ending": str(end.ending),
            "reason": end.reason,
            "evidence": str(end.evidence),
            "age_s": round(repeated.age_s, 3),
        },
    )


def log_run_not_done(runner: str, ended: runs.RunEnded) -> None:
    """Logs the failure after which a task is not repeated."""
    log.warning(
        "run not done",
        extra={
            "task": ended.task,
            "run": ended.run,
            "runner": runner,
            "ending": ended.ending,
            "reason": ended.reason,
            "run_s": round(ended.run_s, 3),
        },
    )


def log_job_ended(
    job: jobs.Job, outcome: actions.Outcome, now_s: float
) -> None:
    """Logs the outcome of a job."""
    extra = {
        "job": job.key,
        "queue": job.spec.queue.name,
        "outcome": outcome_name(outcome),
        "took_s": round(now_s - job.admitted_s, 3),
        "attempts": sum(x.attempts for x in job.tasks),
    }
    match outcome:
        case actions.Failed(task=task):
            extra["task"] = task
        case (
            actions.Rejected(reason=reason) | actions.Unfinished(reason=reason)
        ):
            extra["reason"] = reason
    done = isinstance(outcome, actions.Completed)
    log.log(logging.INFO if done else logging.WARNING, "job ended", extra=extra)


def outcome_name(outcome: actions.Outcome) -> str:
    """Returns the name of an outcome in log lines and metrics."""
    return type(outcome).__name__.lower()
