# SPDX-License-Identifier: MIT
"""Estimates of task durations from callers' estimates and earlier tasks of the same queue.

Keeps exponentially weighted means and variances of the logarithms of durations.
"""

from __future__ import annotations

import math

# Weight of a new task: the means follow a change within about 20 tasks.
_EWMA_WEIGHT = 0.05
# Initial variance of logarithms, for an error of about 40%.
_INITIAL_VARIANCE = 0.16
# Minimum variance of logarithms, so that neither estimate gets all the weight.
_VARIANCE_MIN = 0.0025


class _QueueStatistics:
    """Logarithmic statistics of a queue's task durations and of the error of callers' estimates."""

    __slots__ = ("bias", "guess_variance", "mean", "variance")

    def __init__(self, log_work: float) -> None:
        self.mean = log_work
        self.variance = _INITIAL_VARIANCE
        self.bias = 0.0
        self.guess_variance = _INITIAL_VARIANCE


class Estimates:
    """Estimated task durations by queue, in milliseconds on an endpoint of speed 1.

    The caller's estimate and the queue's mean are weighted by their inverse variance.
    """

    def __init__(self) -> None:
        self._queues: dict[str, _QueueStatistics] = {}

    def expected_ms(self, queue: str, caller_estimate_ms: float) -> float:
        """Return the estimated duration of a task of *queue*."""
        statistics = self._queues.get(queue)
        if statistics is None:
            return max(1.0, caller_estimate_ms)
        if caller_estimate_ms <= 0:
            return math.exp(statistics.mean)
        corrected_log = math.log(caller_estimate_ms) - statistics.bias
        total = statistics.variance + statistics.guess_variance
        return math.exp(
            (corrected_log * statistics.variance + statistics.mean * statistics.guess_variance)
            / total
        )

    def record(self, queue: str, caller_estimate_ms: float, work_ms: float) -> None:
        """Update the statistics with a finished task that took *work_ms*."""
        if work_ms <= 0:
            return
        log_work = math.log(work_ms)
        statistics = self._queues.setdefault(queue, _QueueStatistics(log_work))
        deviation = log_work - statistics.mean
        statistics.mean += _EWMA_WEIGHT * deviation
        statistics.variance = max(
            _VARIANCE_MIN,
            statistics.variance + _EWMA_WEIGHT * (deviation * deviation - statistics.variance),
        )
        if caller_estimate_ms <= 0:
            return
        caller_error = math.log(caller_estimate_ms) - statistics.bias - log_work
        statistics.bias += _EWMA_WEIGHT * caller_error
        statistics.guess_variance = max(
            _VARIANCE_MIN,
            statistics.guess_variance
            + _EWMA_WEIGHT * (caller_error * caller_error - statistics.guess_variance),
        )
