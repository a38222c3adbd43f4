"""Random histories for the property test of run ends, replay and shortening.

`python -m trefoilgw.tests.run_ends_walks SEED` prints the violation of a seed,
the shortest list of steps found that still leads to it, and what happens.
"""

import logging
import random
import sys

import attrs

from trefoilgw.tests import run_ends_kernel as kernel
from trefoilgw.tests import run_ends_processes as processes
from trefoilgw.tests import run_ends_targets as targets
from trefoilgw.work import core as work

DURATIONS_S = (0.05, 0.2, 0.45, 0.8, 0.95, 1.2, 2.0, 3.2)
# Time until the first streams are open and the targets are known.
WARM_UP_S = 0.8
MAX_GAP_S = 0.5
STEPS = 16
# Time after the last step in which late calls are carried out.
COOL_DOWN_S = 4.0


@attrs.frozen
class Step:
    """An operation and when it follows the one before.

    Attributes:
        gap_s: Time after the step before.
        name: The operation.
        a: First choice, 0 to 7, mostly of the host.
        b: Second choice, 0 to 7, mostly of a duration.
        c: Third choice, 0 to 7, mostly of the kind.
    """

    gap_s: float
    name: str
    a: int
    b: int
    c: int


@attrs.frozen
class History:
    """All choices of a history.

    Attributes:
        seed: Seed of the choices that the steps leave open.
        shape: Choice of the hosts, 0 to 3.
        steps: The operations.
        second_address: Whether the runners know a scheduler by two addresses.
    """

    seed: int
    shape: int
    steps: tuple[Step, ...]
    second_address: bool = False


def submit(fleet, a, b, c):
    """Submits a job."""
    number = len(fleet.sources)
    key = f"job{number}"
    fleet.sources[key] = key
    tasks = tuple(
        work.TaskSpec(f"{key}.0.0.{x}", work.Demand(1000, 64, 0), 1.0)
        for x in range(1 + b % 2)
    )
    fleet.submit(work.JobSpec(key, processes.QUEUE, "p", tasks), a)


def stop_runner(fleet, a, b, c):
    """Stops a runner as by SIGSTOP, at once or at a reading of its clock."""
    runner = fleet.runners[a % len(fleet.runners)]
    _stop(fleet, runner.process, b, c)


def stop_scheduler(fleet, a, b, c):
    """Stops a scheduler; some of its callers leave meanwhile."""
    scheduler = fleet.schedulers[a % len(fleet.schedulers)]
    _stop(fleet, scheduler.process, b, c)
    if c % 2:
        for call in fleet.calls:
            if call.scheduler is scheduler:
                fleet.leave(call)


def _stop(fleet, process, b, c):
    """Stops a process now, when it has spawned, or when it reads its clock."""
    if c < 3:
        fleet.world.stop(process, DURATIONS_S[b])
    elif process.alive and not process.stopped:
        process.stop_s = DURATIONS_S[b]
        process.stop_after_reading = c % 2 == 0
        if c < 6:
            process.spawns_left = fleet.world.rng.randint(1, 6)
        else:
            process.readings_left = fleet.world.rng.randint(1, 30)


def restart_runner(fleet, a, b, c):
    """Kills a runner, which starts again later."""
    position = a % len(fleet.runners)
    fleet.restart_runner(position, DURATIONS_S[b], c % 2 == 1)


def restart_scheduler(fleet, a, b, c):
    """Kills a scheduler, which starts again later."""
    position = a % len(fleet.schedulers)
    fleet.restart_scheduler(position, DURATIONS_S[b], c % 2 == 1)


def cut(fleet, a, b, c):
    """Cuts a link in one direction or both, or all links of a host."""
    runner = f"runner{a % len(fleet.runners)}"
    scheduler = f"scheduler{(a // 4) % len(fleet.schedulers)}"
    runners = [runner]
    schedulers = [scheduler]
    if c >= 6:
        runners = [f"runner{x}" for x in range(len(fleet.runners))]
    if c in (4, 5):
        schedulers = [f"scheduler{x}" for x in range(len(fleet.schedulers))]
    until_s = fleet.world.now_s + DURATIONS_S[b]
    for first in runners:
        for second in schedulers:
            routes = ((first, second), (second, first))
            for position, route in enumerate(routes):
                if c in (0, 1) and c != position:
                    continue
                fleet.world.note("cut {} for {}", route, DURATIONS_S[b])
                fleet.cuts[route] = max(until_s, fleet.cuts.get(route, 0.0))


def reset_streams(fleet, a, b, c):
    """Resets open streams, for both ends or one of them."""
    open_streams = [
        x for x in fleet.streams if not (x[0].closed and x[1].closed)
    ]
    if not open_streams:
        return
    near, far = open_streams[a % len(open_streams)]
    fleet.world.note("stream reset at {}", near.process.name)
    if c != 1:
        near.reset()
    if c != 2:
        far.reset()


def disturb_target(fleet, a, b, c):
    """Lets calls of a target go wrong for a while."""
    target = fleet.targets[a % len(fleet.targets)]
    calls = (
        targets.CALLS,
        targets.CALLS,
        ("start",),
        ("stop",),
        ("hold",),
        ("start", "stop"),
    )[fleet.world.rng.randrange(6)]
    _disturb(fleet, target, targets.MODES[c], calls, b)


def _disturb(fleet, target, mode, calls, b):
    """Lets some calls of a target go wrong for a while."""
    target.mode, target.mode_calls = mode, calls
    target.mode_until_s = fleet.world.now_s + DURATIONS_S[b]
    fleet.world.note(
        "{} {} {} for {}",
        target.name,
        target.mode,
        target.mode_calls,
        DURATIONS_S[b],
    )


def restart_target(fleet, a, b, c):
    """Restarts a target, as the same instance or as another one."""
    fleet.restart_target(a % len(fleet.targets), c % 2 == 0, c < 4)


def report(fleet, a, b, c):
    """Sends a late or foreign report, or a deregistration."""
    position = a % len(fleet.targets)
    target, runner = fleet.targets[position], fleet.runners[position]
    if not runner.process.alive:
        return
    sent = target.report()
    fleet.world.note("{} report {}", target.name, c)
    match c:
        case 0 | 1:
            runner.leave(sent.instance, (0, sent.started_ms)[c])
            if b % 2:
                _disturb(fleet, target, "refused", targets.CALLS, b)
        case 2:
            runner.report(attrs.evolve(sent, instance="other"))
        case 3:
            runner.report(attrs.evolve(sent, started_ms=sent.started_ms + 7))
        case 4:
            runner.report(attrs.evolve(sent, started_ms=0))
        case 5:
            runner.report(attrs.evolve(sent, draining=True))
        case 6:
            runner.report(attrs.evolve(sent, started_ms=sent.started_ms - 7))
        case _:
            fleet.world.after(
                DURATIONS_S[b],
                lambda: fleet.runners[position].report(sent),
            )


def leave(fleet, a, b, c):
    """Lets a caller leave."""
    waiting = [x for x in fleet.calls if not x.closed]
    if waiting:
        fleet.leave(waiting[a % len(waiting)])


WEIGHTS = {
    submit: 6,
    stop_runner: 3,
    stop_scheduler: 2,
    restart_runner: 2,
    restart_scheduler: 1,
    cut: 3,
    reset_streams: 2,
    disturb_target: 5,
    restart_target: 1,
    report: 2,
    leave: 1,
}
OPERATIONS = {x.__name__: x for x in WEIGHTS}
FAULTS = [x.__name__ for x in WEIGHTS if x is not submit]


def make_history(seed: int, steps: int = STEPS) -> History:
    """Returns the history of a seed.

    It leaves out about half of the kinds of faults ("swarm testing", Groce and
    others 2012).
    """
    rng = random.Random(seed)
    left_out = {x for x in FAULTS if rng.random() < 0.5}
    names = [x for x in OPERATIONS if x not in left_out]
    weights = [WEIGHTS[OPERATIONS[x]] for x in names]
    return History(
        seed,
        rng.randrange(4),
        tuple(
            Step(
                rng.choice((0.0, 0.02, 0.1, 0.3, MAX_GAP_S)),
                rng.choices(names, weights)[0],
                rng.randrange(8),
                rng.randrange(8),
                rng.randrange(8),
            )
            for _ in range(steps)
        ),
    )


def play(history: History) -> processes.Fleet:
    """Runs a history.

    Raises:
        kernel.ViolationError: A run was at work after its end was reported. Its
            `fleet` holds the state.
    """
    world = kernel.World(history.seed)
    logging.disable(logging.CRITICAL)
    fleet = None
    try:
        with kernel.active(world):
            shape = history.shape
            fleet = processes.Fleet(
                world,
                1 + (shape & 1),
                2 + (shape >> 1),
                history.second_address,
            )
            now_s = WARM_UP_S
            for position in range(3):
                world.after(now_s, lambda x=position: submit(fleet, x, x, 0))
            for step in history.steps:
                now_s += step.gap_s
                world.after(
                    now_s,
                    lambda x=step: OPERATIONS[x.name](fleet, x.a, x.b, x.c),
                )
            world.run(now_s + COOL_DOWN_S)
    except kernel.ViolationError as violation:
        violation.fleet = fleet
        raise
    finally:
        logging.disable(logging.NOTSET)
    return fleet


def violation_of(history: History) -> kernel.ViolationError | None:
    """Returns the violation of a history, None if there is none."""
    try:
        play(history)
    except kernel.ViolationError as violation:
        return violation
    return None


def shorten(history: History) -> History:
    """Returns a history without the steps that its violation doesn't need."""
    position = len(history.steps) - 1
    while position >= 0:
        step = history.steps[position]
        before = history.steps[:position]
        after = history.steps[position + 1 :]
        if after:
            gap_s = after[0].gap_s + step.gap_s
            after = (attrs.evolve(after[0], gap_s=gap_s), *after[1:])
        fewer = attrs.evolve(history, steps=before + after)
        if violation_of(fewer) is not None:
            history = fewer
        position -= 1
    return history


def main(seed: int) -> int:
    """Prints the result of a seed; returns 1 if it is a violation."""
    history = make_history(seed)
    if violation_of(history) is None:
        print(f"seed {seed}: no violation")
        return 0
    history = shorten(history)
    violation = violation_of(history)
    for step in history.steps:
        print(step)
    for at_s, text in violation.fleet.world.trace:
        print(f"{at_s:8.4f} {text}")
    return 1


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1])))
