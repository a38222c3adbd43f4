"""Decodes an operator's configuration file with the place of each field.

The programs stop at the first fault of a document. An operator who checks a
file wants all of them, each with its line.
"""

import json
from collections.abc import Callable
from collections.abc import Iterable

import attrs
import yaml

from trefoilgw.configcheck import core as configcheck
from trefoilgw.findings import core as findings
from trefoilgw.platform import fields
from trefoilgw.platform import submissions
from trefoilgw.work import core as work

PAYLOAD_LIMIT_BYTES = submissions.MAX_PAYLOAD_BYTES

# Wire names of the fields, by the names of the product's types.
_QUEUE_FIELDS = {
    "name": "name",
    "host": "host",
    "prefix": "prefix",
    "service": "service",
    "priority": "priority",
    "attempts_limit": "maxAttempts",
    "stretch": "stretch",
    "latency_s": "targetLatencyMs",
    "timeout": "timeoutMs",
}
_SERVICE_FIELDS = {
    "name": "name",
    "connections_limit": "maxConns",
    "standby": "standby",
}
_LIMIT_FIELDS = {
    "head_bytes": "maxHeaderBytes",
    "body_bytes": "maxBodyBytes",
    "head_timeout_s": "headerTimeoutMs",
    "idle_timeout_s": "idleTimeoutMs",
}


@attrs.frozen
class File:
    """A configuration file.

    Attributes:
        document: The decoded document, None if a field is malformed.
        body: The decoded JSON object, None if the file is not one.
        faults: Malformed fields with their places.
    """

    document: configcheck.Document | None
    body: dict | None
    faults: tuple[findings.Finding, ...] = ()


def decode(data: bytes, name: str) -> File:
    """Decodes the content of a file.

    Args:
        data: The content.
        name: Name of the file, for the places of findings.
    """
    try:
        body = fields.parse(data)
    except fields.FieldError as error:
        place = name
        if isinstance(error.__cause__, json.JSONDecodeError):
            place = f"{name}:{error.__cause__.lineno}"
        return File(None, None, (findings.Finding(place, str(error)),))
    reader = _Reader(name, _line_numbers(data))
    document = reader.read(fields.Fields(body))
    if reader.faults:
        return File(None, body, tuple(reader.faults))
    return File(document, body)


@attrs.define(eq=False)
class _Reader:
    """Reads a document and collects its malformed fields.

    Attributes:
        name: Name of the file.
        lines: Line numbers by location.
        faults: Malformed fields.
    """

    name: str
    lines: dict[str, int]
    faults: list[findings.Finding] = attrs.field(factory=list)

    def read(self, body: fields.Fields) -> configcheck.Document:
        """Returns the document; it is complete only without faults."""
        return configcheck.Document(
            self._take(body, "version", lambda: body.integer("version")),
            tuple(self._read_all(body, "routes", self._read_queue)),
            tuple(self._read_all(body, "services", self._read_service)),
            self._take(body, "limits", lambda: self._read_limits(body)),
            configcheck.Place(self.name, {"version": self._place("version")}),
        )

    def _read_all(
        self,
        body: fields.Fields,
        name: str,
        read: Callable[[fields.Fields], object],
    ) -> Iterable[object]:
        """Reads the objects of an array."""
        items = self._take(body, name, lambda: body.array(name)) or []
        for index in range(len(items)):
            location = f"{name}[{index}]"
            item = self._take(
                body, location, lambda index=index: body.item(name, index)
            )
            if item is not None:
                yield read(item)

    def _read_queue(self, route: fields.Fields) -> configcheck.QueueEntry:
        """Reads a route, which is the platform's name for a queue."""
        text, number = self._text(route), self._number(route)
        queue = work.Queue(
            name=text("name"),
            host=(text("host") or "").lower(),
            prefix=text("prefix"),
            service=text("service"),
            priority=self._take(
                route, "priority", lambda: route.integer("priority", 0)
            ),
            attempts_limit=self._take(
                route, "maxAttempts", lambda: route.integer("maxAttempts", 1)
            ),
            stretch=number("stretch", 1.0),
            latency_s=(number("targetLatencyMs", 0.0) or 0.0) / 1000,
            unsupported="advice" if "advice" in route.values else "",
        )
        timeout_s = (number("timeoutMs", 0.0) or 0.0) / 1000
        place = self._record_place(route, _QUEUE_FIELDS)
        return configcheck.QueueEntry(queue, timeout_s, place)

    def _read_service(self, item: fields.Fields) -> configcheck.ServiceEntry:
        """Reads a service."""
        return configcheck.ServiceEntry(
            self._text(item)("name"),
            self._optional_integer(item, "maxConns"),
            bool(self._take(item, "standby", lambda: item.boolean("standby"))),
            self._record_place(item, _SERVICE_FIELDS),
        )

    def _read_limits(self, body: fields.Fields) -> configcheck.RequestLimits:
        """Reads the limits of all requests."""
        limits = body.object("limits")
        head_ms = self._optional_integer(limits, "headerTimeoutMs")
        idle_ms = self._optional_integer(limits, "idleTimeoutMs")
        return configcheck.RequestLimits(
            self._optional_integer(limits, "maxHeaderBytes"),
            self._take(
                limits, "maxBodyBytes", lambda: limits.integer("maxBodyBytes")
            ),
            None if head_ms is None else head_ms / 1000,
            None if idle_ms is None else idle_ms / 1000,
            self._record_place(limits, _LIMIT_FIELDS),
        )

    def _text(self, record: fields.Fields) -> Callable[[str], str | None]:
        """Returns a function that reads a text of a record."""
        return lambda name: self._take(record, name, lambda: record.text(name))

    def _number(
        self, record: fields.Fields
    ) -> Callable[[str, float], float | None]:
        """Returns a function that reads a number of a record."""
        return lambda name, default: self._take(
            record, name, lambda: record.number(name, default)
        )

    def _optional_integer(self, record: fields.Fields, name: str) -> int | None:
        """Reads an integer, None if it is absent."""
        if record.values.get(name) is None:
            return None
        return self._take(record, name, lambda: record.integer(name))

    def _take(
        self, record: fields.Fields, name: str, read: Callable[[], object]
    ):
        """Reads a value; notes a fault and returns None if it is malformed."""
        try:
            return read()
        except fields.FieldError as error:
            place = self._place(f"{record.location}{name}")
            self.faults.append(findings.Finding(place, str(error)))
            return None

    def _record_place(
        self, record: fields.Fields, names: dict[str, str]
    ) -> configcheck.Place:
        """Returns the places of a record and of the fields that it has."""
        location = record.location.removesuffix(".")
        by_field = {
            own: f"{self._place(record.location + wire)} "
            f"{record.location}{wire}"
            for own, wire in names.items()
            if wire in record.values
        }
        return configcheck.Place(
            f"{self._place(location)} {location}", by_field
        )

    def _place(self, location: str) -> str:
        """Returns file and line of a location, or of what surrounds it."""
        while location and location not in self.lines:
            cut = max(location.rfind("."), location.rfind("["))
            location = location[: max(cut, 0)]
        line = self.lines.get(location)
        return self.name if line is None else f"{self.name}:{line}"


def _line_numbers(data: bytes) -> dict[str, int]:
    """Returns the line of each field and list item, by its location.

    JSON is read as YAML, whose parser keeps the lines. Tabs, which YAML does
    not take for white space everywhere, occur in JSON between values only.
    Without lines the findings still name their fields.
    """
    text = data.decode("utf-8", "replace").replace("\t", " ")
    lines: dict[str, int] = {}
    try:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
        _add_lines(root, "", lines)
    except (yaml.YAMLError, RecursionError):
        return {}
    return lines


def _add_lines(node: yaml.Node, location: str, lines: dict[str, int]) -> None:
    """Adds the lines of a node and of all that it contains."""
    lines.setdefault(location, node.start_mark.line + 1)
    match node:
        case yaml.MappingNode(value=pairs):
            prefix = f"{location}." if location else ""
            for key, value in pairs:
                name = f"{prefix}{key.value}"
                lines[name] = key.start_mark.line + 1
                _add_lines(value, name, lines)
        case yaml.SequenceNode(value=items):
            for index, item in enumerate(items):
                _add_lines(item, f"{location}[{index}]", lines)
