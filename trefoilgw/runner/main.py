"""Command ``trefoilgw-runner``."""

import sys

import eventlet


def main() -> int:
    """Runs a runner until it has left; see `trefoilgw.runner.program.run`."""
    # urllib3 must load after this, so that it waits in the event loop.
    eventlet.monkey_patch()
    from trefoilgw.runner import program

    return program.run()


if __name__ == "__main__":
    sys.exit(main())
