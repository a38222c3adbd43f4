"""Command ``trefoilgw-scheduler``."""

import sys

import eventlet


def main() -> int:
    """Runs a scheduler until it has left; see `program.run`."""
    # urllib3 must load after this, so that it waits in the event loop.
    eventlet.monkey_patch()
    from trefoilgw.scheduler import program

    return program.run()


if __name__ == "__main__":
    sys.exit(main())
