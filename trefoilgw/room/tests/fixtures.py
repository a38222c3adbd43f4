"""Capacity allocators with a target and schedulers, for tests."""

from trefoilgw.messages import runs as messages
from trefoilgw.room import actions
from trefoilgw.room import core as room
from trefoilgw.work import core as work

A = "a" * 16
B = "b" * 16
TASK_DEMAND = messages.Room(1000, 64, 0)


def make_target(started_ms=1, draining=False, sequence=1, cores=4):
    return work.Target(
        "i-1",
        started_ms,
        "proof",
        work.Demand(cores * 1000, 8192, 0),
        draining,
        sequence,
    )


def make_allocator(*names, cores=4):
    """Returns an allocator with a usable target and connected schedulers."""
    allocator = room.CapacityAllocator()
    allocator.target_reported(make_target(cores=cores))
    allocator.runs_reconciled = True
    for name in names:
        allocator.owner_connected(name, 0.0)
    allocator.take_actions()
    return allocator


def make_order(
    task, run=1, expected_s=1.0, need=TASK_DEMAND, urgency=2, **changes
):
    return messages.RunOrder(task, run, need, expected_s, urgency, **changes)


def start_runs(allocator, name, *tasks, offer=0, now_s=0.1, **kwargs):
    """Requests runs and returns the resulting actions."""
    orders = tuple(make_order(x, **kwargs) for x in tasks)
    groups = (messages.RunGroup("p", orders),) if orders else ()
    allocator.start_runs(name, messages.StartRuns(offer, groups), now_s)
    return allocator.take_actions()


def start_confirmed(allocator, name, *tasks, now_s=0.1, **kwargs):
    """Starts runs and confirms their start."""
    start_runs(allocator, name, *tasks, now_s=now_s, **kwargs)
    for task in tasks:
        allocator.run_started(task, 1, now_s)


def update_bid(
    allocator, name, slack_s, tasks=1, now_s=0.1, need=TASK_DEMAND, urgency=2
):
    """Sets the bid of a scheduler to a number of equal tasks."""
    wanted = messages.Room.of(need.demand.times(tasks))
    demands = (
        (messages.WaitingDemand(urgency, slack_s, need, wanted),)
        if tasks
        else ()
    )
    allocator.update_bid(name, messages.Bid(demands), now_s)


def started_tasks(issued):
    return [x.task for x in issued if isinstance(x, actions.Start)]


def stopped_tasks(issued):
    return [x.task for x in issued if isinstance(x, actions.Stop)]


def sent_messages(issued, message_type):
    """Returns owner and message of each message of a type."""
    return [
        (x.owner, x.message)
        for x in issued
        if isinstance(x, actions.SendMessage)
        and isinstance(x.message, message_type)
    ]


def sent_evidence(issued):
    """Returns task, evidence and target life of each reported end."""
    return [
        (x.task, x.evidence, x.instance, x.started_ms)
        for _, x in sent_messages(issued, messages.RunEnded)
    ]


def sent_endings(issued):
    """Returns owner, task, ending and reason of each reported end."""
    return [
        (owner, x.task, x.ending, x.reason)
        for owner, x in sent_messages(issued, messages.RunEnded)
    ]
