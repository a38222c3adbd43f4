"""Counters, gauges and histograms in the Prometheus text format."""

from trefoilgw.metrics.core import CONTENT_TYPE
from trefoilgw.metrics.core import Counter
from trefoilgw.metrics.core import Gauge
from trefoilgw.metrics.core import Histogram
from trefoilgw.metrics.core import Registry
from trefoilgw.metrics.core import Sample
from trefoilgw.metrics.core import unlabeled

__all__ = [
    "CONTENT_TYPE",
    "Counter",
    "Gauge",
    "Histogram",
    "Registry",
    "Sample",
    "unlabeled",
]
