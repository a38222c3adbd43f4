"""Runs a case on a fleet of its own."""

import os
import pathlib
import signal
import sys
import traceback
from collections.abc import Callable

import fleet

# Whether the disruption takes place.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Exit statuses of the program; `run.sh` turns them into those of a case.
HELD = 0
COULD_NOT_RUN = 2
BROKEN = 11


def run(
    folder: str,
    play: Callable[[fleet.Fleet], str],
    warm_up: bool = True,
    **sizes,
) -> None:
    """Plays a case on a fleet of its own and ends the process.

    Args:
        folder: Folder of the case, for its record.
        play: Plays the case; returns how the rule was broken, or nothing.
        warm_up: Whether each front serves a small job first.
        **sizes: Sizes of the fleet.
    """
    # Whoever ends the program must not leave the fleet behind.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    made = None
    status = COULD_NOT_RUN
    try:
        made = fleet.Fleet(pathlib.Path(folder).resolve().parent, **sizes)
        made.record.write(f"disruption: {'yes' if TROUBLE else 'no'}")
        made.start(warm_up)
        broken = play(made)
        made.record.write(f"RULE BROKEN: {broken}" if broken else "rule held")
        print(broken or "rule held")
        status = BROKEN if broken else HELD
    except Exception:
        traceback.print_exc()
        if made is not None:
            made.record.write(f"could not run: {traceback.format_exc()}")
    finally:
        if made is not None:
            made.close()
    sys.stdout.flush()
    os._exit(status)
