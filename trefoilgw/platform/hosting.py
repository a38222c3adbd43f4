"""Settings file that the platform writes for each process."""

import os
import pathlib

from trefoilgw.platform import fields
from trefoilgw.work import hosting

PATH_VARIABLE = "TREFOILGW_BOOT"


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
        stop_limit_s=bounds.number("graceS"),
        unsupported=tuple(unsupported),
    )
