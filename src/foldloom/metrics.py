# SPDX-License-Identifier: MIT
"""Counters, gauges and latency histograms of one process, optionally sent to statsd."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from typing import NamedTuple

import statsd

from foldloom.settings import StatsdSettings

BUCKETS_MS = (1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1_000.0, 2_000.0, 5_000.0)


class Histogram(NamedTuple):
    """A snapshot of a histogram of durations.

    Args:
        counts: Number of durations in each bucket of ``BUCKETS_MS``, then of those above the last.
        total_ms: Sum of the durations.
    """

    counts: tuple[int, ...]
    total_ms: float


class _DurationBuckets:
    """A mutable histogram of durations."""

    __slots__ = ("counts", "total_ms")

    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKETS_MS) + 1)
        self.total_ms = 0.0


class Metrics:
    """The metrics of one process.

    Args:
        settings: Address of the statsd server; nothing is sent while its host is empty.
    """

    def __init__(self, settings: StatsdSettings | None = None) -> None:
        self._counts: Counter[str] = Counter()
        self._gauges: dict[str, float] = {}
        self._durations: dict[str, _DurationBuckets] = {}
        self._client = None
        if settings is not None and settings.host:
            self._client = statsd.StatsClient(settings.host, settings.port, prefix=settings.prefix)

    @property
    def counts(self) -> dict[str, int]:
        """Value of each counter, by name."""
        return dict(self._counts)

    @property
    def gauges(self) -> dict[str, float]:
        """Latest value of each gauge, by name."""
        return dict(self._gauges)

    @property
    def histograms(self) -> dict[str, Histogram]:
        """Snapshot of each histogram, by name."""
        return {
            name: Histogram(tuple(buckets.counts), buckets.total_ms)
            for name, buckets in self._durations.items()
        }

    def count(self, name: str, by: int = 1) -> None:
        """Add *by* to the counter *name*."""
        self._counts[name] += by
        if self._client is not None:
            self._client.incr(name, by)

    def gauge(self, name: str, value: float) -> None:
        """Set the gauge *name* to *value*."""
        self._gauges[name] = value
        if self._client is not None:
            self._client.gauge(name, value)

    def timing(self, name: str, milliseconds: float) -> None:
        """Record a duration in milliseconds, or a ratio times 1,000."""
        buckets = self._durations.setdefault(name, _DurationBuckets())
        buckets.counts[bisect_left(BUCKETS_MS, milliseconds)] += 1
        buckets.total_ms += milliseconds
        if self._client is not None:
            self._client.timing(name, milliseconds)
