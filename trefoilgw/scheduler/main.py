"""Entry point of the command ``trefoilgw-scheduler``."""

import sys

from trefoilgw.processes import startup


def main() -> int:
    """Runs a scheduler until it has shut down; see `program.run`."""
    startup.prepare()
    from trefoilgw.scheduler import program

    return program.run()


if __name__ == "__main__":
    sys.exit(main())
