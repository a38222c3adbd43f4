"""Configuration of JSON logging, done once per process.

Modules log through the standard `logging` module and pass values in `extra`;
this module only defines the format. Per-task events are counted in metrics
instead of being logged. Programs that log every decision use
`configure_bounded`, which limits the number of lines.
"""

import logging
import sys
from typing import TextIO

from pythonjsonlogger import json as jsonlogger

from trefoilgw.logs import bounded
from trefoilgw.logs import nonblocking
from trefoilgw.logs import rate_limits

TIME_FIELD = "time"
_RENAMED_ATTRIBUTES = {
    "levelname": "level",
    "name": "logger",
    "exc_info": "error",
}
# Standard `LogRecord` attributes that appear in a line; all others are left
# out.
_RECORD_ATTRIBUTES = ("levelname", "name", "message")


def configure(
    program: str,
    level: str = "INFO",
    stream: TextIO | None = None,
    **fields: str,
) -> logging.Handler:
    """Writes all log records of the process to one stream as JSON lines.

    Handlers of the root logger are removed, so that a second call replaces
    the first. Warnings and uncaught exceptions are logged as JSON lines too.

    Args:
        program: Name of the program; included in each line.
        level: Lowest level that is written, such as ``INFO``.
        stream: Text stream; standard error if None.
        **fields: Additional fields of each line, such as ``incarnation``.

    Returns:
        The handler, so that its stream can be flushed or replaced.

    Raises:
        ValueError: The level is unknown.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    _install(handler, program, level, fields)
    return handler


def configure_bounded(
    program: str, fd: int, level: str = "INFO", **fields: str
) -> bounded.BoundedHandler:
    """Writes log records as `configure` does, rate-limited and non-blocking.

    Args:
        program: Name of the program; included in each line.
        fd: File descriptor to write to.
        level: Lowest level that is written, such as ``INFO``.
        **fields: Additional fields of each line, such as ``host``.

    Returns:
        The handler; it writes queued lines when its `poll` is called.
    """
    handler = bounded.BoundedHandler(
        nonblocking.NonBlockingWriter(fd), rate_limits.LineRateLimiter()
    )
    _install(handler, program, level, fields)
    return handler


def _install(
    handler: logging.Handler, program: str, level: str, fields: dict[str, str]
) -> None:
    """Installs a handler as the only one of the root logger."""
    handler.setFormatter(
        jsonlogger.JsonFormatter(
            _RECORD_ATTRIBUTES,
            rename_fields=_RENAMED_ATTRIBUTES,
            static_fields={"program": program, **fields},
            timestamp=TIME_FIELD,
        )
    )
    # The lines don't contain them, and they are costly to determine.
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    root = logging.getLogger()
    root.setLevel(level)
    for old in root.handlers[:]:
        root.removeHandler(old)
    root.addHandler(handler)
    logging.captureWarnings(True)
    sys.excepthook = _log_uncaught


def _log_uncaught(kind: type, error: BaseException, trace) -> None:
    """Logs an uncaught exception as one line; ignores KeyboardInterrupt."""
    if not issubclass(kind, KeyboardInterrupt):
        logging.getLogger("trefoilgw").critical(
            "uncaught error", exc_info=(kind, error, trace)
        )
