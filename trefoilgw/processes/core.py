"""Runs a program from loading its settings to its orderly stop.

SIGTERM and SIGINT stop the program in order. SIGHUP reloads the settings,
which are also checked for changes periodically. Before the settings are first
read, `startup` ignores it.
"""

import argparse
import logging
import signal
import sys
from collections.abc import Callable
from typing import Protocol

from eventlet import event

from trefoilgw.callers import limiting
from trefoilgw.logs import core as logs
from trefoilgw.metrics import core as metrics
from trefoilgw.metrics import serving
from trefoilgw.platform import hosting as platform_hosting
from trefoilgw.processes import garbage
from trefoilgw.timers import core as timers
from trefoilgw.work import hosting

# The settings file may change without a SIGHUP.
SETTINGS_CHECK_INTERVAL_S = 2.0
# Log lines are written in batches, since each wake-up and each write costs CPU
# time. A process that is killed loses the lines of up to this time.
LOG_FLUSH_INTERVAL_S = 0.2

log = logging.getLogger(__name__)


class Program(Protocol):
    """Interface that `run` requires of a program.

    Attributes:
        incarnation: 16 hex digits, new at every process start.
        timers: The program's timer service.
        registry: The program's metrics.
    """

    incarnation: str
    timers: timers.TimerService
    registry: metrics.Registry

    def start(self) -> None:
        """Opens the ports and starts all components."""

    def reload(self, settings: hosting.HostSettings) -> None:
        """Applies changed settings that take effect without a restart."""

    def shut_down(self) -> None:
        """Stops in order; blocks until the program has stopped."""


def _argument_parser(name: str) -> argparse.ArgumentParser:
    """Returns the parser of a program's command line."""
    parser = argparse.ArgumentParser(f"trefoilgw-{name}")
    parser.add_argument(
        "--metrics-port",
        type=int,
        default=0,
        help="port on the host's address for GET /metrics; 0 for none",
    )
    return parser


def run(
    name: str, make_program: Callable[[hosting.HostSettings], Program]
) -> int:
    """Runs a program until SIGTERM or SIGINT.

    Args:
        name: Name of the program; each log line contains it.
        make_program: Creates the program from its settings.

    Returns:
        The exit status: 0 after an orderly stop, 2 if the deployment requires
        a feature that is not implemented.

    Raises:
        OSError: An address can't be bound, or the settings can't be read.
        SystemExit: The command line is not valid.
    """
    options = _argument_parser(name).parse_args()
    settings = platform_hosting.load()
    handler = logs.configure_bounded(
        name, sys.stdout.fileno(), host=settings.name
    )
    if settings.unsupported:
        log.error("not supported", extra={"what": settings.unsupported})
        return 2
    program = make_program(settings)
    stop = event.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stop.ready() or stop.send())
    settings_watch = platform_hosting.SettingsWatch(settings, program.reload)
    signal.signal(signal.SIGHUP, lambda *_: settings_watch.check())
    program.start()
    # They may have changed, and the signal was ignored then.
    settings_watch.check()
    garbage.limit_collections()
    if options.metrics_port:
        address = f"{settings.address}:{options.metrics_port}"
        application = serving.Application(program.registry)
        limiting.make_service_server(application).listen(address)
    program.timers.every(SETTINGS_CHECK_INTERVAL_S, settings_watch.check)
    program.timers.every(LOG_FLUSH_INTERVAL_S, handler.poll)
    log.info("started", extra={"incarnation": program.incarnation})
    stop.wait()
    program.shut_down()
    return 0
