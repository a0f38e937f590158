# SPDX-License-Identifier: MIT
"""Moving averages of service times per endpoint and service."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

# Weight of a new sample in a moving average.
_ALPHA = 0.03
# Mean service time of a service without samples, in milliseconds.
_DEFAULT_MEAN_MS = 200.0
# Samples before an endpoint's own mean is used.
_SAMPLES_MIN = 6
# Samples needed to refresh a stale mean.
_SAMPLES_TO_REFRESH = 2
# Relative task sizes retained per service; enough for shares of 3 % and more.
_SIZES_MAX = 200
# Milliseconds without a sample after which a mean is stale.
_STALE_MS = 30_000


class MeanServiceTime(NamedTuple):
    """Moving average of an endpoint's service time.

    Args:
        mean_ms: The average, in milliseconds.
        samples: Number of samples.
        seen_ms: Time of the last sample, on the local monotonic clock.
    """

    mean_ms: float
    samples: int
    seen_ms: float = 0.0


class ServiceTimes:
    """Moving averages of service times."""

    def __init__(self) -> None:
        self._by_endpoint: dict[tuple[str, str], MeanServiceTime] = {}
        self._by_service: dict[str, MeanServiceTime] = {}
        self._sizes: dict[str, deque[float]] = {}

    def record(
        self,
        service: str,
        endpoint: str,
        service_ms: float,
        now_ms: float = 0.0,
    ) -> None:
        """Record that a task of *service* took *service_ms* on *endpoint*."""
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

        An endpoint with few samples gets the mean over all endpoints, so that it is sampled.
        """
        average = self._by_endpoint.get((service, endpoint))
        if average is None or average.samples < _SAMPLES_MIN:
            return self.service_mean_ms(service)
        return average.mean_ms

    def sizes(self, service: str) -> list[float]:
        """Return the relative sizes of recent tasks of *service*, in ascending order.

        A task's relative size is its service time divided by the mean service time on its endpoint.
        """
        return sorted(self._sizes.get(service, ()))

    def forget(self, endpoint: str) -> None:
        """Drop the averages of *endpoint*."""
        for key in [key for key in self._by_endpoint if key[1] == endpoint]:
            del self._by_endpoint[key]

    def mark_stale(self, now_ms: float) -> None:
        """Reset the sample count of old averages, so that unused endpoints are sampled again."""
        for key, average in self._by_endpoint.items():
            if now_ms - average.seen_ms > _STALE_MS and average.samples >= _SAMPLES_MIN:
                stale = average._replace(samples=_SAMPLES_MIN - _SAMPLES_TO_REFRESH)
                self._by_endpoint[key] = stale


def _updated_mean(
    average: MeanServiceTime | None, value: float, alpha: float, now_ms: float
) -> MeanServiceTime:
    """Return *average* updated with *value*; the first samples form a plain mean."""
    if average is None:
        return MeanServiceTime(value, 1, now_ms)
    weight = max(alpha, 1 / (average.samples + 1))
    mean_ms = average.mean_ms + weight * (value - average.mean_ms)
    return MeanServiceTime(mean_ms, average.samples + 1, now_ms)
