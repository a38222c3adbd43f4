"""Reads the settings file that the platform writes for each process."""

import logging
import os
import pathlib
from collections.abc import Callable

import attrs

from trefoilgw.platform import fields
from trefoilgw.work import hosting

PATH_VARIABLE = "TREFOILGW_BOOT"

log = logging.getLogger(__name__)


def load() -> hosting.HostSettings:
    """Returns the settings of this process.

    Raises:
        OSError: The file can't be read.
        KeyError: The environment variable with the path is not set.
        fields.FieldError: The file is malformed.
    """
    path = pathlib.Path(os.environ[PATH_VARIABLE])
    return decode(path.read_bytes())


def decode(data: bytes) -> hosting.HostSettings:
    """Decodes the content of a settings file.

    Raises:
        fields.FieldError: The content is malformed.
    """
    body = fields.Fields(fields.parse(data))
    listen = body.object("listen")
    bounds = body.object("bounds")
    ports = body.array("portRange")
    if not ports or not isinstance(ports[0], int):
        raise fields.FieldError("portRange has no first port")
    unsupported = []
    if body.text("orders", "rpc") != "rpc":
        unsupported.append("orders that travel with heartbeats")
    zones = body.values.get("zones")
    serves_targets = "side" in body.array("serves")
    return hosting.HostSettings(
        name=body.text("node"),
        domain=body.text("zone"),
        address=body.text("ip"),
        stream_port=ports[0],
        # The port of a seed is the one for targets. Schedulers on the same
        # hosts listen on the stream port, so the seed's port is dropped.
        seeds=tuple(
            x.rpartition(":")[0]
            for x in body.array("seeds")
            if isinstance(x, str)
        ),
        callers_address=listen.text("front", ""),
        ready_address=listen.text("ready", ""),
        reports_address=listen.text("control", "") if serves_targets else "",
        target_address=body.text("app", ""),
        store_address=body.object("platform").text("address"),
        lease_limit_s=bounds.number("maxHoldMs") / 1000,
        run_stop_s=bounds.number("stopTimeoutMs") / 1000,
        stop_limit_s=bounds.number("graceS"),
        memory_limit_bytes=_memory_limit_bytes(body),
        descriptor_limit=(
            _limits(body).integer("maxFds", 0)
            or hosting.DEFAULT_DESCRIPTOR_LIMIT
        ),
        unsupported=tuple(unsupported),
        processors=_decode_processors(body),
        # Either one announces that zones, which are failure domains, may be
        # evacuated.
        follows_evacuations="places" in body.array("contracts")
        or "evacuateMs" in bounds.values,
        domains=frozenset(zones) if isinstance(zones, dict) else frozenset(),
    )


def _limits(body: fields.Fields) -> fields.Fields:
    """Returns the limits of the host, which may be absent."""
    present = body.values.get("limits") is not None
    return body.object("limits") if present else fields.Fields({}, "limits.")


def _memory_limit_bytes(body: fields.Fields) -> int:
    """Returns the memory limit; `memoryMb` may be a fraction."""
    limit_bytes = int(_limits(body).number("memoryMb", 0.0) * 1024 * 1024)
    return limit_bytes or hosting.DEFAULT_MEMORY_LIMIT_BYTES


def _decode_processors(body: fields.Fields) -> float:
    """Returns the cores that the process may use; 0 for odd figures.

    A process runs on one core at a time. `cpuShare` is the share of it that
    the process gets, and `cores` is how many times as fast as usual it is.
    """
    try:
        limits = _limits(body)
        return limits.number("cpuShare", 1.0) * limits.number("cores", 1.0)
    except fields.FieldError:
        return 0.0


@attrs.define(eq=False)
class SettingsWatch:
    """Reloads the settings when the content of their file has changed.

    The file is read again on every `check`, so that a change is also found
    without a signal.

    Attributes:
        current: The settings in force.
        on_changed: Called with the new settings after a change.
    """

    current: hosting.HostSettings
    on_changed: Callable[[hosting.HostSettings], None]

    def check(self) -> None:
        """Reads the file again; keeps the settings if it can't be read."""
        try:
            found = load()
        except (OSError, KeyError, fields.FieldError) as error:
            log.error("settings unreadable", extra={"error": str(error)})
            return
        if found != self.current:
            before, self.current = self.current, found
            log.info(
                "settings reloaded",
                extra={"changed": _changed_names(before, found)},
            )
            self.on_changed(found)


def _changed_names(
    before: hosting.HostSettings, after: hosting.HostSettings
) -> list[str]:
    """Returns the names of the settings that differ."""
    return [
        x.name
        for x in attrs.fields(hosting.HostSettings)
        if getattr(before, x.name) != getattr(after, x.name)
    ]
