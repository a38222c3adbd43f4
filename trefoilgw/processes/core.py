"""Runs a program from its settings to its stop.

Signals: SIGTERM and SIGINT end the program in order, SIGHUP reloads the
settings, which are also read again from time to time.
"""

import argparse
import logging
import signal
import sys
from collections.abc import Callable
from typing import Protocol

from eventlet import event

from trefoilgw.callers import server
from trefoilgw.logs import core as logs
from trefoilgw.metrics import core as metrics
from trefoilgw.metrics import serving
from trefoilgw.platform import hosting as platform_hosting
from trefoilgw.timers import core as timers
from trefoilgw.work import hosting

# The settings may change without a signal.
SETTINGS_EVERY_S = 2.0
# Lines are written together, since each wake-up and each write costs processor
# time; a process that is killed loses this much.
LOG_EVERY_S = 0.2

log = logging.getLogger(__name__)


class Program(Protocol):
    """What a program offers to its frame.

    Attributes:
        incarnation: 16 hex digits, new at every process start.
        timers: Its timer service.
        registry: Its metrics.
    """

    incarnation: str
    timers: timers.TimerService
    registry: metrics.Registry

    def start(self) -> None:
        """Starts all parts."""

    def reload(self, settings: hosting.HostSettings) -> None:
        """Puts changed settings in force as far as a process can."""

    def shut_down(self) -> None:
        """Ends in order."""


def _parser(name: str) -> argparse.ArgumentParser:
    """Returns the parser of a program's arguments."""
    parser = argparse.ArgumentParser(f"trefoilgw-{name}")
    parser.add_argument(
        "--metrics-port",
        type=int,
        default=0,
        help="port on the host's address for GET /metrics; 0 for none",
    )
    return parser


def run(name: str, make: Callable[[hosting.HostSettings], Program]) -> int:
    """Runs a program until SIGTERM or SIGINT.

    Args:
        name: Name of the program, in each log line.
        make: Makes the program from its settings.

    Returns:
        0 after an orderly stop, 2 if the deployment asks for something that
        is not built.

    Raises:
        OSError: An address can't be bound, or the settings can't be read.
        SystemExit: The arguments are wrong.
    """
    options = _parser(name).parse_args()
    settings = platform_hosting.load()
    handler = logs.configure_bounded(
        name, sys.stdout.fileno(), host=settings.name
    )
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
    if options.metrics_port:
        address = f"{settings.address}:{options.metrics_port}"
        server.HttpServer(serving.Application(program.registry)).listen(address)
    program.timers.every(SETTINGS_EVERY_S, watch.check)
    program.timers.every(LOG_EVERY_S, handler.poll)
    log.info("started", extra={"incarnation": program.incarnation})
    stop.wait()
    program.shut_down()
    return 0
