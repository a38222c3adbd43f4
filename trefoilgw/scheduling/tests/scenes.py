"""A scheduler with runners, for tests."""

from trefoilgw.messages import runs as messages
from trefoilgw.scheduling import actions
from trefoilgw.scheduling import core as scheduling
from trefoilgw.work import core as work

QUEUE = work.Queue("q", "h", "/q/", "proof", 0, 3, 1.6, 0.06)
ROOM = messages.Room(4000, 8192, 0)
NONE = messages.Room(0, 0, 0)


def queue(name="q", attempts_limit=3, stretch=1.6, latency_s=0.06):
    return work.Queue(
        name, "h", f"/{name}/", "proof", 0, attempts_limit, stretch, latency_s
    )


def job(key, tasks=1, declared_s=0.4, of=QUEUE, millicores=1000):
    demand = work.Demand(millicores, 64, 0)
    specs = tuple(
        work.TaskSpec(f"{key}.0.0.{index}", demand, declared_s)
        for index in range(tasks)
    )
    return work.JobSpec(key, of, "payload", specs)


def report(
    free=ROOM,
    received=0,
    usable=True,
    suspect=False,
    capacity=ROOM,
    freed=20_000,
    rivals=(),
):
    return messages.CapacityReport(
        received, usable, suspect, "proof", capacity, free, freed, rivals
    )


def scheduler(*names, free=ROOM, now_s=0.0):
    """Returns a scheduler that hears of runners with room."""
    found = scheduling.Scheduler("d1")
    for name in names:
        join(found, name, free=free, now_s=now_s)
    return found


def join(found, name, incarnation="i1", free=ROOM, now_s=0.0, held=()):
    found.runner_joined(name, incarnation, "d1", now_s)
    found.reconcile_runs(name, messages.ActiveRuns(held), now_s)
    found.capacity_reported(name, report(free), now_s)
    found.take_actions()


def sent(taken):
    """Returns runner, task and run of each attempt that was sent."""
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


def ended(found, name, task, run, ending, now_s=0.5, reason="", run_s=0.4):
    found.run_ended(
        name,
        messages.RunEnded(task, run, str(ending), reason, run_s),
        now_s,
    )
    return found.take_actions()
