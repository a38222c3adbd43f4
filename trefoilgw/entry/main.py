"""Command `trefoilgw-entry`."""

import argparse
import gc
import json
import os
import signal
import sys

os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")

import eventlet  # noqa: E402
from eventlet import event  # noqa: E402

# Full collections run at this interval and not by the number of new objects.
FULL_COLLECTION_INTERVAL_S = 900.0


def main(arguments: list[str] | None = None) -> int:
    """Runs an entry until SIGTERM or SIGINT.

    Returns:
        0 after an orderly stop, 2 if the settings are not valid or an
        address can't be bound.
    """
    eventlet.monkey_patch()
    # These modules use sockets, so they are imported after monkey-patching.
    from trefoilgw.entry import core
    from trefoilgw.findings import core as findings
    from trefoilgw.logs import core as logs
    from trefoilgw.processes import garbage
    from trefoilgw.settings import core as settings_core

    parser = argparse.ArgumentParser(prog="trefoilgw-entry")
    parser.add_argument("--settings", required=True, metavar="FILE")
    options = parser.parse_args(arguments)
    settings = settings_core.load_entry(options.settings)
    if isinstance(settings, tuple):
        print(findings.render(settings), file=sys.stderr)
        return 2
    entry = core.Entry(settings)
    logs.configure("entry", incarnation=entry.incarnation)
    try:
        entry.start()
    except OSError as error:
        print(f"can't listen: {error}", file=sys.stderr)
        return 2
    stop = event.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.ready() or stop.send())
    entry.timers.every(FULL_COLLECTION_INTERVAL_S, gc.collect)
    garbage.limit_collections()
    ready = {"ready": True, **entry.addresses}
    print(json.dumps({**ready, "incarnation": entry.incarnation}), flush=True)
    stop.wait()
    entry.leave()
    return 0


if __name__ == "__main__":
    sys.exit(main())
