"""Seeded random histories of the simulation, with replay and shrinking.

`python -m trefoilgw.tests.at_most_once_walks SEED` runs the history of a seed
and prints its violation, with the shortest history found that still leads to
one.
"""

import random
import sys

from trefoilgw.tests import at_most_once_model as model
from trefoilgw.tests import at_most_once_processes as processes

STEPS = 80

# Histories begin with one of these. Without a prepared situation, most of them
# would end before any work of interest is in progress.
CONNECTED = (
    *[("deliver_to_agent", 0, 0, 0)] * 4,
    *[("deliver_to_home", 0, 0, 0)] * 8,
)
# The second of two dispatches is left in a stream that the home replaced.
STALE_DISPATCH = (
    *CONNECTED,
    ("submit_new", 1, 0, 1),
    ("dispatch", 7, 0, 0),
    ("deliver_to_agent", 0, 0, 0),
    ("call_target", 0, 0, 0),
    ("dispatch", 7, 0, 0),
    ("reconnect", 1, 0, 0),
)
INITIAL_HISTORIES = (
    (),
    CONNECTED,
    STALE_DISPATCH,
    (("limit_ledger", 0, 0, 0), *STALE_DISPATCH),
)


def walk(seed: int, steps: int = STEPS, **options) -> model.Simulation:
    """Runs the history of one seed.

    Args:
        seed: Chooses the initial history, the operations and the steps.
        steps: Number of random steps after the initial history.
        **options: Options of `model.Simulation`.

    Raises:
        processes.ViolationError: A guarantee was violated; the arguments are
            a text with the seed, and the history.
    """
    simulation = model.Simulation(**options)
    rng = random.Random(seed)
    # Each history leaves out about half of the faults ("swarm testing",
    # Groce and others 2012).
    faults = model.FAULTS
    operations = model.weighted_operations(
        frozenset(f for f in faults if rng.random() < 0.5)
    )
    bits = rng.getrandbits
    try:
        for step in INITIAL_HISTORIES[seed % len(INITIAL_HISTORIES)]:
            simulation.apply(*step)
        for _ in range(steps):
            choice = rng.randrange(len(operations))
            simulation.step(choice, bits(3), bits(3), bits(3), operations)
    except processes.ViolationError as violation:
        text = f"seed {seed}, step {len(simulation.history)}: {violation}"
        raise processes.ViolationError(
            text, tuple(simulation.history)
        ) from None
    return simulation


def walk_all(count: int, **options) -> None:
    """Runs the histories of the seeds 0 to `count` - 1.

    Raises:
        processes.ViolationError: See `walk`.
    """
    for seed in range(count):
        walk(seed, **options)


def replay(history, **options) -> str | None:
    """Returns the violation that a history leads to; None if there is none."""
    simulation = model.Simulation(**options)
    try:
        for step in history:
            simulation.apply(*step)
    except processes.ViolationError as violation:
        return str(violation)
    return None


def shrink(history, **options) -> list:
    """Returns a history without the steps that its violation doesn't need."""
    steps = list(history)
    position = len(steps) - 1
    while position >= 0:
        fewer = steps[:position] + steps[position + 1 :]
        if replay(fewer, **options) is not None:
            steps = fewer
            position = min(position, len(steps))
        position -= 1
    return steps


def main(seed: int) -> int:
    """Prints the result of a seed; returns 1 if it is a violation."""
    try:
        walk(seed)
    except processes.ViolationError as violation:
        text, history = violation.args
        print(text)
        for step in shrink(history):
            print(*step)
        return 1
    print(f"seed {seed}: no violation")
    return 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1])))
