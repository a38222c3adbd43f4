"""WSGI application that exposes metrics to Prometheus."""

from collections.abc import Callable

import attrs

from trefoilgw.metrics import core as metrics

PATH = "/metrics"


@attrs.define(eq=False)
class Application:
    """Answers ``GET /metrics``.

    Attributes:
        registry: The metrics to expose.
    """

    registry: metrics.Registry

    def __call__(self, environ: dict, start_response: Callable) -> list[bytes]:
        """Answers a request; 404 for any other method or path."""
        if environ["REQUEST_METHOD"] != "GET" or environ["PATH_INFO"] != PATH:
            start_response("404 Not Found", [("Content-Length", "0")])
            return [b""]
        body = self.registry.exposition()
        headers = [
            ("Content-Type", metrics.CONTENT_TYPE),
            ("Content-Length", str(len(body))),
        ]
        start_response("200 OK", headers)
        return [body]
