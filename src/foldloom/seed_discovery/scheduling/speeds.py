# SPDX-License-Identifier: MIT
"""Relative endpoint speeds, estimated from run durations.

Keeps an exponentially weighted mean of logarithms for each endpoint.
"""

from __future__ import annotations

import math
import statistics

# Weight of a new run: the mean follows a slowed endpoint within about ten runs.
_EWMA_WEIGHT = 0.1
# Subtracted from the logarithm of an unfinished run's slowdown, to allow for estimation errors.
_OVERDUE_LOG_MARGIN = 0.4
# An estimate without new runs for this long approaches the median, so that an endpoint that was
# slow is tried again.
_EVIDENCE_TTL_MS = 1_000.0
# Time in which it then comes half the way.
_HALF_LIFE_MS = 1_500.0
# Runs between two updates of the median.
_RUNS_PER_MEDIAN = 25


class EndpointSpeeds:
    """Speeds relative to the median endpoint: at 2.0 a run takes half as long.

    Each run is compared with its expected duration at speed 1. The median is held at speed 1:
    durations are estimated from speeds and speeds from durations, so both would drift otherwise.
    """

    def __init__(self) -> None:
        self._mean_log_ratios: dict[str, float] = {}
        self._median = 0.0
        self._run_count = 0
        # Endpoints with a run since estimates were last aged, and when the others had their last.
        self._recent: set[str] = set()
        self._evidence_ms: dict[str, float] = {}
        self._aged_ms = 0.0

    def speed_of(self, endpoint: str) -> float:
        """Return the speed of *endpoint*; 1.0 if unknown."""
        mean = self._mean_log_ratios.get(endpoint)
        return 1.0 if mean is None else math.exp(self._median - mean)

    def record(self, endpoint: str, ran_ms: float, expected_ms: float) -> None:
        """Update the speed with a finished run."""
        if ran_ms <= 0 or expected_ms <= 0:
            return
        self._recent.add(endpoint)
        log_ratio = math.log(ran_ms / expected_ms)
        mean = self._mean_log_ratios.get(endpoint, self._median)
        self._mean_log_ratios[endpoint] = mean + _EWMA_WEIGHT * (log_ratio + self._median - mean)
        self._run_count += 1
        if self._run_count % _RUNS_PER_MEDIAN == 0:
            self._median = statistics.median(self._mean_log_ratios.values())

    def note_overdue(self, endpoint: str, ran_ms: float, expected_ms: float) -> None:
        """Lower the speed to the upper bound given by an unfinished run.

        Args:
            endpoint: The endpoint.
            ran_ms: How long the run has certainly lasted.
            expected_ms: Its expected duration at speed 1.
        """
        if ran_ms <= 0 or expected_ms <= 0:
            return
        self._recent.add(endpoint)
        lower_bound = math.log(ran_ms / expected_ms) - _OVERDUE_LOG_MARGIN + self._median
        if lower_bound > self._mean_log_ratios.get(endpoint, self._median):
            self._mean_log_ratios[endpoint] = lower_bound

    def age(self, now_ms: float) -> None:
        """Let estimates without recent runs approach the median."""
        for endpoint in self._recent:
            self._evidence_ms[endpoint] = now_ms
        self._recent.clear()
        kept_share = 0.5 ** ((now_ms - self._aged_ms) / _HALF_LIFE_MS)
        self._aged_ms = now_ms
        for endpoint, mean in self._mean_log_ratios.items():
            if now_ms - self._evidence_ms.get(endpoint, now_ms) > _EVIDENCE_TTL_MS:
                deviation = mean - self._median
                self._mean_log_ratios[endpoint] = self._median + deviation * kept_share

    def remove(self, endpoint: str) -> None:
        """Remove an endpoint."""
        self._mean_log_ratios.pop(endpoint, None)
        self._evidence_ms.pop(endpoint, None)
        self._recent.discard(endpoint)
