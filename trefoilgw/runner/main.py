"""Entry point of the command ``trefoilgw-runner``."""

import sys

from trefoilgw.processes import startup


def main() -> int:
    """Runs a runner until it has shut down.

    Returns:
        The exit status; see `trefoilgw.runner.program.run`.
    """
    startup.prepare()
    from trefoilgw.runner import program

    return program.run()


if __name__ == "__main__":
    sys.exit(main())
