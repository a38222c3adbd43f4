"""Command `trefoilgw`, by which operators control the system."""

import importlib.metadata
import pathlib
import sys
import tomllib

from cleo.application import Application

from trefoilgw.cli import fleet_commands
from trefoilgw.cli import record_commands

PROJECT_FILE = pathlib.Path(__file__).parents[2] / "pyproject.toml"
COMMANDS = (
    record_commands.CheckCommand,
    record_commands.ApplyCommand,
    record_commands.ShowCommand,
    record_commands.HistoryCommand,
    record_commands.DrainCommand,
    fleet_commands.StatusCommand,
    fleet_commands.ExplainCommand,
)


class OperatorApplication(Application):
    """The command's name is written in lower case, as it is typed."""

    @property
    def display_name(self) -> str:
        """Returns the name in help and version."""
        return self.name


def version() -> str:
    """Returns the version of the project.

    A source tree that was not installed has no metadata; there it is read
    from the project's own file.
    """
    try:
        return importlib.metadata.version("trefoilgw")
    except importlib.metadata.PackageNotFoundError:
        pass
    try:
        with PROJECT_FILE.open("rb") as file:
            return tomllib.load(file)["project"]["version"]
    except (OSError, ValueError, LookupError):
        return "unknown"


def make_application() -> Application:
    """Returns the application with all commands."""
    application = OperatorApplication("trefoilgw", version())
    application.auto_exits(False)
    for command in COMMANDS:
        application.add(command())
    return application


def main() -> int:
    """Runs the command line.

    Returns:
        The exit code; each command's help lists its codes.
    """
    return make_application().run()


if __name__ == "__main__":
    sys.exit(main())
