# SPDX-License-Identifier: MIT
"""Leases on endpoints, in the endpoint's own time.

Owns nothing: types and bounds. Relies on the share by which an endpoint's clock may run slow.

An endpoint measures leases by its own steady clock, which may run slow by a known share. The
owner sees that clock only in answers, which are late by an unknown delay. All bounds here err
so that a run is never thought ended while it may go on.
"""

from __future__ import annotations

# Share by which an endpoint's clock may run slow: the bound that the users' platform gives.
CLOCK_DRIFT_MAX = 0.02
# Milliseconds for which a lease is still renewed while an order to stop is not confirmed: twice the
# 50 ms that a stop takes at most on the users' platform.
STOP_OVERDUE_MS = 100.0
# Milliseconds beyond a lease's end before it counts as lapsed: for timers that fire late on a busy
# box.
LAPSE_MARGIN_MS = 40.0
_CLOCK_RATE_MIN = 1.0 - CLOCK_DRIFT_MAX


class EndpointClock:
    """An endpoint's steady clock as an owner knows it; all times in milliseconds."""

    def __init__(self) -> None:
        self._clock_ms = 0.0
        self._received_ms = 0.0
        self._is_known = False
        self._until_ms = 0

    @property
    def is_known(self) -> bool:
        """Whether the endpoint's clock was ever received."""
        return self._is_known

    @property
    def until_ms(self) -> int:
        """The latest end of a lease that was ever ordered, by the endpoint's clock."""
        return self._until_ms

    def note(self, clock_ms: float, received_ms: float) -> None:
        """Note that an answer received at *received_ms* carried *clock_ms*."""
        if not self._is_known or clock_ms >= self.reads_at_least(received_ms):
            self._clock_ms = clock_ms
            self._received_ms = received_ms
            self._is_known = True

    def reads_at_least(self, now_ms: float) -> float:
        """Return a time that the endpoint's clock has passed by *now_ms* for certain."""
        return self._clock_ms + (now_ms - self._received_ms) * _CLOCK_RATE_MIN

    def order_until(self, now_ms: float, lease_ms: float) -> int:
        """Return the end of a lease that lasts at most *lease_ms* from now; remember it."""
        until_ms = int(self.reads_at_least(now_ms) + lease_ms)
        self._until_ms = max(self._until_ms, until_ms)
        return until_ms

    def lapses_by(self) -> float:
        """Return when, by the own clock, every lease ordered so far has ended for certain."""
        return self._received_ms + max(0.0, self._until_ms - self._clock_ms) / _CLOCK_RATE_MIN


def max_real_duration_ms(lease_ms: float) -> float:
    """Return how long a lease of *lease_ms* lasts at most while the endpoint's clock is slow."""
    return lease_ms / _CLOCK_RATE_MIN


def gone_after_ms(lease_ms: float) -> float:
    """Return how long after an owner lost the right to a run it may still be on an endpoint.

    The owner orders it to stop at once. While that is not confirmed it renews the endpoint's
    lease for ``STOP_OVERDUE_MS`` more at most.
    """
    return STOP_OVERDUE_MS + max_real_duration_ms(lease_ms) + LAPSE_MARGIN_MS
