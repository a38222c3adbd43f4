"""Makes servers whose limits follow from the settings of the host."""

from collections.abc import Callable

from trefoilgw.callers import budget
from trefoilgw.callers import protocol
from trefoilgw.callers import server
from trefoilgw.metrics import core as metrics
from trefoilgw.work import hosting

# Largest body for servers that expect none.
SERVICE_BODY_BYTES = 16 * 1024
LOG_INTERVAL_S = 1.0


def make_server(
    application: Callable, settings: hosting.HostSettings
) -> server.HttpServer:
    """Returns a server that may use its share of the host's memory."""
    return server.HttpServer(application, accounts=_make_budget(settings))


def make_service_server(application: Callable) -> server.HttpServer:
    """Returns a server for probes and metrics, whose requests have no body."""
    return server.HttpServer(
        application,
        protocol.Limits(
            body_limit_bytes=SERVICE_BODY_BYTES,
            discard_limit_bytes=SERVICE_BODY_BYTES,
        ),
        budget.Budget(budget.SERVICE_LIMITS),
    )


def apply(changed: server.HttpServer, settings: hosting.HostSettings) -> None:
    """Applies changed limits of the host; open requests keep what they hold."""
    changed.accounts.limits = _make_budget(settings).limits


def _make_budget(settings: hosting.HostSettings) -> budget.Budget:
    """Returns the budget of a host's main server."""
    return budget.Budget(
        budget.limits_of_host(
            settings.memory_limit_bytes, settings.descriptor_limit
        )
    )


def register_metrics(
    registry: metrics.Registry, measured: server.HttpServer
) -> None:
    """Registers metrics of a server's connections and their memory."""
    registry.observable_counter(
        "callers_limited",
        "Requests refused and connections closed by limits",
        lambda: [
            metrics.Sample(count, (str(cause),))
            for cause, count in measured.accounts.counts.items()
        ],
        "reason",
    )
    registry.observable_gauge(
        "callers_held_bytes",
        "Memory charged for requests",
        metrics.unlabeled(lambda: measured.accounts.held_bytes),
    )
    registry.observable_gauge(
        "callers_connections",
        "Open connections by what they do",
        lambda: _connections(measured),
        "phase",
    )


def _connections(measured: server.HttpServer) -> list[metrics.Sample]:
    """Returns the number of open connections by their phase."""
    counts = dict.fromkeys(budget.Phase, 0)
    for account in measured.accounts.accounts:
        counts[account.phase] += 1
    return [
        metrics.Sample(count, (phase.value,)) for phase, count in counts.items()
    ]
