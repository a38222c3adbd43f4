"""Base of the commands: options in common, settings, and output."""

import json
import os

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.outputs.output import Type

from trefoilgw import keyvalue as platform
from trefoilgw.cli import report
from trefoilgw.findings import core as findings
from trefoilgw.settings import core as settings

SETTINGS_VARIABLE = "TREFOILGW_SETTINGS"
DEFAULT_SETTINGS = "operator.toml"
# An operator waits longer for an answer than an entry does.
CALL_TIMEOUT_S = 5.0

JSON_OPTION = option("json", None, "Print the result as one JSON object.")
SETTINGS_OPTION = option(
    "settings",
    "s",
    "Settings file of the operator. Default: $TREFOILGW_SETTINGS, else "
    "operator.toml.",
    flag=False,
)


class ReportingCommand(Command):
    """A command that ends in a report."""

    options = [JSON_OPTION]

    def handle(self) -> int:
        """Runs the command and prints its report."""
        result = self.make_report()
        if self.option("json"):
            self._write(json.dumps(result.values, indent=2))
        else:
            for line in result.lines:
                self._write(line)
            for line in result.errors:
                self.io.write_error_line(line, type=Type.RAW)
        return result.code

    def make_report(self) -> report.Report:
        """Carries the command out."""
        raise NotImplementedError

    def _write(self, line: str) -> None:
        """Writes a line as it is; records may hold cleo's style tags."""
        self.io.write_line(line, type=Type.RAW)


class PlatformCommand(ReportingCommand):
    """A command that reads or writes at the platform."""

    options = [JSON_OPTION, SETTINGS_OPTION]

    def make_report(self) -> report.Report:
        """Loads the settings and carries the command out."""
        path = (
            self.option("settings")
            or os.environ.get(SETTINGS_VARIABLE)
            or DEFAULT_SETTINGS
        )
        loaded = settings.load_operator(path)
        found = list(loaded) if isinstance(loaded, tuple) else []
        found += self.check_input()
        if found:
            return report.of_findings(found)
        client = platform.Client(loaded.platform_address, CALL_TIMEOUT_S)
        try:
            return self.run_with(client, loaded)
        finally:
            client.close()

    def check_input(self) -> list[findings.Finding]:
        """Returns the findings of arguments, options and files."""
        return []

    def run_with(
        self, client: platform.Client, operator: settings.OperatorSettings
    ) -> report.Report:
        """Carries the command out at the platform."""
        raise NotImplementedError
