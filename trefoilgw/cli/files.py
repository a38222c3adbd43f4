"""Checks of the files that operators write."""

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
    """A file with its findings.

    Attributes:
        path: The file as given.
        content: ``records``, or the role of a settings file.
        findings: What is wrong, each with the file in its place.
    """

    path: str
    content: str
    findings: tuple[findings.Finding, ...]


def check_file(path: str) -> CheckedFile:
    """Returns the findings of a record document or a settings file."""
    if path.endswith(".json"):
        parsed = read_document(path)
        found = parsed if isinstance(parsed, tuple) else ()
        return CheckedFile(path, "records", found)
    if path.endswith(".toml"):
        role = settings_role(path)
        loaded = _ROLES[role][1](path)
        found = loaded if isinstance(loaded, tuple) else ()
        return CheckedFile(path, role, found)
    text = "the name must end in .json (records) or .toml (settings)"
    return CheckedFile(path, "unknown", (findings.Finding(path, text),))


def read_document(
    path: str,
) -> records.Configuration | tuple[findings.Finding, ...]:
    """Returns the configuration in a file, or its findings."""
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


def settings_role(path: str) -> str:
    """Returns the role whose keys a settings file has most of.

    A file that can't be parsed counts as an entry's; its one finding is the
    same for each role.
    """
    try:
        keys = set(tomllib.loads(pathlib.Path(path).read_text("utf-8")))
    except (OSError, ValueError):
        return "entry"

    def share(role: str) -> float:
        known = {field.name for field in attrs.fields(_ROLES[role][0])}
        return len(keys & known) / len(known)

    return max(_ROLES, key=share)
