"""Entry point of the command ``trefoilgw-runner``."""

import sys

import eventlet


def main() -> int:
    """Runs a runner until it has shut down.

    Returns:
        The exit status; see `trefoilgw.runner.program.run`.
    """
    # Must precede the import of urllib3, so that its sockets yield to the
    # event loop.
    eventlet.monkey_patch()
    from trefoilgw.runner import program

    return program.run()


if __name__ == "__main__":
    sys.exit(main())
