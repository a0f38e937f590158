# SPDX-License-Identifier: MIT
"""How fast each worker is, learned from how long its runs take."""

from __future__ import annotations

import math

_WEIGHT = 0.1
_NEUTRAL = 0.0


class WorkerSpeeds:
    """Speeds relative to the mean worker: 2.0 takes half as long.

    Each run is compared with the estimate of its job; estimates are rough, so many runs are
    averaged, in logarithms, for the worker and for all workers together.
    """

    def __init__(self) -> None:
        self._mean_log = _NEUTRAL
        self._log_by_worker: dict[str, float] = {}

    def speed_of(self, worker: str) -> float:
        """Return the speed of *worker*; 1.0 while nothing is known."""
        return math.exp(-self._log_by_worker.get(worker, _NEUTRAL))

    def note(self, worker: str, ran_ms: float, estimate_ms: float) -> None:
        """Learn from a run that was done."""
        if ran_ms <= 0 or estimate_ms <= 0:
            return
        ratio = math.log(ran_ms / estimate_ms)
        self._mean_log += _WEIGHT * (ratio - self._mean_log)
        known = self._log_by_worker.get(worker, _NEUTRAL)
        self._log_by_worker[worker] = known + _WEIGHT * (ratio - self._mean_log - known)

    def forget(self, worker: str) -> None:
        """Forget a worker that is gone."""
        self._log_by_worker.pop(worker, None)
