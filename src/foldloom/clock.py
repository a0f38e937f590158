# SPDX-License-Identifier: MIT
"""The one clock that decisions use: steady, and unknown to any other box.

Owns nothing. Relies on the system's clock of time since boot, which a change of the time of day
does not move.

A machine may be suspended for seconds: its processes stand still, and ``CLOCK_MONOTONIC`` with
them, while leases, grants and time-outs elsewhere run out. ``CLOCK_BOOTTIME`` counts that time, so
a box finds by any look at this clock what is over by now. Only Linux has it. Elsewhere this is
``CLOCK_MONOTONIC``: a box that was suspended there takes its rights for younger than they are.

Timers of the event loop and of ZeroMQ stay on ``CLOCK_MONOTONIC`` and fire late by the time that
the machine was suspended: see :mod:`foldloom.time_limits`.
"""

from __future__ import annotations

import time

_HAS_BOOT_CLOCK = hasattr(time, "CLOCK_BOOTTIME")


def monotonic_ms() -> float:
    """Return the steady clock in milliseconds; it counts the time the machine was suspended."""
    if _HAS_BOOT_CLOCK:
        return time.clock_gettime(time.CLOCK_BOOTTIME) * 1_000
    return time.monotonic() * 1_000


def running_ms() -> float:
    """Return the clock by which timers fire, in milliseconds: it stops with the machine."""
    return time.monotonic() * 1_000
