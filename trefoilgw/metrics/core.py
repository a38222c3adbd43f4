"""Metrics of a process and their Prometheus text format.

Values are kept in plain dicts. Observable metrics call back into the component
that counts the values, only when the metrics are scraped. prometheus_client is
imported at the first exposition, so that an agent that is never scraped does
not spend memory on it.
"""

import bisect
import importlib
import itertools
import logging
import sys
import types
from collections.abc import Callable
from collections.abc import Iterable

import attrs

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
# Maximum number of label sets per metric family. It bounds the memory used by
# labels of high cardinality; further label sets are merged into
# `OVERFLOW_LABEL`.
MAX_LABEL_SETS = 2000
OVERFLOW_LABEL = "other"
# Bucket bounds in seconds, from a network round trip to the longest tasks.
DEFAULT_BOUNDS_S = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
)

log = logging.getLogger(__name__)


@attrs.frozen
class Sample:
    """One value of an observable metric family.

    Attributes:
        value: Current value.
        labels: Label values, in the order of the family's label names.
    """

    value: float
    labels: tuple[str, ...] = ()


def unlabeled(read: Callable[[], float]) -> Callable[[], list[Sample]]:
    """Adapts a function to the callback of a metric without labels.

    Args:
        read: Returns the current value.
    """
    return lambda: [Sample(read())]


@attrs.define(eq=False)
class _Family:
    """Base class of metric families: values of one metric by labels."""

    name: str
    description: str
    label_names: tuple[str, ...] = ()
    values: dict = attrs.field(factory=dict)

    def _resolve_labels(self, labels: tuple[str, ...]) -> tuple[str, ...]:
        """Returns the label set that stores a value.

        Returns:
            The given labels, or the overflow labels if they are new and the
            family has `MAX_LABEL_SETS` label sets.

        Raises:
            ValueError: The number of labels is wrong.
        """
        if labels in self.values:
            return labels
        if len(labels) != len(self.label_names):
            names = ", ".join(self.label_names)
            raise ValueError(f"{self.name} takes the labels ({names})")
        if len(self.values) >= MAX_LABEL_SETS:
            return (OVERFLOW_LABEL,) * len(labels)
        return labels


@attrs.define(eq=False)
class Counter(_Family):
    """Metric whose value only increases."""

    kind = "counter"

    def add(self, amount: float = 1, *labels: str) -> None:
        """Increases the counter by an amount of 0 or more.

        Raises:
            ValueError: The amount is negative, or the number of labels is
                wrong.
        """
        if amount < 0:
            raise ValueError(f"{self.name} can't decrease")
        key = self._resolve_labels(labels)
        self.values[key] = self.values.get(key, 0) + amount


@attrs.define(eq=False)
class Gauge(_Family):
    """Metric whose value can increase and decrease."""

    kind = "gauge"

    def set(self, value: float, *labels: str) -> None:
        """Sets the current value."""
        self.values[self._resolve_labels(labels)] = value


@attrs.define(eq=False)
class Histogram(_Family):
    """Metric that counts observed values in buckets.

    Attributes:
        bounds: Upper bounds of the buckets, ascending; one more bucket without
            an upper bound follows.
    """

    kind = "histogram"
    bounds: tuple[float, ...] = DEFAULT_BOUNDS_S

    def observe(self, value: float, *labels: str) -> None:
        """Adds a value to its bucket and to the sum."""
        key = self._resolve_labels(labels)
        row = self.values.get(key)
        if row is None:
            row = self.values[key] = [0.0] + [0] * (len(self.bounds) + 1)
        row[0] += value
        row[1 + bisect.bisect_left(self.bounds, value)] += 1


@attrs.define(eq=False)
class _ObservableFamily:
    """Metric family whose values are read through a callback."""

    name: str
    description: str
    kind: str
    label_names: tuple[str, ...]
    read: Callable[[], Iterable[Sample]]

    @property
    def values(self) -> dict:
        """Values by labels; empty if the callback fails."""
        try:
            return {sample.labels: sample.value for sample in self.read()}
        except Exception:
            log.exception("metric can't be read", extra={"metric": self.name})
            return {}


@attrs.define(eq=False)
class Registry:
    """Metrics of a process.

    The exposition adds the prefix ``trefoilgw_`` to names and the suffix
    ``_total`` to names of counters.
    """

    families: dict = attrs.field(factory=dict)

    def counter(
        self, name: str, description: str, *label_names: str
    ) -> Counter:
        """Creates and registers a counter."""
        return self._register(Counter(name, description, label_names))

    def gauge(self, name: str, description: str, *label_names: str) -> Gauge:
        """Creates and registers a gauge."""
        return self._register(Gauge(name, description, label_names))

    def histogram(
        self,
        name: str,
        description: str,
        *label_names: str,
        bounds: tuple[float, ...] = DEFAULT_BOUNDS_S,
    ) -> Histogram:
        """Creates and registers a histogram."""
        return self._register(
            Histogram(name, description, label_names, bounds=bounds)
        )

    def observable_counter(
        self,
        name: str,
        description: str,
        read: Callable[[], Iterable[Sample]],
        *label_names: str,
    ) -> None:
        """Registers a counter whose values `read` returns at each scrape."""
        self._register(
            _ObservableFamily(name, description, "counter", label_names, read)
        )

    def observable_gauge(
        self,
        name: str,
        description: str,
        read: Callable[[], Iterable[Sample]],
        *label_names: str,
    ) -> None:
        """Registers a gauge whose values `read` returns at each scrape."""
        self._register(
            _ObservableFamily(name, description, "gauge", label_names, read)
        )

    def exposition(self) -> bytes:
        """Returns all registered metrics and the process metrics.

        Returns:
            The metrics in the Prometheus text format, encoded in UTF-8; see
            `CONTENT_TYPE`.
        """
        prometheus_client = _load_prometheus_client()
        return prometheus_client.generate_latest(self)

    def collect(self) -> Iterable:
        """Yields all metric families as prometheus_client objects."""
        prometheus_client = _load_prometheus_client()
        for family in self.families.values():
            yield _to_client_family(family)
        yield from prometheus_client.ProcessCollector(registry=None).collect()

    def _register(self, family):
        """Registers a metric family and returns it.

        Raises:
            ValueError: The name is already registered.
        """
        if family.name in self.families:
            raise ValueError(f"metric {family.name} is already registered")
        self.families[family.name] = family
        return family


def _load_prometheus_client():
    """Imports prometheus_client on first use; see the module docstring.

    The library imports names from `ssl` for its HTTP server and push client,
    neither of which is used here. Agents block the import of `ssl`, since
    OpenSSL takes 4.7 MB of memory; in this case, a stub module with
    placeholders replaces `ssl` while the library is imported.
    """
    ssl_blocked = "ssl" in sys.modules and sys.modules["ssl"] is None
    if not ssl_blocked or "prometheus_client" in sys.modules:
        return importlib.import_module("prometheus_client")
    ssl_stub = types.ModuleType("ssl")
    ssl_stub.SSLContext = ssl_stub.TLSVersion = type("Unused", (), {})
    ssl_stub.PROTOCOL_TLS_CLIENT = ssl_stub.PROTOCOL_TLS_SERVER = None
    # `urllib.request` defines no HTTPSHandler if it was imported without `ssl`,
    # but the library refers to it.
    request = importlib.import_module("urllib.request")
    request.HTTPSHandler = object
    sys.modules["ssl"] = ssl_stub
    try:
        return importlib.import_module("prometheus_client")
    finally:
        sys.modules["ssl"] = None
        del request.HTTPSHandler


def _to_client_family(family):
    """Converts a metric family to its prometheus_client counterpart."""
    # Imported on first use; see `_load_prometheus_client`.
    from prometheus_client import metrics_core

    name = f"trefoilgw_{family.name}"
    names = family.label_names
    match family.kind:
        case "counter":
            converted = metrics_core.CounterMetricFamily(
                name, family.description, labels=names
            )
        case "gauge":
            converted = metrics_core.GaugeMetricFamily(
                name, family.description, labels=names
            )
        case "histogram":
            converted = metrics_core.HistogramMetricFamily(
                name, family.description, labels=names
            )
            for labels, row in family.values.items():
                converted.add_metric(
                    labels, _cumulative_buckets(family.bounds, row), row[0]
                )
            return converted
        case _:
            raise TypeError(f"unknown metric type: {family.kind!r}")
    for labels, value in family.values.items():
        converted.add_metric(labels, value)
    return converted


def _cumulative_buckets(bounds: tuple[float, ...], row: list) -> list:
    """Returns cumulative bucket counts with their upper bounds as text."""
    names = [str(bound) for bound in bounds] + ["+Inf"]
    return list(zip(names, itertools.accumulate(row[1:]), strict=True))
