"""Finds what is wrong with a configuration before it is in force.

The schedulers put any configuration in force that they can decode. A queue that
no request can reach, or a limit that excludes another one, shows only when
callers are refused. The checks take a decoded document and name the place of
each fault in the operator's file. They don't decode or read anything.
"""

import collections
import string
from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from trefoilgw.findings import core as findings
from trefoilgw.work import core as work

# Characters that end the path of a request or that callers must escape.
PATH_DELIMITERS = "?#"
# A key of a job follows the prefix of its queue in the path.
KEY_DIGITS = frozenset(string.digits + "abcdef")
KEY_LENGTH = 16


@attrs.frozen
class Place:
    """Where a record stands in the operator's file.

    Attributes:
        record: Place of the record as a whole.
        by_field: Places of its fields, by the names that this package uses.
    """

    record: str
    by_field: Mapping[str, str] = attrs.field(factory=dict)

    def of(self, field: str) -> str:
        """Returns the place of a field, or of the record if it is absent."""
        return self.by_field.get(field, self.record)


@attrs.frozen
class QueueEntry:
    """A queue and how long its requests may take.

    Attributes:
        queue: The queue.
        timeout_s: Limit for a request in seconds, 0 if there is none.
        place: Its place.
    """

    queue: work.Queue
    timeout_s: float
    place: Place


@attrs.frozen
class ServiceEntry:
    """A service.

    Attributes:
        name: Name of the service.
        connections_limit: Connections that may be open to one of its targets,
            None if it does not say.
        standby: Whether its machines are switched off.
        place: Its place.
    """

    name: str
    connections_limit: int | None
    standby: bool
    place: Place


@attrs.frozen
class RequestLimits:
    """Limits of all requests.

    Attributes:
        head_bytes: Maximum size of a request's head, None if it does not say.
        body_bytes: Maximum size of its body.
        head_timeout_s: Time in which the head must arrive, None if it does not
            say.
        idle_timeout_s: Time after which an idle connection is closed, None if
            it does not say.
        place: Their place.
    """

    head_bytes: int | None
    body_bytes: int
    head_timeout_s: float | None
    idle_timeout_s: float | None
    place: Place


@attrs.frozen
class Document:
    """A decoded configuration with its places.

    Attributes:
        version: Its version.
        queues: Queues in the order of the file.
        services: Services in the order of the file.
        limits: Limits of all requests.
        place: Place of the document's own fields.
    """

    version: int
    queues: tuple[QueueEntry, ...]
    services: tuple[ServiceEntry, ...]
    limits: RequestLimits
    place: Place


@attrs.frozen
class Environment:
    """What the configuration is meant for.

    Attributes:
        version_in_force: Version that it replaces, None if unknown.
        target_connections: Connections that a target accepts, None if unknown.
        payload_limit_bytes: Maximum size of a job's payload.
    """

    version_in_force: int | None = None
    target_connections: int | None = None
    payload_limit_bytes: int = 0


@attrs.frozen
class Result:
    """What the checks found.

    Attributes:
        errors: Faults with which the configuration must not be sent.
        warnings: What is probably not meant.
    """

    errors: tuple[findings.Finding, ...] = ()
    warnings: tuple[findings.Finding, ...] = ()


def check(document: Document, environment: Environment) -> Result:
    """Checks a document; all findings are reported at once."""
    errors = [
        *_check_version(document, environment),
        *_find_repeated_names(document.queues, "queue"),
        *_find_repeated_names(document.services, "service"),
        *_find_unreachable(document.queues),
        *_find_unknown_services(document),
        *_check_objectives(document.queues),
        *_check_connections(document.services, environment),
        *_check_limits(document.limits, environment),
    ]
    warnings = [
        *_find_partly_shadowed(document.queues),
        *_find_unsupported(document.queues),
        *_find_unused_services(document),
        *_warn_limits(document.limits),
    ]
    return Result(tuple(errors), tuple(warnings))


def _check_version(
    document: Document, environment: Environment
) -> Iterable[findings.Finding]:
    """Finds a version that the schedulers would ignore."""
    in_force = environment.version_in_force
    if in_force is not None and document.version <= in_force:
        yield findings.Finding(
            document.place.of("version"),
            f"version {document.version} would be ignored, as version "
            f"{in_force} is in force",
        )


def _name_of(entry: QueueEntry | ServiceEntry) -> str:
    """Returns the name of a queue or service."""
    match entry:
        case QueueEntry(queue=queue):
            return queue.name
        case ServiceEntry(name=name):
            return name
    raise TypeError(f"not an entry: {entry!r}")


def _find_repeated_names(
    entries: Iterable[QueueEntry | ServiceEntry], kind: str
) -> Iterable[findings.Finding]:
    """Finds names that stand more than once; metrics would mix them up."""
    first: dict[str, Place] = {}
    for entry in entries:
        name = _name_of(entry)
        if name in first:
            yield findings.Finding(
                entry.place.of("name"),
                f"{kind} {name!r} is also defined at {first[name].record}",
            )
        first.setdefault(name, entry.place)


def _find_unreachable(
    queues: Iterable[QueueEntry],
) -> Iterable[findings.Finding]:
    """Finds queues that no request can match."""
    known: dict[tuple[str, str], QueueEntry] = {}
    for entry in queues:
        queue, place = entry.queue, entry.place
        if not queue.host or ":" in queue.host:
            yield findings.Finding(
                place.of("host"),
                f"queue {queue.name!r} matches no request: hosts are compared "
                f"without a port, and {queue.host!r} is no host name",
            )
        fault = _prefix_fault(queue.prefix)
        if fault:
            yield findings.Finding(
                place.of("prefix"),
                f"queue {queue.name!r} matches no request: {fault}",
            )
        earlier = known.setdefault((queue.host, queue.prefix), entry)
        if earlier is not entry:
            yield findings.Finding(
                place.of("prefix"),
                f"queue {queue.name!r} matches no request: queue "
                f"{earlier.queue.name!r} has the same host and prefix",
            )


def _prefix_fault(prefix: str) -> str:
    """Returns why no path can begin with a prefix, or nothing."""
    if not prefix.startswith("/"):
        return f"paths begin with a slash, and the prefix is {prefix!r}"
    found = [x for x in prefix if x in PATH_DELIMITERS or x.isspace()]
    if found:
        return f"a path holds no {found[0]!r}"
    return ""


def _find_partly_shadowed(
    queues: Iterable[QueueEntry],
) -> Iterable[findings.Finding]:
    """Finds queues that take some of another queue's keys.

    The longest prefix wins. If it continues another one by digits of a key,
    jobs with such keys go to the queue with the longer prefix, which refuses
    them, as what is left of the key is too short.
    """
    by_host = collections.defaultdict(dict)
    for entry in queues:
        by_host[entry.queue.host][entry.queue.prefix] = entry
    for prefixes in by_host.values():
        for prefix, entry in prefixes.items():
            for length in range(1, min(KEY_LENGTH, len(prefix)) + 1):
                digits = prefix[-length:]
                if not KEY_DIGITS.issuperset(digits):
                    break
                shorter = prefixes.get(prefix[:-length])
                if shorter is not None:
                    yield findings.Finding(
                        entry.place.of("prefix"),
                        f"queue {entry.queue.name!r} takes the jobs of queue "
                        f"{shorter.queue.name!r} whose keys begin with "
                        f"{digits!r}",
                    )


def _find_unknown_services(document: Document) -> Iterable[findings.Finding]:
    """Finds queues whose service is missing or switched off."""
    services = {x.name: x for x in document.services}
    for entry in document.queues:
        service = services.get(entry.queue.service)
        if service is None:
            yield findings.Finding(
                entry.place.of("service"),
                f"queue {entry.queue.name!r} names the service "
                f"{entry.queue.service!r}, which is not defined",
            )
        elif service.standby:
            yield findings.Finding(
                entry.place.of("service"),
                f"queue {entry.queue.name!r} names the service "
                f"{service.name!r}, whose machines are switched off",
            )


def _find_unused_services(document: Document) -> Iterable[findings.Finding]:
    """Finds services that no queue names."""
    used = {x.queue.service for x in document.queues}
    for entry in document.services:
        if entry.name not in used and not entry.standby:
            yield findings.Finding(
                entry.place.record, f"no queue uses the service {entry.name!r}"
            )


def _check_objectives(
    queues: Iterable[QueueEntry],
) -> Iterable[findings.Finding]:
    """Finds objectives that no job can meet."""
    for entry in queues:
        queue, place = entry.queue, entry.place
        if queue.stretch < 1.0:
            yield findings.Finding(
                place.of("stretch"),
                f"queue {queue.name!r} expects its jobs in {queue.stretch:g} "
                "times their run time; the least is 1",
            )
        if 0.0 < entry.timeout_s <= queue.latency_s:
            yield findings.Finding(
                place.of("timeout"),
                f"queue {queue.name!r} ends requests after "
                f"{entry.timeout_s:g} s, but allows them {queue.latency_s:g} s "
                "besides their run time",
            )


def _check_connections(
    services: Iterable[ServiceEntry], environment: Environment
) -> Iterable[findings.Finding]:
    """Finds limits of connections that targets can't keep or that stop all."""
    most = environment.target_connections
    for entry in services:
        limit = entry.connections_limit
        if limit == 0:
            yield findings.Finding(
                entry.place.of("connections_limit"),
                f"service {entry.name!r} allows no connection to its targets",
            )
        elif limit is not None and most is not None and limit > most:
            yield findings.Finding(
                entry.place.of("connections_limit"),
                f"service {entry.name!r} allows {limit} connections to a "
                f"target, which accepts {most}",
            )


def _check_limits(
    limits: RequestLimits, environment: Environment
) -> Iterable[findings.Finding]:
    """Finds limits that exclude requests which other limits allow."""
    if limits.body_bytes <= environment.payload_limit_bytes:
        yield findings.Finding(
            limits.place.of("body_bytes"),
            f"a body of {limits.body_bytes} bytes can't hold the longest "
            f"payload of a job, {environment.payload_limit_bytes} bytes",
        )
    for field in ("head_bytes", "head_timeout_s", "idle_timeout_s"):
        if getattr(limits, field) == 0:
            yield findings.Finding(
                limits.place.of(field), "with a limit of 0 no request is served"
            )


def _warn_limits(limits: RequestLimits) -> Iterable[findings.Finding]:
    """Finds time limits in an unusual order."""
    head_s, idle_s = limits.head_timeout_s, limits.idle_timeout_s
    if head_s is not None and idle_s is not None and 0 < idle_s < head_s:
        yield findings.Finding(
            limits.place.of("idle_timeout_s"),
            f"idle connections are closed after {idle_s:g} s, sooner than "
            f"those whose request is incomplete ({head_s:g} s)",
        )


def _find_unsupported(
    queues: Iterable[QueueEntry],
) -> Iterable[findings.Finding]:
    """Finds queues whose jobs this version rejects."""
    for entry in queues:
        if entry.queue.unsupported:
            yield findings.Finding(
                entry.place.record,
                f"queue {entry.queue.name!r} uses {entry.queue.unsupported!r}, "
                "which is not implemented; its jobs are rejected",
            )
