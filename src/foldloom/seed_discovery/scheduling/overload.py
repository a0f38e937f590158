# SPDX-License-Identifier: MIT
"""Overload control: the share of new jobs that a box rejects so that its event loop stays on time.

A box that lacks processor time would otherwise take jobs that wait for the box itself until their
deadlines, and work for callers that have left. A controller with a proportional and an integral
part keeps the delay of the event loop at a target.
"""

from __future__ import annotations

import random

# Standing delay that the controller aims at. A job waits as long at each of the events that lead to
# its answer, about ten, and those with the shortest objectives must still be on time.
TARGET_DELAY_MS = 5.0
# A longer delay counts as this one, so that the share does not jump after a pause.
_DELAY_MAX_MS = 400.0
# Time between two updates.
UPDATE_INTERVAL_MS = 100.0
# Change of the share with each update: for each millisecond beyond the target, for each millisecond
# by which the delay has grown, and without any delay.
_SHARE_PER_EXCESS_MS = 0.002
_SHARE_PER_GROWTH_MS = 0.003
_SHARE_FALL = 0.02
_SHARE_STEP_MAX = 0.2
# Some jobs are always taken, so that the delay can be observed.
_SHARE_MAX = 0.95
# Bounds of the retry delay of rejected jobs; the largest share falls to 0 in less than the upper
# one.
_RETRY_MIN_MS = 100
_RETRY_MAX_MS = 5_000


class OverloadControl:
    """The rejection of new jobs by one box.

    Args:
        draws: Source of random numbers.
    """

    def __init__(self, draws: random.Random | None = None) -> None:
        self._draws = draws or random.Random()
        self._share = 0.0
        self._delay_ms = 0.0
        self._updated_ms = 0.0

    @property
    def rejected_share(self) -> float:
        """The share of new jobs that is rejected at present, from 0 to 1."""
        return self._share

    def update(self, standing_delay_ms: float, now_ms: float) -> None:
        """Adapt the share to the present delay of the event loop; most calls have no effect.

        Args:
            standing_delay_ms: The delay that events have at present.
            now_ms: Own monotonic clock.
        """
        if now_ms - self._updated_ms < UPDATE_INTERVAL_MS:
            return
        delay_ms = min(standing_delay_ms, _DELAY_MAX_MS)
        excess_ms = delay_ms - TARGET_DELAY_MS
        step = excess_ms * (
            _SHARE_PER_EXCESS_MS if excess_ms > 0 else _SHARE_FALL / TARGET_DELAY_MS
        )
        step += _SHARE_PER_GROWTH_MS * (delay_ms - self._delay_ms)
        step = max(-_SHARE_STEP_MAX, min(_SHARE_STEP_MAX, step))
        self._share = max(0.0, min(_SHARE_MAX, self._share + step))
        self._delay_ms, self._updated_ms = delay_ms, now_ms

    def reject(self, priority: int) -> int:
        """Decide on a new job of a queue of *priority*; return its retry delay, 0 if it is taken.

        Jobs of the highest priority, 0, are rejected less often than the others, but not never. The
        retry delay is the time in which the share falls far enough to take this job, without any
        further delay; it differs from job to job, so that the callers do not return at once.
        """
        if not self._share:
            return 0
        share = self._share if priority else self._share * self._share
        draw = self._draws.random()
        if draw >= share:
            return 0
        fall_ms = (share - draw) / _SHARE_FALL * UPDATE_INTERVAL_MS
        return int(min(_RETRY_MAX_MS, max(_RETRY_MIN_MS, fall_ms)))
