"""Prepares the interpreter before the modules of a program are imported."""

import signal
import time

from trefoilgw.processes import unused_modules

# Start of the process on the clock of `timers.clock`, which can't be imported
# before `prepare`.
BEGAN_S = time.clock_gettime(time.CLOCK_BOOTTIME)


def prepare() -> None:
    """Blocks unused modules and makes the standard library yield to eventlet.

    SIGHUP is ignored until the program handles it. Its settings are read after
    this, and its default action would end the process.

    Notes:
        Threads are left unpatched. The programs start none, and patching them
        searches all objects for locks, which takes a fifth of the time until a
        runner is up. No lock may therefore be held while waiting.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    unused_modules.block()
    import eventlet

    eventlet.monkey_patch(thread=False)
