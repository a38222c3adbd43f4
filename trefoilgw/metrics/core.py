"""Metrics of one process and their Prometheus text form.

Values are kept in plain dicts, and parts that count by themselves are read
only when the metrics are asked for. prometheus_client is loaded at the first
exposition: it costs an agent memory that it needs only if someone scrapes it.
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
# Label sets per family. A label that takes more values than this would use
# up the memory; further ones are added up under OVERFLOW_LABEL.
LABEL_SETS_LIMIT = 2000
OVERFLOW_LABEL = "other"
# Seconds, from a network round trip to the longest tasks.
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
    """One value of a family that a part reads out.

    Attributes:
        value: The value.
        labels: Label values in the order of the family's label names.
    """

    value: float
    labels: tuple[str, ...] = ()


def unlabeled(read: Callable[[], float]) -> Callable[[], list[Sample]]:
    """Returns a reader of one value without labels.

    Args:
        read: Returns the value.
    """
    return lambda: [Sample(read())]


@attrs.define(eq=False)
class _Family:
    """Values of one name by their labels."""

    name: str
    description: str
    label_names: tuple[str, ...] = ()
    values: dict = attrs.field(factory=dict)

    def _key(self, labels: tuple[str, ...]) -> tuple[str, ...]:
        """Returns the labels under which a value is kept."""
        if labels in self.values:
            return labels
        if len(labels) != len(self.label_names):
            names = ", ".join(self.label_names)
            raise ValueError(f"{self.name} has the labels ({names})")
        if len(self.values) >= LABEL_SETS_LIMIT:
            return (OVERFLOW_LABEL,) * len(labels)
        return labels


@attrs.define(eq=False)
class Counter(_Family):
    """A value that only grows."""

    kind = "counter"

    def add(self, amount: float = 1, *labels: str) -> None:
        """Adds an amount, 0 or more."""
        if amount < 0:
            raise ValueError(f"{self.name} can't shrink")
        key = self._key(labels)
        self.values[key] = self.values.get(key, 0) + amount


@attrs.define(eq=False)
class Gauge(_Family):
    """A value that goes up and down."""

    kind = "gauge"

    def set(self, value: float, *labels: str) -> None:
        """Sets the value."""
        self.values[self._key(labels)] = value


@attrs.define(eq=False)
class Histogram(_Family):
    """Counts of observed values by upper bound.

    Attributes:
        bounds: Upper bounds, rising; the last bucket has none.
    """

    kind = "histogram"
    bounds: tuple[float, ...] = DEFAULT_BOUNDS_S

    def observe(self, value: float, *labels: str) -> None:
        """Counts one value."""
        key = self._key(labels)
        row = self.values.get(key)
        if row is None:
            row = self.values[key] = [0.0] + [0] * (len(self.bounds) + 1)
        row[0] += value
        row[1 + bisect.bisect_left(self.bounds, value)] += 1


@attrs.define(eq=False)
class _Reader:
    """A family whose values a part counts by itself."""

    name: str
    description: str
    kind: str
    label_names: tuple[str, ...]
    read: Callable[[], Iterable[Sample]]

    @property
    def values(self) -> dict:
        """The values by labels; empty if the part can't be read."""
        try:
            return {sample.labels: sample.value for sample in self.read()}
        except Exception:
            log.exception("metric can't be read", extra={"metric": self.name})
            return {}


@attrs.define(eq=False)
class Registry:
    """All metrics of a process.

    Names have the prefix ``trefoilgw_``; Prometheus adds ``_total`` to the
    names of counters.
    """

    families: dict = attrs.field(factory=dict)

    def counter(
        self, name: str, description: str, *label_names: str
    ) -> Counter:
        """Returns a new counter."""
        return self._add(Counter(name, description, label_names))

    def gauge(self, name: str, description: str, *label_names: str) -> Gauge:
        """Returns a new gauge."""
        return self._add(Gauge(name, description, label_names))

    def histogram(
        self,
        name: str,
        description: str,
        *label_names: str,
        bounds: tuple[float, ...] = DEFAULT_BOUNDS_S,
    ) -> Histogram:
        """Returns a new histogram."""
        return self._add(
            Histogram(name, description, label_names, bounds=bounds)
        )

    def observable_counter(
        self,
        name: str,
        description: str,
        read: Callable[[], Iterable[Sample]],
        *label_names: str,
    ) -> None:
        """Adds a counter that a part keeps; `read` is called per scrape."""
        self._add(_Reader(name, description, "counter", label_names, read))

    def observable_gauge(
        self,
        name: str,
        description: str,
        read: Callable[[], Iterable[Sample]],
        *label_names: str,
    ) -> None:
        """Adds a gauge that a part keeps; `read` is called per scrape."""
        self._add(_Reader(name, description, "gauge", label_names, read))

    def exposition(self) -> bytes:
        """Returns all metrics and those of the process as text.

        Returns:
            The Prometheus text form in UTF-8; see `CONTENT_TYPE`.
        """
        prometheus_client = _load_library()
        return prometheus_client.generate_latest(self)

    def collect(self) -> Iterable:
        """Yields the families as prometheus_client has them."""
        prometheus_client = _load_library()
        for family in self.families.values():
            yield _exposed(family)
        yield from prometheus_client.ProcessCollector(registry=None).collect()

    def _add(self, family):
        """Adds a family; a name is used once."""
        if family.name in self.families:
            raise ValueError(f"metric {family.name} is defined twice")
        self.families[family.name] = family
        return family


def _load_library():
    """Returns prometheus_client, loaded late; see the module's docstring.

    It imports parts of `ssl` for its own server and for pushes, neither of
    which is used here. An agent leaves `ssl` out, since OpenSSL takes 4.7 MB,
    so names without a function stand in while the library is loaded.
    """
    left_out = "ssl" in sys.modules and sys.modules["ssl"] is None
    if not left_out or "prometheus_client" in sys.modules:
        return importlib.import_module("prometheus_client")
    substitute = types.ModuleType("ssl")
    substitute.SSLContext = substitute.TLSVersion = type("Unused", (), {})
    substitute.PROTOCOL_TLS_CLIENT = substitute.PROTOCOL_TLS_SERVER = None
    # Loaded without ssl, it has no such handler.
    request = importlib.import_module("urllib.request")
    request.HTTPSHandler = object
    sys.modules["ssl"] = substitute
    try:
        return importlib.import_module("prometheus_client")
    finally:
        sys.modules["ssl"] = None
        del request.HTTPSHandler


def _exposed(family):
    """Returns a family as prometheus_client has it."""
    from prometheus_client import metrics_core  # Late, as above.

    name = f"trefoilgw_{family.name}"
    names = family.label_names
    match family.kind:
        case "counter":
            exposed = metrics_core.CounterMetricFamily(
                name, family.description, labels=names
            )
        case "gauge":
            exposed = metrics_core.GaugeMetricFamily(
                name, family.description, labels=names
            )
        case "histogram":
            exposed = metrics_core.HistogramMetricFamily(
                name, family.description, labels=names
            )
            for labels, row in family.values.items():
                exposed.add_metric(labels, _buckets(family.bounds, row), row[0])
            return exposed
        case _:
            raise TypeError(f"not a kind of metric: {family.kind!r}")
    for labels, value in family.values.items():
        exposed.add_metric(labels, value)
    return exposed


def _buckets(bounds: tuple[float, ...], row: list) -> list:
    """Returns cumulated counts with their upper bounds as text."""
    names = [str(bound) for bound in bounds] + ["+Inf"]
    return list(zip(names, itertools.accumulate(row[1:]), strict=True))
