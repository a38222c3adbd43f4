"""Command ``trefoilgw-agent --settings FILE``."""

import sys

from trefoilgw.processes import unused_modules


def main() -> int:
    """Runs an agent until it exits; see `trefoilgw.agent.program.run`."""
    unused_modules.block()
    import eventlet

    # urllib3 must be imported after this, so that its I/O yields to the event
    # loop.
    eventlet.monkey_patch()
    from trefoilgw.agent import program

    return program.run()


if __name__ == "__main__":
    sys.exit(main())
