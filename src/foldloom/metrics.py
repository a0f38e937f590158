# SPDX-License-Identifier: MIT
"""Counters, gauges and timers: kept in memory for ``/v1/status`` and sent by statsd."""

from __future__ import annotations

from collections import Counter

import statsd

from foldloom.settings import StatsdSettings


class Metrics:
    """Count what the box does.

    Args:
        settings: Where statsd listens; an empty host keeps the figures in memory only.
    """

    def __init__(self, settings: StatsdSettings | None = None) -> None:
        self._counts: Counter[str] = Counter()
        self._gauges: dict[str, float] = {}
        self._client = None
        if settings is not None and settings.host:
            self._client = statsd.StatsClient(settings.host, settings.port, prefix=settings.prefix)

    @property
    def counts(self) -> dict[str, int]:
        """All counters so far, by name."""
        return dict(self._counts)

    @property
    def gauges(self) -> dict[str, float]:
        """The latest value of each gauge, by name."""
        return dict(self._gauges)

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
        if self._client is not None:
            self._client.timing(name, milliseconds)
