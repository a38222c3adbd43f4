"""A room keeper with a target and schedulers, for tests."""

from trefoilgw.messages import runs as messages
from trefoilgw.room import actions
from trefoilgw.room import core as room
from trefoilgw.work import core as work

A = "a" * 16
B = "b" * 16
TASK_ROOM = messages.Room(1000, 64, 0)


def target(started_ms=1, draining=False, sequence=1, cores=4):
    return work.Target(
        "i-1",
        started_ms,
        "proof",
        work.Demand(cores * 1000, 8192, 0),
        draining,
        sequence,
    )


def keeper(*names, cores=4):
    """Returns a keeper with a usable target and connected schedulers."""
    found = room.RoomKeeper()
    found.target_reported(target(cores=cores))
    found.settled = True
    for name in names:
        found.owner_joined(name, 0.0)
    found.take_actions()
    return found


def order(task, run=1, expected_s=1.0, need=TASK_ROOM, urgency=2):
    return messages.RunOrder(task, run, need, expected_s, urgency)


def start(found, name, *tasks, offer=0, now_s=0.1, **kwargs):
    """Asks for runs and returns the actions."""
    orders = tuple(order(x, **kwargs) for x in tasks)
    groups = (messages.RunGroup("p", orders),) if orders else ()
    found.start_runs(name, messages.StartRuns(offer, groups), now_s)
    return found.take_actions()


def running(found, name, *tasks, now_s=0.1, **kwargs):
    """Starts runs that the target confirms."""
    start(found, name, *tasks, now_s=now_s, **kwargs)
    for task in tasks:
        found.run_started(task, 1, now_s)


def bid(found, name, slack_s, tasks=1, now_s=0.1, need=TASK_ROOM, urgency=2):
    """Makes a scheduler bid for a number of equal tasks."""
    wanted = messages.Room.of(need.demand.times(tasks))
    demands = (
        (messages.WaitingDemand(urgency, slack_s, need, wanted),)
        if tasks
        else ()
    )
    found.bid_changed(name, messages.Bid(demands), now_s)


def starts(taken):
    return [x.task for x in taken if isinstance(x, actions.Start)]


def stops(taken):
    return [x.task for x in taken if isinstance(x, actions.Stop)]


def told(taken, kind):
    """Returns owner and message of each message of a kind."""
    return [
        (x.owner, x.message)
        for x in taken
        if isinstance(x, actions.Tell) and isinstance(x.message, kind)
    ]


def endings(taken):
    """Returns owner, task, ending and reason of each end that was told."""
    return [
        (owner, x.task, x.ending, x.reason)
        for owner, x in told(taken, messages.RunEnded)
    ]
