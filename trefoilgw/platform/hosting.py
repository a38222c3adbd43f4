"""Settings file that the platform writes for each process."""

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
        KeyError: The variable with its path is not set.
        fields.FieldError: The file does not hold what it should.
    """
    path = pathlib.Path(os.environ[PATH_VARIABLE])
    return decode(path.read_bytes())


def decode(data: bytes) -> hosting.HostSettings:
    """Returns the settings in a file."""
    body = fields.Fields(fields.parse(data))
    listen = body.object("listen")
    bounds = body.object("bounds")
    ports = body.rows("portRange")
    if not ports or not isinstance(ports[0], int):
        raise fields.FieldError("portRange has no first port")
    unsupported = []
    if body.text("orders", "rpc") != "rpc":
        unsupported.append("orders that travel with heartbeats")
    serves_targets = "side" in body.rows("serves")
    return hosting.HostSettings(
        name=body.text("node"),
        domain=body.text("zone"),
        address=body.text("ip"),
        stream_port=ports[0],
        # They name a port for targets; schedulers use another one there.
        seeds=tuple(
            x.rpartition(":")[0]
            for x in body.rows("seeds")
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
        unsupported=tuple(unsupported),
    )


@attrs.define(eq=False)
class SettingsWatch:
    """Reloads the settings when the file changes, with or without a signal.

    Attributes:
        current: The settings in force.
        on_changed: Called with the new settings.
    """

    current: hosting.HostSettings
    on_changed: Callable[[hosting.HostSettings], None]

    def check(self) -> None:
        """Reads the file again; one that can't be read changes nothing."""
        try:
            found = load()
        except (OSError, KeyError, fields.FieldError) as error:
            log.error("settings unreadable", extra={"error": str(error)})
            return
        if found != self.current:
            before, self.current = self.current, found
            log.info(
                "settings reloaded", extra={"changed": _diff(before, found)}
            )
            self.on_changed(found)


def _diff(
    before: hosting.HostSettings, after: hosting.HostSettings
) -> list[str]:
    """Returns the names of the settings that differ."""
    return [
        x.name
        for x in attrs.fields(hosting.HostSettings)
        if getattr(before, x.name) != getattr(after, x.name)
    ]
