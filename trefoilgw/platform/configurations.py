"""The operators' configuration as it stands in the store."""

from trefoilgw.platform import fields
from trefoilgw.work import core as work

KEY = "op/config"


def decode(data: bytes) -> work.Configuration:
    """Returns the configuration in a document.

    Raises:
        fields.FieldError: The document does not hold what it should.
    """
    body = fields.Fields(fields.parse(data))
    return work.Configuration(
        body.whole("version"),
        tuple(_queue(x) for x in body.objects("routes")),
        frozenset(x.text("name") for x in body.objects("services")),
        body.object("limits").whole("maxBodyBytes"),
    )


def _queue(route: fields.Fields) -> work.Queue:
    """Returns one route as a queue."""
    return work.Queue(
        name=route.text("name"),
        host=route.text("host").lower(),
        prefix=route.text("prefix"),
        service=route.text("service"),
        priority=route.whole("priority", 0),
        attempts_limit=max(1, route.whole("maxAttempts", 1)),
        stretch=route.number("stretch", 1.0),
        # An amount that the objective grows by, not a limit of its own.
        latency_s=route.number("targetLatencyMs", 0.0) / 1000,
        unsupported="advice" if "advice" in route.values else "",
    )
