"""Checks of record documents and settings files."""

import pathlib
import tomllib

import attrs

from trefoilgw.findings import core as findings
from trefoilgw.records import core as records
from trefoilgw.settings import core as settings

_ROLES = {
    "entry": (settings.EntrySettings, settings.load_entry),
    "agent": (settings.AgentSettings, settings.load_agent),
    "operator": (settings.OperatorSettings, settings.load_operator),
}


@attrs.frozen
class CheckedFile:
    """Result of checking a file.

    Attributes:
        path: Path as given by the operator.
        content: ``records``, the role of a settings file, or ``unknown``.
        findings: Findings, each with the path in its place.
    """

    path: str
    content: str
    findings: tuple[findings.Finding, ...]


def check_file(path: str) -> CheckedFile:
    """Checks a record document or a settings file."""
    if path.endswith(".json"):
        parsed = read_document(path)
        found = parsed if isinstance(parsed, tuple) else ()
        return CheckedFile(path, "records", found)
    if path.endswith(".toml"):
        role = infer_role(path)
        loaded = _ROLES[role][1](path)
        found = loaded if isinstance(loaded, tuple) else ()
        return CheckedFile(path, role, found)
    text = "the name must end in .json (records) or .toml (settings)"
    return CheckedFile(path, "unknown", (findings.Finding(path, text),))


def read_document(
    path: str,
) -> records.Configuration | tuple[findings.Finding, ...]:
    """Reads a configuration from a file; returns findings if it is invalid."""
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as error:
        return (findings.Finding(path, f"can't read: {error.strerror}"),)
    parsed = records.parse_document(data)
    if not isinstance(parsed, tuple):
        return parsed
    return tuple(
        findings.Finding(f"{path}:{item.place}", item.text) for item in parsed
    )


def infer_role(path: str) -> str:
    """Infers the role of a settings file from its keys.

    Selects the role for which the file sets the largest share of the keys. A
    file that can't be parsed is treated as an entry's; its one finding is the
    same for every role.
    """
    try:
        keys = set(tomllib.loads(pathlib.Path(path).read_text("utf-8")))
    except (OSError, ValueError):
        return "entry"

    def key_coverage(role: str) -> float:
        known = {field.name for field in attrs.fields(_ROLES[role][0])}
        return len(keys & known) / len(known)

    return max(_ROLES, key=key_coverage)
