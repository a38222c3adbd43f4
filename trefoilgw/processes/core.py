"""Runs a program from its settings to its stop.

Signals: SIGTERM and SIGINT end the program in order, SIGHUP reloads the
settings, which are also read again from time to time.
"""

import logging
import signal
import sys
from collections.abc import Callable
from typing import Protocol

from eventlet import event

from trefoilgw.logs import core as logs
from trefoilgw.platform import hosting as platform_hosting
from trefoilgw.timers import core as timers
from trefoilgw.work import hosting

# The settings may change without a signal.
SETTINGS_EVERY_S = 2.0

log = logging.getLogger(__name__)


class Program(Protocol):
    """What a program offers to its frame.

    Attributes:
        incarnation: 16 hex digits, new at every process start.
        timers: Its timer service.
    """

    incarnation: str
    timers: timers.TimerService

    def start(self) -> None:
        """Starts all parts."""

    def reload(self, settings: hosting.HostSettings) -> None:
        """Puts changed settings in force as far as a process can."""

    def leave(self) -> None:
        """Ends in order."""


def run(name: str, make: Callable[[hosting.HostSettings], Program]) -> int:
    """Runs a program until SIGTERM or SIGINT.

    Args:
        name: Name of the program, in each log line.
        make: Makes the program from its settings.

    Returns:
        0 after an orderly stop, 2 if the deployment asks for something that
        is not built.
    """
    settings = platform_hosting.load()
    logs.configure(name, stream=sys.stdout, host=settings.name)
    if settings.unsupported:
        log.error("not supported", extra={"what": settings.unsupported})
        return 2
    program = make(settings)
    stop = event.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.ready() or stop.send())
    watch = platform_hosting.SettingsWatch(settings, program.reload)
    signal.signal(signal.SIGHUP, lambda *_: watch.check())
    program.start()
    program.timers.every(SETTINGS_EVERY_S, watch.check)
    log.info("started", extra={"incarnation": program.incarnation})
    stop.wait()
    program.leave()
    return 0
