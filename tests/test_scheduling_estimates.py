# SPDX-License-Identifier: MIT
"""Estimated task durations of a queue."""

from __future__ import annotations

import math

import pytest

from foldloom.seed_discovery.scheduling.estimates import Estimates

_QUEUE = "q"
# Weight of each finished task.
_WEIGHT = 0.05


class TestMean:
    """Guards the weight of the first tasks, which had a warm-up that never took effect."""

    @pytest.mark.parametrize("tasks", [1, 2, 10, 40])
    def test_every_task_has_the_same_weight(self, tasks: int) -> None:
        """From the first task's duration, each further one moves the mean by the same share."""
        estimates = Estimates()
        estimates.record(_QUEUE, 0.0, 100.0)
        for _ in range(tasks):
            estimates.record(_QUEUE, 0.0, 200.0)
        moved_share = 1.0 - (1.0 - _WEIGHT) ** tasks
        expected_ms = math.exp(math.log(100.0) + moved_share * math.log(2.0))
        assert estimates.expected_ms(_QUEUE, 0.0) == pytest.approx(expected_ms)

    def test_callers_estimate_before_the_first_task(self) -> None:
        """Without a finished task the caller's estimate counts."""
        assert Estimates().expected_ms(_QUEUE, 70.0) == 70.0
