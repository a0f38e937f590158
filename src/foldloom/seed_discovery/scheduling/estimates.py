# SPDX-License-Identifier: MIT
"""How long a task will take, from its job's rough guess and what its queue's jobs took.

Owns what was learned of each queue. Means and variances are exponentially weighted, of logarithms.
"""

from __future__ import annotations

import math

# Weight of a new task in the means, to follow a change within some 20 tasks.
_EWMA_WEIGHT_MIN = 0.05
# The first tasks weigh 1 / (this + their count), which meets _WEIGHT: 1 / _WEIGHT.
_WARM_UP_RUNS = 20
# Variance of logarithms that is assumed at first: guesses are off by 40% (0.4 squared), as the
# users' site files say.
_INITIAL_VARIANCE = 0.16
# Least variance of logarithms (5%, squared), so that neither a guess nor a mean that was right for
# a while gets all the weight.
_VARIANCE_MIN = 0.0025


class _QueueStatistics:
    """A queue's work in logarithms: mean, spread, and how far guesses were off."""

    __slots__ = ("bias", "guess_variance", "mean", "runs", "variance")

    def __init__(self, log_work: float) -> None:
        self.mean = log_work
        self.variance = _INITIAL_VARIANCE
        self.bias = 0.0
        self.guess_variance = _INITIAL_VARIANCE
        self.runs = 0


class Estimates:
    """Expected work of tasks, in milliseconds on an endpoint of speed 1.

    A guess and the queue's mean are weighed by how far each has been off.
    """

    def __init__(self) -> None:
        self._queues: dict[str, _QueueStatistics] = {}

    def expected_ms(self, queue: str, caller_estimate_ms: float) -> float:
        """Return how long a task of *queue* with this guess is expected to take."""
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

    def note(self, queue: str, caller_estimate_ms: float, work_ms: float) -> None:
        """Learn from a task that took *work_ms*."""
        if work_ms <= 0:
            return
        log_work = math.log(work_ms)
        statistics = self._queues.setdefault(queue, _QueueStatistics(log_work))
        statistics.runs += 1
        weight = max(_EWMA_WEIGHT_MIN, 1 / (_WARM_UP_RUNS + statistics.runs))
        deviation = log_work - statistics.mean
        statistics.mean += weight * deviation
        statistics.variance = max(
            _VARIANCE_MIN,
            statistics.variance + weight * (deviation * deviation - statistics.variance),
        )
        if caller_estimate_ms <= 0:
            return
        caller_error = math.log(caller_estimate_ms) - statistics.bias - log_work
        statistics.bias += weight * caller_error
        statistics.guess_variance = max(
            _VARIANCE_MIN,
            statistics.guess_variance
            + weight * (caller_error * caller_error - statistics.guess_variance),
        )
