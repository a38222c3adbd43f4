"""Entry point of the command ``trefoilgw-scheduler``."""

import sys

import eventlet


def main() -> int:
    """Runs a scheduler until it has shut down; see `program.run`."""
    # urllib3 must be imported after the patch; otherwise its calls would block
    # the event loop.
    eventlet.monkey_patch()
    from trefoilgw.scheduler import program

    return program.run()


if __name__ == "__main__":
    sys.exit(main())
