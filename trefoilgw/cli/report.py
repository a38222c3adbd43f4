"""What a command reports, as text or as JSON."""

from collections.abc import Iterable
from collections.abc import Sequence

import attrs

from trefoilgw.findings import core as findings
from trefoilgw.records import core as records

OK = 0
FINDINGS = 1
UNAVAILABLE = 2
LOST_RACE = 3

_VALUE_LIMIT_CHARS = 60


@attrs.frozen
class Report:
    """The result of a command.

    Attributes:
        code: Exit code.
        values: JSON values for ``--json``.
        lines: Text for standard output.
        errors: Text for standard error.
    """

    code: int
    values: dict
    lines: Sequence[str] = ()
    errors: Sequence[str] = ()


def of_findings(found: Iterable[findings.Finding]) -> Report:
    """Returns the report of a faulty input."""
    found = tuple(found)
    values = {"findings": [attrs.asdict(item) for item in found]}
    return Report(FINDINGS, values, errors=findings.render(found).splitlines())


def of_failure(code: int, text: str, **values) -> Report:
    """Returns the report of a command that could not be carried out."""
    return Report(code, {"error": text, **values}, errors=[text])


def table(header: Sequence[str], rows: Iterable[Sequence[object]]) -> list[str]:
    """Returns rows as aligned columns."""
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
    """Returns changes as text, one a line; new records in one line each."""
    lines: list[str] = []
    whole: dict[tuple[str, str], list[str]] = {}
    for change in changes:
        if change.record == "draining":
            verb = "start" if change.new else "end"
            lines.append(f"draining: {verb} {change.field}")
        elif change.old is None and change.new is not None:
            text = f"{change.field}={_shown(change.new)}"
            whole.setdefault(("+", change.record), []).append(text)
        elif change.new is None:
            whole.setdefault(("-", change.record), [])
        else:
            lines.append(
                f"{change.record}: {change.field} "
                f"{_shown(change.old)} -> {_shown(change.new)}"
            )
    for (sign, record), fields in whole.items():
        lines.append(f"{sign} {record} {' '.join(fields)}".rstrip())
    return lines


def _shown(value: object) -> str:
    """Returns a value on one line, shortened."""
    text = ",".join(value) if isinstance(value, list) else str(value)
    if len(text) <= _VALUE_LIMIT_CHARS:
        return text
    return text[:_VALUE_LIMIT_CHARS] + "..."
