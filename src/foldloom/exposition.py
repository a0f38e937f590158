# SPDX-License-Identifier: MIT
"""Renders a box's metrics in the Prometheus text exposition format."""

from __future__ import annotations

import itertools
import re
from collections.abc import Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from foldloom.metrics import BUCKETS_MS, Metrics

_INVALID_NAME_CHARACTERS = re.compile(r"[^a-zA-Z0-9_]")
_INFINITE_BOUND = "+Inf"


class _BoxCollector(Collector):
    """Converts a box's metrics to metric families on each scrape.

    Args:
        metrics: Metrics of the box.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[Metric]:
        """Yield a metric family for each counter, gauge and histogram."""
        for name, count in sorted(self._metrics.counts.items()):
            yield CounterMetricFamily(_metric_name(name), name, value=count)
        for name, value in sorted(self._metrics.gauges.items()):
            yield GaugeMetricFamily(_metric_name(name), name, value=value)
        bounds = [*map(str, BUCKETS_MS), _INFINITE_BOUND]
        for name, histogram in sorted(self._metrics.histograms.items()):
            cumulative_counts = itertools.accumulate(histogram.counts)
            yield HistogramMetricFamily(
                _metric_name(name),
                name,
                buckets=list(zip(bounds, map(float, cumulative_counts), strict=True)),
                sum_value=histogram.total_ms,
            )


def metrics_text(metrics: Metrics) -> bytes:
    """Return *metrics* in the Prometheus text format."""
    registry = CollectorRegistry()
    registry.register(_BoxCollector(metrics))
    return generate_latest(registry)


def _metric_name(name: str) -> str:
    return "foldloom_" + _INVALID_NAME_CHARACTERS.sub("_", name)
