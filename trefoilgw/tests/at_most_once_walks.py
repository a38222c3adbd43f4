"""Seeded random histories of the model, and how to print one again.

`python -m trefoilgw.tests.at_most_once_walks SEED` shows the shortest part of
a history that still breaks a promise.
"""

import random
import sys

from trefoilgw.tests import at_most_once_model as model
from trefoilgw.tests import at_most_once_world as worlds

STEPS = 80

# Histories begin in one of these situations; from nothing at all, most would
# end before anything of interest was under way.
CONNECTED = (
    *[("deliver_to_agent", 0, 0, 0)] * 4,
    *[("deliver_to_home", 0, 0, 0)] * 8,
)
# The second of two dispatches of the home is in a stream that it replaced.
CUT_OFF = (
    *CONNECTED,
    ("submit_new", 1, 0, 1),
    ("dispatch", 7, 0, 0),
    ("deliver_to_agent", 0, 0, 0),
    ("call_target", 0, 0, 0),
    ("dispatch", 7, 0, 0),
    ("reconnect", 1, 0, 0),
)
SCENES = (
    (),
    CONNECTED,
    CUT_OFF,
    (("limit_ledger", 0, 0, 0), *CUT_OFF),
)


def walk(seed: int, steps: int = STEPS, **options) -> model.World:
    """Runs one history; a violation carries it in its text."""
    world = model.World(**options)
    rng = random.Random(seed)
    # Each history leaves out about half of the faults ("swarm testing",
    # Groce and others 2012).
    faults = model.FAULTS
    order = model.spread(frozenset(f for f in faults if rng.random() < 0.5))
    bits = rng.getrandbits
    try:
        for step in SCENES[seed % len(SCENES)]:
            world.apply(*step)
        for _ in range(steps):
            choice = rng.randrange(len(order))
            world.step(choice, bits(3), bits(3), bits(3), order)
    except worlds.ViolationError as violation:
        text = f"seed {seed}, step {len(world.history)}: {violation}"
        raise worlds.ViolationError(text, tuple(world.history)) from None
    return world


def walk_all(count: int, **options) -> None:
    """Runs the histories of the first seeds."""
    for seed in range(count):
        walk(seed, **options)


def replay(history, **options) -> str | None:
    """Returns the violation at the end of a history, None if there is none."""
    world = model.World(**options)
    try:
        for step in history:
            world.apply(*step)
    except worlds.ViolationError as violation:
        return str(violation)
    return None


def shortest(history, **options) -> list:
    """Returns a history without the steps that a violation does not need."""
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
    """Prints what a seed finds; returns 1 if it finds a violation."""
    try:
        walk(seed)
    except worlds.ViolationError as violation:
        text, history = violation.args
        print(text)
        for step in shortest(history):
            print(*step)
        return 1
    print(f"seed {seed}: no violation")
    return 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1])))
