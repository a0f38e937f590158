# SPDX-License-Identifier: MIT
"""The one clock that decisions use: steady, and unknown to any other box.

Owns nothing. Relies on the system's monotonic clock, which a change of the time of day does not
move.
"""

from __future__ import annotations

import time


def monotonic_ms() -> float:
    """Return the monotonic clock in milliseconds."""
    return time.monotonic() * 1_000
