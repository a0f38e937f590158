# SPDX-License-Identifier: MIT
"""How fast each endpoint runs each service, from what its tasks took.

Owns the averages of one shard. Relies on its caller for the time.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

# Weight of a new task in a mean, to average over some 30 tasks of very different sizes.
_ALPHA = 0.03
# Milliseconds that a task of an unknown service is expected to take: within the brief's 50 to 500
# ms.
_DEFAULT_MEAN_MS = 200.0
# Tasks after which an endpoint's mean counts.
_SAMPLES_MIN = 6
# Tasks that an endpoint must run again after its mean has become stale.
_SAMPLES_TO_REFRESH = 2
# Sizes of tasks that are kept of a service: enough for shares of 3% and more.
_SIZES_MAX = 200
# Milliseconds without a task after which a mean is doubted.
_STALE_MS = 30_000


class Speed(NamedTuple):
    """The moving average of an endpoint's service time.

    Args:
        mean_ms: The average, milliseconds.
        samples: How many tasks it rests on.
        seen_ms: When the last one ended; own monotonic clock.
    """

    mean_ms: float
    samples: int
    seen_ms: float = 0.0


class SpeedTable:
    """Moving averages for each service and endpoint."""

    def __init__(self) -> None:
        self._by_endpoint: dict[tuple[str, str], Speed] = {}
        self._by_service: dict[str, Speed] = {}
        self._sizes: dict[str, deque[float]] = {}

    def note(
        self,
        service: str,
        endpoint: str,
        service_ms: float,
        now_ms: float = 0.0,
    ) -> None:
        """Take in that a task of *service* took *service_ms* on *endpoint*."""
        average = self._by_endpoint.get((service, endpoint))
        if average is not None and average.samples >= _SAMPLES_MIN:
            sizes = self._sizes.setdefault(service, deque(maxlen=_SIZES_MAX))
            sizes.append(service_ms / average.mean_ms)
        self._by_endpoint[service, endpoint] = _updated_mean(average, service_ms, _ALPHA, now_ms)
        service_average = self._by_service.get(service)
        self._by_service[service] = _updated_mean(service_average, service_ms, _ALPHA, now_ms)

    def service_mean_ms(self, service: str) -> float:
        """Return the mean service time of *service* over all endpoints."""
        average = self._by_service.get(service)
        return _DEFAULT_MEAN_MS if average is None else average.mean_ms

    def mean_ms(self, service: str, endpoint: str) -> float:
        """Return the expected service time of *service* on *endpoint*.

        An endpoint with few samples is taken for average, so that it gets work and is measured.
        """
        average = self._by_endpoint.get((service, endpoint))
        if average is None or average.samples < _SAMPLES_MIN:
            return self.service_mean_ms(service)
        return average.mean_ms

    def sizes(self, service: str) -> list[float]:
        """Return the latest tasks' sizes, in rising order; 1 is a mean task."""
        return sorted(self._sizes.get(service, ()))

    def forget(self, endpoint: str) -> None:
        """Drop what is known of *endpoint*."""
        for key in [key for key in self._by_endpoint if key[1] == endpoint]:
            del self._by_endpoint[key]

    def mark_stale(self, now_ms: float) -> None:
        """Trust no average that is old, so that an endpoint that nobody picks is measured again."""
        for key, average in self._by_endpoint.items():
            if now_ms - average.seen_ms > _STALE_MS and average.samples >= _SAMPLES_MIN:
                stale = average._replace(samples=_SAMPLES_MIN - _SAMPLES_TO_REFRESH)
                self._by_endpoint[key] = stale


def _updated_mean(average: Speed | None, value: float, alpha: float, now_ms: float) -> Speed:
    """Return *known* with *value* taken in; early values weigh as in a plain mean."""
    if average is None:
        return Speed(value, 1, now_ms)
    weight = max(alpha, 1 / (average.samples + 1))
    mean_ms = average.mean_ms + weight * (value - average.mean_ms)
    return Speed(mean_ms, average.samples + 1, now_ms)
