"""Settings of the programs, read from TOML files and checked.

Every fault of a file is reported, not only the first. Settings hold what a
process must know before it can reach anything else; what operators change
while the system runs stands in the records instead.
"""

import pathlib
import re
import tomllib
from collections.abc import Mapping

import attrs

from trefoilgw.findings import core as findings
from trefoilgw.settings import checks
from trefoilgw.settings import places

# A settings file has a few hundred bytes; a larger one is the wrong file.
FILE_LIMIT_BYTES = 256 * 1024
SLOTS_LIMIT = 1024
CONNECTIONS_LIMIT = 8192

_BROKEN_LINE = re.compile(r"\(at line (\d+), column \d+\)")


def _setting(check: checks.Check, **kwargs):
    """Returns a field with the check of its value."""
    return attrs.field(metadata={"check": check}, **kwargs)


def _texts(value) -> tuple[str, ...]:
    """Returns a list of the file as a tuple."""
    return tuple(value)


@attrs.frozen(kw_only=True)
class EntrySettings:
    """Settings of an entry.

    Attributes:
        http_address: Listens here for callers; port 0 takes a free one.
        stream_address: Listens here for agents and peers, announced to them.
        admin_address: Listens here for metrics and status, announced in the
            roster.
        domain: Failure domain of the host.
        platform_address: The platform's key-value service.
        stream_key: Shared key of the streams, at least 32 hex digits.
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
        checks.list_of(checks.dial_address), default=(), converter=_texts
    )


@attrs.frozen(kw_only=True)
class AgentSettings:
    """Settings of an agent.

    Attributes:
        name: Name of the target process, unique in the fleet.
        domain: Failure domain of the host.
        target_address: The target beside the agent.
        services: Services that the target offers, at least one.
        slots: Tasks that the target runs at once, 1 to 1,024.
        connections: Connections that the target takes, ``slots`` to 8,192.
        entries: Stream addresses of entries or their balancer, at least one.
        stream_key: Shared key of the streams, at least 32 hex digits.
        admin_address: Listens here for metrics and status; empty for none.
    """

    name: str = _setting(checks.name)
    domain: str = _setting(checks.name)
    target_address: str = _setting(checks.dial_address)
    services: tuple[str, ...] = _setting(
        checks.list_of(checks.name, minimum=1), converter=_texts
    )
    slots: int = _setting(checks.integer(1, SLOTS_LIMIT), default=8)
    connections: int = _setting(
        checks.integer(1, CONNECTIONS_LIMIT), default=64
    )
    entries: tuple[str, ...] = _setting(
        checks.list_of(checks.dial_address, minimum=1), converter=_texts
    )
    stream_key: str = _setting(checks.stream_key, repr=False)
    admin_address: str = _setting(
        checks.optional(checks.announced_address), default=""
    )


@attrs.frozen(kw_only=True)
class OperatorSettings:
    """Settings of the operator's command.

    Attributes:
        platform_address: The platform's key-value service.
        author: Who writes, as the audit trail shows it.
    """

    platform_address: str = _setting(checks.dial_address)
    author: str = _setting(checks.author)


Findings = tuple[findings.Finding, ...]


def load_entry(path: str | pathlib.Path) -> EntrySettings | Findings:
    """Reads the settings of an entry.

    Args:
        path: TOML file.

    Returns:
        The settings, or all findings with ``file:line`` as their place.
    """
    return _load(path, EntrySettings)


def load_agent(path: str | pathlib.Path) -> AgentSettings | Findings:
    """Reads the settings of an agent; see `load_entry`."""
    return _load(path, AgentSettings)


def load_operator(path: str | pathlib.Path) -> OperatorSettings | Findings:
    """Reads the settings of an operator; see `load_entry`."""
    return _load(path, OperatorSettings)


def _load(path: str | pathlib.Path, role: type):
    """Returns the settings of a role or the findings of its file."""
    text = _read(path)
    if isinstance(text, findings.Finding):
        return (text,)
    try:
        values = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return (_syntax_finding(path, text, error),)
    found = _check(path, text, values, role)
    return found if found else role(**values)


def _read(path: str | pathlib.Path) -> str | findings.Finding:
    """Returns the text of a file or why it can't be read."""
    try:
        with open(path, "rb") as file:
            data = file.read(FILE_LIMIT_BYTES + 1)
    except OSError as error:
        return findings.Finding(f"{path}:1", f"can't read: {error.strerror}")
    if len(data) > FILE_LIMIT_BYTES:
        text = f"the file is larger than {FILE_LIMIT_BYTES} bytes"
        return findings.Finding(f"{path}:1", text)
    try:
        return data.decode("utf-8")
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        return findings.Finding(f"{path}:{line}", "not UTF-8 text")


def _syntax_finding(
    path: str | pathlib.Path, text: str, error: tomllib.TOMLDecodeError
) -> findings.Finding:
    """Returns the finding of a text that is not TOML."""
    match = _BROKEN_LINE.search(str(error))
    line = int(match[1]) if match else max(1, len(text.splitlines()))
    return findings.Finding(f"{path}:{line}", f"not valid TOML: {error}")


def _check(
    path: str | pathlib.Path, text: str, values: Mapping, role: type
) -> Findings:
    """Returns every finding of a file, in the order of its lines."""
    lines = places.lines_of(text)
    fields = attrs.fields_dict(role)
    found: list[tuple[int, str]] = []
    for key, value in values.items():
        line = lines.get((key,), 1)
        if key not in fields:
            found.append((line, _unknown_key(key, fields)))
            continue
        for fault in fields[key].metadata["check"](value):
            place = line
            if fault.index is not None:
                place = lines.get((key, str(fault.index)), line)
            found.append((place, f"{key} {fault.text}"))
    found += _missing(text, values, fields)
    found += _connections_below_slots(lines, values, role)
    found.sort(key=lambda item: item[0])
    return tuple(
        findings.Finding(f"{path}:{line}", what) for line, what in found
    )


def _missing(
    text: str, values: Mapping, fields: Mapping
) -> list[tuple[int, str]]:
    """Returns the findings of keys without a default that are not given."""
    last_line = max(1, len(text.splitlines()))
    return [
        (last_line, f"{key} is missing")
        for key, field in fields.items()
        if field.default is attrs.NOTHING and key not in values
    ]


def _unknown_key(key: str, fields: Mapping) -> str:
    """Returns the text for an unknown key, with the nearest known one."""
    import difflib  # Only needed for a faulty file; the agent saves memory.

    near = difflib.get_close_matches(key, fields, n=1)
    hint = f"; did you mean {near[0]!r}?" if near else ""
    return f"unknown key {key!r}{hint}"


def _connections_below_slots(
    lines: Mapping, values: Mapping, role: type
) -> list[tuple[int, str]]:
    """Returns the finding of an agent whose slots lack connections.

    Each running task occupies one connection to the target, so slots above
    the connections could never be used.
    """
    if role is not AgentSettings:
        return []
    slots = values.get("slots", attrs.fields(role).slots.default)
    connections = values.get(
        "connections", attrs.fields(role).connections.default
    )
    if not (type(slots) is int and type(connections) is int):
        return []
    if connections >= slots:
        return []
    line = lines.get(("connections",), lines.get(("slots",), 1))
    return [(line, f"connections must be at least slots ({slots})")]
