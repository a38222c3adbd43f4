"""Base classes of commands: common options, settings and output."""

import json
import os

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.outputs.output import Type

from trefoilgw import keyvalue
from trefoilgw.cli import report
from trefoilgw.findings import core as findings
from trefoilgw.settings import core as settings

SETTINGS_VARIABLE = "TREFOILGW_SETTINGS"
DEFAULT_SETTINGS = "operator.toml"
# Longer than the timeout of an entry, because an operator can wait longer.
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
    """Command whose result is a report."""

    options = [JSON_OPTION]

    def handle(self) -> int:
        """Runs the command, prints its report and returns its exit code."""
        result = self.make_report()
        if self.option("json"):
            self._write(json.dumps(result.values, indent=2))
        else:
            for line in result.lines:
                self._write(line)
            for line in result.errors:
                self.io.write_error_line(line, type=Type.RAW)
        return result.exit_code

    def make_report(self) -> report.Report:
        """Runs the command and returns its report."""
        raise NotImplementedError

    def _write(self, line: str) -> None:
        """Writes a line unformatted; records may contain cleo style tags."""
        self.io.write_line(line, type=Type.RAW)


class PlatformCommand(ReportingCommand):
    """Command that reads or writes data at the platform."""

    options = [JSON_OPTION, SETTINGS_OPTION]

    def make_report(self) -> report.Report:
        """Checks settings and input, then runs the command."""
        path = (
            self.option("settings")
            or os.environ.get(SETTINGS_VARIABLE)
            or DEFAULT_SETTINGS
        )
        loaded = settings.load_operator(path)
        found = list(loaded) if isinstance(loaded, tuple) else []
        found += self.check_input()
        if found:
            return report.from_findings(found)
        client = keyvalue.Client(loaded.platform_address, CALL_TIMEOUT_S)
        try:
            return self.run_with_client(client, loaded)
        finally:
            client.close()

    def check_input(self) -> list[findings.Finding]:
        """Returns the findings about arguments, options and files."""
        return []

    def run_with_client(
        self, client: keyvalue.Client, operator: settings.OperatorSettings
    ) -> report.Report:
        """Runs the command with a client of the platform."""
        raise NotImplementedError
