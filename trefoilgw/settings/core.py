"""Settings of the programs, read from TOML files and validated.

All faults of a file are reported together. Settings contain what a process
needs before it can connect to other processes. What operators change at run
time belongs in the configuration records instead; see the package `records`.
"""

import pathlib
import re
import tomllib
from collections.abc import Mapping

import attrs

from trefoilgw.findings import core as findings
from trefoilgw.settings import checks
from trefoilgw.settings import toml_lines

# A settings file has a few hundred bytes; one above this is the wrong file.
MAX_FILE_BYTES = 256 * 1024
MAX_SLOTS = 1024
MAX_CONNECTIONS = 8192

_SYNTAX_ERROR_LINE = re.compile(r"\(at line (\d+), column \d+\)")


def _setting(check: checks.Check, **kwargs):
    """Returns an attrs field with the check of its value as metadata."""
    return attrs.field(metadata={"check": check}, **kwargs)


def _to_tuple(value) -> tuple[str, ...]:
    """Converts a list from the file to a tuple."""
    return tuple(value)


@attrs.frozen(kw_only=True)
class EntrySettings:
    """Settings of an entry.

    Attributes:
        http_address: Address on which to serve callers; port 0 selects a free
            port.
        stream_address: Address on which to accept streams from agents and
            peers; it is announced to them.
        admin_address: Address on which to serve metrics and status; it is
            announced in the roster.
        domain: Failure domain of the host.
        platform_address: Address of the platform's key-value service.
        stream_key: Shared key of the streams, 32 to 256 hex digits.
        peers: Stream addresses of other entries, used until the roster is
            known.
    """

    http_address: str = _setting(checks.listen_address)
    stream_address: str = _setting(checks.announced_address)
    admin_address: str = _setting(checks.announced_address)
    domain: str = _setting(checks.name)
    platform_address: str = _setting(checks.dial_address)
    stream_key: str = _setting(checks.stream_key, repr=False)
    peers: tuple[str, ...] = _setting(
        checks.list_of(checks.dial_address), default=(), converter=_to_tuple
    )


@attrs.frozen(kw_only=True)
class AgentSettings:
    """Settings of an agent.

    Attributes:
        name: Name of the target process, unique in the fleet.
        domain: Failure domain of the host.
        target_address: Address of the agent's target.
        services: Services that the target offers, at least one.
        slots: Maximum number of tasks that the target runs concurrently, 1 to
            1,024.
        connections: Maximum number of connections that the target accepts,
            ``slots`` to 8,192.
        entries: Stream addresses of entries or of their load balancer, at
            least one.
        stream_key: Shared key of the streams, 32 to 256 hex digits.
        admin_address: Address on which to serve metrics and status; empty to
            serve none.
    """

    name: str = _setting(checks.name)
    domain: str = _setting(checks.name)
    target_address: str = _setting(checks.dial_address)
    services: tuple[str, ...] = _setting(
        checks.list_of(checks.name, minimum=1), converter=_to_tuple
    )
    slots: int = _setting(checks.integer(1, MAX_SLOTS), default=8)
    connections: int = _setting(checks.integer(1, MAX_CONNECTIONS), default=64)
    entries: tuple[str, ...] = _setting(
        checks.list_of(checks.dial_address, minimum=1), converter=_to_tuple
    )
    stream_key: str = _setting(checks.stream_key, repr=False)
    admin_address: str = _setting(
        checks.optional(checks.announced_address), default=""
    )


@attrs.frozen(kw_only=True)
class OperatorSettings:
    """Settings of the operator's command line.

    Attributes:
        platform_address: Address of the platform's key-value service.
        author: Name of the operator, recorded in the audit trail.
    """

    platform_address: str = _setting(checks.dial_address)
    author: str = _setting(checks.author)


Findings = tuple[findings.Finding, ...]


def load_entry(path: str | pathlib.Path) -> EntrySettings | Findings:
    """Reads and validates the settings of an entry.

    Args:
        path: TOML file.

    Returns:
        The settings, or all findings, each with ``file:line`` as its place.
    """
    return _load(path, EntrySettings)


def load_agent(path: str | pathlib.Path) -> AgentSettings | Findings:
    """Reads and validates the settings of an agent; see `load_entry`."""
    return _load(path, AgentSettings)


def load_operator(path: str | pathlib.Path) -> OperatorSettings | Findings:
    """Reads and validates the settings of an operator; see `load_entry`."""
    return _load(path, OperatorSettings)


def _load(path: str | pathlib.Path, settings_class: type):
    """Returns an instance of a settings class, or the findings of the file."""
    text = _read(path)
    if isinstance(text, findings.Finding):
        return (text,)
    try:
        values = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return (_syntax_finding(path, text, error),)
    found = _check_values(path, text, values, settings_class)
    return found if found else settings_class(**values)


def _read(path: str | pathlib.Path) -> str | findings.Finding:
    """Returns the text of a file, or a finding if it can't be read."""
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        return findings.Finding(f"{path}:1", f"can't read: {error.strerror}")
    if len(data) > MAX_FILE_BYTES:
        text = f"the file is larger than {MAX_FILE_BYTES} bytes"
        return findings.Finding(f"{path}:1", text)
    try:
        return data.decode("utf-8")
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        return findings.Finding(f"{path}:{line}", "not UTF-8 text")


def _syntax_finding(
    path: str | pathlib.Path, text: str, error: tomllib.TOMLDecodeError
) -> findings.Finding:
    """Returns the finding for a text that is not valid TOML.

    If the error has no line, because the text ends too early, the finding is
    at the last line.
    """
    match = _SYNTAX_ERROR_LINE.search(str(error))
    line = int(match[1]) if match else max(1, len(text.splitlines()))
    return findings.Finding(f"{path}:{line}", f"not valid TOML: {error}")


def _check_values(
    path: str | pathlib.Path, text: str, values: Mapping, settings_class: type
) -> Findings:
    """Returns all findings of a file, ordered by line."""
    lines = toml_lines.find_lines(text)
    fields = attrs.fields_dict(settings_class)
    faults: list[tuple[int, str]] = []
    for key, value in values.items():
        line = lines.get((key,), 1)
        if key not in fields:
            faults.append((line, _describe_unknown_key(key, fields)))
            continue
        for fault in fields[key].metadata["check"](value):
            fault_line = line
            if fault.index is not None:
                fault_line = lines.get((key, str(fault.index)), line)
            faults.append((fault_line, f"{key} {fault.text}"))
    faults += _find_missing_keys(text, values, fields)
    faults += _check_connections(lines, values, settings_class)
    faults.sort(key=lambda item: item[0])
    return tuple(
        findings.Finding(f"{path}:{line}", reason) for line, reason in faults
    )


def _find_missing_keys(
    text: str, values: Mapping, fields: Mapping
) -> list[tuple[int, str]]:
    """Returns line and reason for each missing key that has no default.

    The line is the last one of the file.
    """
    last_line = max(1, len(text.splitlines()))
    return [
        (last_line, f"{key} is missing")
        for key, field in fields.items()
        if field.default is attrs.NOTHING and key not in values
    ]


def _describe_unknown_key(key: str, fields: Mapping) -> str:
    """Returns the reason for an unknown key, with a similar known one."""
    # Imported here to save the agent memory: only an invalid file needs it.
    import difflib

    close_matches = difflib.get_close_matches(key, fields, n=1)
    hint = f"; did you mean {close_matches[0]!r}?" if close_matches else ""
    return f"unknown key {key!r}{hint}"


def _check_connections(
    lines: Mapping, values: Mapping, settings_class: type
) -> list[tuple[int, str]]:
    """Returns line and reason if an agent has fewer connections than slots.

    Each running task occupies one connection to the target, so the slots in
    excess of the connections could never be used.
    """
    if settings_class is not AgentSettings:
        return []
    slots = values.get("slots", attrs.fields(settings_class).slots.default)
    connections = values.get(
        "connections", attrs.fields(settings_class).connections.default
    )
    if not (type(slots) is int and type(connections) is int):
        return []
    if connections >= slots:
        return []
    line = lines.get(("connections",), lines.get(("slots",), 1))
    return [(line, f"connections must be at least slots ({slots})")]
