# SPDX-License-Identifier: MIT
"""How fast each endpoint is, learned from how long its runs take.

Owns what was learned of each endpoint: an exponentially weighted mean of logarithms.
"""

from __future__ import annotations

import math
import statistics

# Weight of a new run in an endpoint's mean, to follow an endpoint that turned slow within some ten
# runs.
_EWMA_WEIGHT = 0.1
# In logarithms (a factor of 1.5): by how much a run that goes on must exceed the expected time
# beyond what it tells, because guesses are off by 40%.
_OVERDUE_LOG_MARGIN = 0.4
# Runs after which the middle endpoint is determined anew: about the number of endpoints at the
# users' size, so that each has run something in between.
_RUNS_PER_MEDIAN = 25


class EndpointSpeeds:
    """Speeds relative to the middle endpoint: 2.0 takes half as long.

    Each run is compared with how long it was expected to take on an endpoint of speed 1; that is
    rough, so many runs are averaged, in logarithms. Since expectations are learned from speeds
    and speeds from expectations, the middle endpoint is held at 1: else both would drift.
    """

    def __init__(self) -> None:
        self._mean_log_ratios: dict[str, float] = {}
        self._median = 0.0
        self._run_count = 0

    def speed_of(self, endpoint: str) -> float:
        """Return the speed of *endpoint*; 1.0 while nothing is known."""
        mean = self._mean_log_ratios.get(endpoint)
        return 1.0 if mean is None else math.exp(self._median - mean)

    def note(self, endpoint: str, ran_ms: float, expected_ms: float) -> None:
        """Learn from a run that was done."""
        if ran_ms <= 0 or expected_ms <= 0:
            return
        log_ratio = math.log(ran_ms / expected_ms)
        mean = self._mean_log_ratios.get(endpoint, self._median)
        self._mean_log_ratios[endpoint] = mean + _EWMA_WEIGHT * (log_ratio + self._median - mean)
        self._run_count += 1
        if self._run_count % _RUNS_PER_MEDIAN == 0:
            self._median = statistics.median(self._mean_log_ratios.values())

    def note_overdue(self, endpoint: str, ran_ms: float, expected_ms: float) -> None:
        """Learn from a run that has taken *ran_ms* and goes on: it is at least so slow."""
        if ran_ms <= 0 or expected_ms <= 0:
            return
        lower_bound = math.log(ran_ms / expected_ms) - _OVERDUE_LOG_MARGIN + self._median
        if lower_bound > self._mean_log_ratios.get(endpoint, self._median):
            self._mean_log_ratios[endpoint] = lower_bound

    def forget(self, endpoint: str) -> None:
        """Forget an endpoint that is gone."""
        self._mean_log_ratios.pop(endpoint, None)
