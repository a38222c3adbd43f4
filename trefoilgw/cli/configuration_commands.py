"""Command that checks a configuration before it is sent."""

import pathlib

import attrs
from cleo.helpers import argument
from cleo.helpers import option

from trefoilgw.cli import base
from trefoilgw.cli import report
from trefoilgw.configcheck import core as configcheck
from trefoilgw.configcheck import differences
from trefoilgw.findings import core as findings
from trefoilgw.platform import configuration_files

IN_FORCE_OPTION = option(
    "in-force",
    None,
    "File with the version in force, to compare with.",
    flag=False,
)
CONNECTIONS_OPTION = option(
    "target-connections",
    None,
    "Connections that a target accepts, to compare with the services' limits.",
    flag=False,
)


class CheckConfigCommand(base.ReportingCommand):
    """``trefoilgw check-config``."""

    name = "check-config"
    description = "Checks a configuration of the platform before it is sent."
    arguments = [argument("file", "The configuration, as it is to be sent.")]
    options = [base.JSON_OPTION, IN_FORCE_OPTION, CONNECTIONS_OPTION]
    help = """\
Checks a configuration of queues, services and limits, and prints each finding
with file, line and field: malformed fields, queues that no request can match,
services that are missing or unused, limits that contradict each other, and
limits above what the targets accept. With <info>--in-force</info> it also
prints what differs from the version in force, and whether the schedulers would
ignore the new one. Nothing is sent.

Warnings begin with ``warning:``; they don't change the exit code.

Exit codes: 0 no errors; 1 errors, or a file or option that can't be read.
"""

    def make_report(self) -> report.Report:
        """Checks the file."""
        connections = self._connections()
        path, in_force_path = self.argument("file"), self.option("in-force")
        file = _read(path)
        in_force = _read(in_force_path) if in_force_path else None
        faults = [
            *(
                [connections]
                if isinstance(connections, findings.Finding)
                else []
            ),
            *file.faults,
            *(in_force.faults if in_force else ()),
        ]
        if faults:
            return report.from_findings(faults)
        result = configcheck.check(
            file.document,
            configcheck.Environment(
                in_force.document.version if in_force else None,
                connections,
                configuration_files.PAYLOAD_LIMIT_BYTES,
            ),
        )
        changes = (
            differences.compare(in_force.body, file.body) if in_force else ()
        )
        return _make_report(path, file.document, result, changes)

    def _connections(self) -> int | findings.Finding | None:
        """Returns the number in ``--target-connections``, None without it."""
        text = self.option("target-connections")
        if not text:
            return None
        if not (text.isascii() and text.isdigit() and int(text)):
            return findings.Finding(
                "--target-connections", "must be a whole number above 0"
            )
        return int(text)


def _read(path: str) -> configuration_files.File:
    """Reads a file."""
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as error:
        fault = findings.Finding(path, f"can't read: {error.strerror}")
        return configuration_files.File(None, None, (fault,))
    return configuration_files.decode(data, path)


def _make_report(
    path: str,
    document: configcheck.Document,
    result: configcheck.Result,
    changes: tuple[differences.Difference, ...],
) -> report.Report:
    """Returns the report of a file whose fields could all be read."""
    values = {
        "version": document.version,
        "errors": [attrs.asdict(x) for x in result.errors],
        "warnings": [attrs.asdict(x) for x in result.warnings],
        "differences": [_difference_values(x) for x in changes],
    }
    lines = [
        f"{path}: version {document.version}, {len(document.queues)} queues, "
        f"{len(document.services)} services",
        *map(_difference_line, changes),
    ]
    errors = findings.render(result.errors).splitlines()
    errors += [
        f"warning: {x}" for x in findings.render(result.warnings).splitlines()
    ]
    code = report.FINDINGS if result.errors else report.OK
    return report.Report(code, values, lines, errors)


def _difference_values(change: differences.Difference) -> dict:
    """Returns a difference for JSON, in which absent values are left out."""
    sides = {"old": change.old, "new": change.new}
    present = {k: v for k, v in sides.items() if v != differences.ABSENT}
    return {"path": change.path, **present}


def _difference_line(change: differences.Difference) -> str:
    """Returns a difference as one line."""
    if change.old == differences.ABSENT:
        return f"+ {change.path} = {report.format_value(change.new)}"
    if change.new == differences.ABSENT:
        return f"- {change.path}"
    old, new = map(report.format_value, (change.old, change.new))
    return f"  {change.path}: {old} -> {new}"
