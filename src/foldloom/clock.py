# SPDX-License-Identifier: MIT
"""The monotonic clock used for leases, grants, deadlines and timeouts; local to the box.

While a box is suspended, ``CLOCK_MONOTONIC`` stops, but leases, grants and timeouts on other boxes
go on expiring. ``CLOCK_BOOTTIME`` includes suspended time and is used where available (Linux only).
On other platforms the clock is ``CLOCK_MONOTONIC``, so a box resumed from suspension underestimates
the age of its leases.

Timers of the event loop and of ZeroMQ use ``CLOCK_MONOTONIC`` and fire late by the length of a
suspension; see :mod:`foldloom.time_limits`.
"""

from __future__ import annotations

import time

_HAS_BOOT_CLOCK = hasattr(time, "CLOCK_BOOTTIME")


def monotonic_ms() -> float:
    """Return the monotonic clock in milliseconds, suspended time included where supported."""
    if _HAS_BOOT_CLOCK:
        return time.clock_gettime(time.CLOCK_BOOTTIME) * 1_000
    return time.monotonic() * 1_000


def running_ms() -> float:
    """Return the clock of the event loop's timers in milliseconds, suspended time excluded."""
    return time.monotonic() * 1_000
