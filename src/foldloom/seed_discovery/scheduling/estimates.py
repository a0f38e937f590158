# SPDX-License-Identifier: MIT
"""How long a task will take, from its job's rough guess and what its queue's jobs took.

Owns what was learned of each queue. Means and variances are exponentially weighted, of logarithms.
"""

from __future__ import annotations

import math

# Weight of a new task in the means, to follow a change within some 20 tasks.
_WEIGHT = 0.05
# The first tasks weigh 1 / (this + their count), which meets _WEIGHT: 1 / _WEIGHT.
_FIRST_WEIGHT_RUNS = 20
# Variance of logarithms that is assumed at first: guesses are off by 40% (0.4 squared), as the
# users' site files say.
_VARIANCE_START = 0.16
# Least variance of logarithms (5%, squared), so that neither a guess nor a mean that was right for
# a while gets all the weight.
_VARIANCE_MIN = 0.0025


class _QueueLog:
    """A queue's work in logarithms: mean, spread, and how far guesses were off."""

    __slots__ = ("bias", "guess_variance", "mean", "runs", "variance")

    def __init__(self, work_log: float) -> None:
        self.mean = work_log
        self.variance = _VARIANCE_START
        self.bias = 0.0
        self.guess_variance = _VARIANCE_START
        self.runs = 0


class Estimates:
    """Expected work of tasks, in milliseconds on an endpoint of speed 1.

    A guess and the queue's mean are weighed by how far each has been off.
    """

    def __init__(self) -> None:
        self._queues: dict[str, _QueueLog] = {}

    def expected_ms(self, queue: str, guess_ms: float) -> float:
        """Return how long a task of *queue* with this guess is expected to take."""
        known = self._queues.get(queue)
        if known is None:
            return max(1.0, guess_ms)
        if guess_ms <= 0:
            return math.exp(known.mean)
        guess = math.log(guess_ms) - known.bias
        total = known.variance + known.guess_variance
        return math.exp((guess * known.variance + known.mean * known.guess_variance) / total)

    def note(self, queue: str, guess_ms: float, work_ms: float) -> None:
        """Learn from a task that took *work_ms*."""
        if work_ms <= 0:
            return
        work_log = math.log(work_ms)
        known = self._queues.setdefault(queue, _QueueLog(work_log))
        known.runs += 1
        weight = max(_WEIGHT, 1 / (_FIRST_WEIGHT_RUNS + known.runs))
        off = work_log - known.mean
        known.mean += weight * off
        known.variance = max(_VARIANCE_MIN, known.variance + weight * (off * off - known.variance))
        if guess_ms <= 0:
            return
        guess_off = math.log(guess_ms) - known.bias - work_log
        known.bias += weight * guess_off
        known.guess_variance = max(
            _VARIANCE_MIN,
            known.guess_variance + weight * (guess_off * guess_off - known.guess_variance),
        )
