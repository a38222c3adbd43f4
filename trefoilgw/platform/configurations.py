"""Decodes the operators' configuration from its document in the store."""

from trefoilgw.platform import fields
from trefoilgw.work import core as work

KEY = "op/config"


def decode(data: bytes) -> work.Configuration:
    """Decodes a configuration document.

    Raises:
        fields.FieldError: The document is malformed.
    """
    body = fields.Fields(fields.parse(data))
    return work.Configuration(
        body.integer("version"),
        tuple(_decode_queue(x) for x in body.objects("routes")),
        frozenset(x.text("name") for x in body.objects("services")),
        body.object("limits").integer("maxBodyBytes"),
    )


def _decode_queue(route: fields.Fields) -> work.Queue:
    """Decodes a route, which is the platform's name for a queue."""
    return work.Queue(
        name=route.text("name"),
        host=route.text("host").lower(),
        prefix=route.text("prefix"),
        service=route.text("service"),
        priority=route.integer("priority", 0),
        attempts_limit=max(1, route.integer("maxAttempts", 1)),
        stretch=route.number("stretch", 1.0),
        # Despite its name, `targetLatencyMs` is not a limit of its own: it is
        # added to the stretched objective.
        latency_s=route.number("targetLatencyMs", 0.0) / 1000,
        unsupported="advice" if "advice" in route.values else "",
    )
