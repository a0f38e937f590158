# SPDX-License-Identifier: MIT
"""Endpoint leases and the bounds on their expiry.

An endpoint measures leases by its own monotonic clock, which may run slow by at most
``CLOCK_DRIFT_MAX``. The owner reads that clock only from answers, which arrive with an unknown
delay. All bounds are conservative: a run is never taken for ended while it may still be running.
"""

from __future__ import annotations

# Largest fraction by which an endpoint's clock may run slow.
CLOCK_DRIFT_MAX = 0.02
# A lease is renewed for this long while a stop at the endpoint is unconfirmed: twice the time that
# a stop takes at most on the platform, 50 ms.
STOP_OVERDUE_MS = 100.0
# Margin after a lease's expiry, for timers that fire late on a busy box.
LAPSE_MARGIN_MS = 40.0
_CLOCK_RATE_MIN = 1.0 - CLOCK_DRIFT_MAX


class EndpointClock:
    """An owner's estimate of an endpoint's monotonic clock; all times in milliseconds."""

    def __init__(self) -> None:
        self._clock_ms = 0.0
        self._received_ms = 0.0
        self._is_known = False
        self._until_ms = 0

    @property
    def is_known(self) -> bool:
        """Whether a clock reading has been received."""
        return self._is_known

    @property
    def until_ms(self) -> int:
        """Latest expiry of any lease ordered so far, by the endpoint's clock."""
        return self._until_ms

    def note(self, clock_ms: float, received_ms: float) -> None:
        """Record the reading *clock_ms* from an answer received at *received_ms*."""
        if not self._is_known or clock_ms >= self.reads_at_least(received_ms):
            self._clock_ms = clock_ms
            self._received_ms = received_ms
            self._is_known = True

    def reading_age_ms(self, clock_ms: float, received_ms: float) -> float:
        """Return how long before *received_ms* the endpoint read *clock_ms*, infinite if unknown.

        Measured against earlier readings, so that an answer that waited for this process, which was
        paused, is not taken for a recent one.
        """
        if not self._is_known:
            return float("inf")
        return max(0.0, self.reads_at_least(received_ms) - clock_ms)

    def reads_at_least(self, now_ms: float) -> float:
        """Return a lower bound of the endpoint's clock at *now_ms*."""
        return self._clock_ms + (now_ms - self._received_ms) * _CLOCK_RATE_MIN

    def order_until(self, now_ms: float, lease_ms: float) -> int:
        """Record and return the expiry of a lease of at most *lease_ms* from now."""
        until_ms = int(self.reads_at_least(now_ms) + lease_ms)
        self._until_ms = max(self._until_ms, until_ms)
        return until_ms

    def lapses_by(self) -> float:
        """Return when every lease ordered so far has certainly expired, by the owner's clock."""
        return self._received_ms + max(0.0, self._until_ms - self._clock_ms) / _CLOCK_RATE_MIN


def max_real_duration_ms(lease_ms: float) -> float:
    """Return the longest real duration of a lease, with the endpoint's clock at its slowest."""
    return lease_ms / _CLOCK_RATE_MIN


def lease_within(lease_ms: float, real_ms: float) -> float:
    """Return the longest lease, up to *lease_ms*, that certainly expires within *real_ms*."""
    return min(lease_ms, real_ms * _CLOCK_RATE_MIN)


def run_expiry_ms(lease_ms: float) -> float:
    """Return how long a run may remain on an endpoint after the end of the owner's session.

    The owner orders the stop at once and, while it is unconfirmed, renews the endpoint's lease for
    ``STOP_OVERDUE_MS`` at most.
    """
    return STOP_OVERDUE_MS + max_real_duration_ms(lease_ms) + LAPSE_MARGIN_MS
