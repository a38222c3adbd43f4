"""Entry point of the command line `trefoilgw` for operators."""

import importlib.metadata
import pathlib
import sys
import tomllib

from cleo.application import Application

from trefoilgw.cli import configuration_commands
from trefoilgw.cli import fleet_commands
from trefoilgw.cli import record_commands

PROJECT_FILE = pathlib.Path(__file__).parents[2] / "pyproject.toml"
COMMANDS = (
    record_commands.CheckCommand,
    configuration_commands.CheckConfigCommand,
    record_commands.ApplyCommand,
    record_commands.ShowCommand,
    record_commands.HistoryCommand,
    record_commands.DrainCommand,
    fleet_commands.StatusCommand,
    fleet_commands.ExplainCommand,
)


class OperatorApplication(Application):
    """Application that shows its name in lower case, as it is typed."""

    @property
    def display_name(self) -> str:
        """Name shown in the help and version texts."""
        return self.name


def version() -> str:
    """Returns the version of the project.

    A source tree that is not installed has no package metadata; in this case,
    the version is read from the project file. If that fails too, the version
    is ``unknown``.
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
    """Creates the application with all commands."""
    application = OperatorApplication("trefoilgw", version())
    application.auto_exits(False)
    for command in COMMANDS:
        application.add(command())
    return application


def main() -> int:
    """Runs the command line.

    Returns:
        Exit code; the help of each command lists its exit codes.
    """
    return make_application().run()


if __name__ == "__main__":
    sys.exit(main())
