"""Builders of schedulers, jobs and reports for tests, and action filters."""

import random

from trefoilgw.messages import runs as messages
from trefoilgw.scheduling import actions
from trefoilgw.scheduling import core as scheduling
from trefoilgw.work import core as work

QUEUE = work.Queue("q", "h", "/q/", "proof", 0, 3, 1.6, 0.06)
CAPACITY = messages.Room(4000, 8192, 0)
NO_CAPACITY = messages.Room(0, 0, 0)


def queue(name="q", attempts_limit=3, stretch=1.6, latency_s=0.06):
    return work.Queue(
        name, "h", f"/{name}/", "proof", 0, attempts_limit, stretch, latency_s
    )


def job(key, tasks=1, declared_s=0.4, in_queue=QUEUE, millicores=1000):
    demand = work.Demand(millicores, 64, 0)
    specs = tuple(
        work.TaskSpec(f"{key}.0.0.{index}", demand, declared_s)
        for index in range(tasks)
    )
    return work.JobSpec(key, in_queue, "payload", specs)


def make_report(
    free=CAPACITY,
    starts_received=0,
    usable=True,
    suspect=False,
    capacity=CAPACITY,
    freed_cpu=20_000,
    competing_cpu=(),
    schedulers=0,
    others_started=(),
    **changes,
):
    return messages.CapacityReport(
        starts_received,
        usable,
        suspect,
        "proof",
        capacity,
        free,
        freed_cpu,
        competing_cpu,
        schedulers,
        others_started,
        **changes,
    )


def make_scheduler(*names, free=CAPACITY, now_s=0.0):
    """Returns a scheduler with connected runners of some free capacity."""
    scheduler = scheduling.Scheduler("d1", rng=random.Random(1))
    for name in names:
        connect_runner(scheduler, name, free=free, now_s=now_s)
    return scheduler


def connect_runner(
    scheduler, name, incarnation="i1", free=CAPACITY, now_s=0.0, active_runs=()
):
    scheduler.runner_connected(name, incarnation, "d1", now_s)
    scheduler.reconcile_runs(name, messages.ActiveRuns(active_runs), now_s)
    scheduler.capacity_reported(name, make_report(free), now_s)
    scheduler.take_actions()


def sent(taken):
    """Returns runner, task and run number of each attempt that was sent."""
    return [
        (x.runner, order.task, order.run)
        for x in taken
        if isinstance(x, actions.SendMessage)
        and isinstance(x.message, messages.StartRuns)
        for group in x.message.groups
        for order in group.orders
    ]


def stopped(taken):
    return [
        (x.runner, ref.task, ref.run)
        for x in taken
        if isinstance(x, actions.SendMessage)
        and isinstance(x.message, messages.StopRuns)
        for ref in x.message.runs
    ]


def answers(taken):
    return [
        (x.job.key, x.outcome) for x in taken if isinstance(x, actions.Answer)
    ]


def bids(taken):
    return [
        (x.runner, x.message)
        for x in taken
        if isinstance(x, actions.SendMessage)
        and isinstance(x.message, messages.Bid)
    ]


def repeats(taken):
    return [x for x in taken if isinstance(x, actions.Repeated)]


def end_run(
    scheduler,
    name,
    task,
    run,
    ending,
    now_s=0.5,
    reason="",
    run_s=0.4,
    evidence=work.Evidence.ENDED,
):
    ended = messages.RunEnded(
        task, run, str(ending), reason, run_s, str(evidence), "i-1", 7
    )
    scheduler.run_ended(name, ended, now_s)
    return scheduler.take_actions()
