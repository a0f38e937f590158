# SPDX-License-Identifier: MIT
"""How fast each worker runs each service, from what its tasks took."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

_ALPHA = 0.03
_PROBE_ALPHA = 0.5
_DEFAULT_MS = 200.0
_SAMPLES_TO_TRUST = 6
_SIZES_KEPT = 200


class Speed(NamedTuple):
    """The moving average of a worker's service time, milliseconds, and its sample count."""

    mean_ms: float
    samples: int


class SpeedTable:
    """Moving averages for each service and worker."""

    def __init__(self) -> None:
        self._by_worker: dict[tuple[str, str], Speed] = {}
        self._by_service: dict[str, Speed] = {}
        self._sizes: dict[str, deque[float]] = {}

    def note(self, service: str, worker: str, service_ms: float, is_probe: bool = False) -> None:
        """Take in that a task of *service* took *service_ms* on *worker*."""
        known = self._by_worker.get((service, worker))
        if known is not None and known.samples >= _SAMPLES_TO_TRUST:
            sizes = self._sizes.setdefault(service, deque(maxlen=_SIZES_KEPT))
            sizes.append(service_ms / known.mean_ms)
        alpha = _PROBE_ALPHA if is_probe else _ALPHA
        self._by_worker[service, worker] = _averaged(known, service_ms, alpha)
        self._by_service[service] = _averaged(self._by_service.get(service), service_ms, _ALPHA)

    def service_mean_ms(self, service: str) -> float:
        """Return the mean service time of *service* over all workers."""
        known = self._by_service.get(service)
        return _DEFAULT_MS if known is None else known.mean_ms

    def mean_ms(self, service: str, worker: str) -> float:
        """Return the expected service time of *service* on *worker*.

        A worker with few samples is taken for average, so that it gets work and is measured.
        """
        known = self._by_worker.get((service, worker))
        if known is None or known.samples < _SAMPLES_TO_TRUST:
            return self.service_mean_ms(service)
        return known.mean_ms

    def sizes(self, service: str) -> list[float]:
        """Return the latest tasks' sizes, in rising order; 1 is a mean task."""
        return sorted(self._sizes.get(service, ()))

    def forget(self, worker: str) -> None:
        """Drop what is known of *worker*."""
        for key in [key for key in self._by_worker if key[1] == worker]:
            del self._by_worker[key]


def _averaged(known: Speed | None, value: float, alpha: float) -> Speed:
    """Return *known* with *value* taken in; early values weigh as in a plain mean."""
    if known is None:
        return Speed(value, 1)
    weight = max(alpha, 1 / (known.samples + 1))
    return Speed(known.mean_ms + weight * (value - known.mean_ms), known.samples + 1)
