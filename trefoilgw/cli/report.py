"""Results of commands, as text and as JSON."""

from collections.abc import Iterable
from collections.abc import Sequence

import attrs

from trefoilgw.findings import core as findings
from trefoilgw.records import core as records

OK = 0
FINDINGS = 1
UNAVAILABLE = 2
REVISION_CONFLICT = 3

_MAX_VALUE_CHARS = 60


@attrs.frozen
class Report:
    """Result of a command.

    Attributes:
        exit_code: Exit code of the command.
        values: JSON object printed with ``--json``.
        lines: Text lines for standard output.
        errors: Text lines for standard error.
    """

    exit_code: int
    values: dict
    lines: Sequence[str] = ()
    errors: Sequence[str] = ()


def from_findings(found: Iterable[findings.Finding]) -> Report:
    """Creates the report of an invalid input."""
    found = tuple(found)
    values = {"findings": [attrs.asdict(item) for item in found]}
    return Report(FINDINGS, values, errors=findings.render(found).splitlines())


def from_failure(exit_code: int, text: str, **values) -> Report:
    """Creates the report of a command that failed.

    Args:
        exit_code: Exit code of the command.
        text: Description of the failure.
        **values: Additional JSON values.
    """
    return Report(exit_code, {"error": text, **values}, errors=[text])


def format_table(
    header: Sequence[str], rows: Iterable[Sequence[object]]
) -> list[str]:
    """Formats a header and rows as lines with aligned columns."""
    texts = [list(header)] + [[str(cell) for cell in row] for row in rows]
    widths = [
        max(len(cell) for cell in column) for column in zip(*texts, strict=True)
    ]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in texts
    ]


def change_lines(changes: Iterable[records.Change]) -> list[str]:
    """Formats changes, one per line.

    A new record takes one line with all its fields, a removed one a single line
    without fields.
    """
    lines: list[str] = []
    added_or_removed: dict[tuple[str, str], list[str]] = {}
    for change in changes:
        if change.record == "draining":
            verb = "start" if change.new else "end"
            lines.append(f"draining: {verb} {change.field}")
        elif change.old is None and change.new is not None:
            text = f"{change.field}={format_value(change.new)}"
            added_or_removed.setdefault(("+", change.record), []).append(text)
        elif change.new is None:
            added_or_removed.setdefault(("-", change.record), [])
        else:
            lines.append(
                f"{change.record}: {change.field} "
                f"{format_value(change.old)} -> {format_value(change.new)}"
            )
    for (sign, record), fields in added_or_removed.items():
        lines.append(f"{sign} {record} {' '.join(fields)}".rstrip())
    return lines


def format_value(value: object) -> str:
    """Formats a value in one line, truncated to `_MAX_VALUE_CHARS`."""
    text = ",".join(value) if isinstance(value, list) else str(value)
    if len(text) <= _MAX_VALUE_CHARS:
        return text
    return text[:_MAX_VALUE_CHARS] + "..."
