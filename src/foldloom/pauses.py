# SPDX-License-Identifier: MIT
"""The times when this process stood still, for its log and for its limits of time.

Owns nothing. Relies on the event loop: a timer that fires late shows that nothing else ran either.

A box that stands still looks to the others like one whose connections are cut: its rights and its
leases lapse, its runs are lost and started again. Without a line in its own log nothing would tell
the two apart. After a suspension of its machine the limits of time that are open are set anew.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import NamedTuple

from foldloom.clock import monotonic_ms, running_ms
from foldloom.logs import PROCESS_LOG
from foldloom.time_limits import catch_up

# Milliseconds between two looks at the clock.
_SAMPLE_INTERVAL_MS = 100.0
# Milliseconds that a process must have stood still to be noted: less does not cost it a right.
PAUSE_MIN_MS = 100.0
# Milliseconds that the two clocks may differ over one look without a suspension.
_SUSPENDED_MIN_MS = 10.0


class Pause(NamedTuple):
    """A time when nothing ran in this process, in milliseconds.

    Args:
        paused_ms: How long.
        processor_ms: The processor time that it used meanwhile. As much: it was at work on one
            thing. Next to none: the machine did not run it.
        suspended_ms: For how much of it the machine itself was suspended.
    """

    paused_ms: int
    processor_ms: int
    suspended_ms: int = 0


async def watch_pauses(on_pause: Callable[[Pause], None]) -> None:
    """Call *on_pause* each time that this process stood still, until cancelled."""
    while True:
        began_ms, began_running_ms, began_processor_s = (
            monotonic_ms(),
            running_ms(),
            time.process_time(),
        )
        await asyncio.sleep(_SAMPLE_INTERVAL_MS / 1_000)
        elapsed_ms = monotonic_ms() - began_ms
        suspended_ms = elapsed_ms - (running_ms() - began_running_ms)
        if suspended_ms >= _SUSPENDED_MIN_MS:
            catch_up()
        paused_ms = max(elapsed_ms - _SAMPLE_INTERVAL_MS, suspended_ms)
        if paused_ms < PAUSE_MIN_MS:
            continue
        processor_ms = (time.process_time() - began_processor_s) * 1_000
        on_pause(Pause(int(paused_ms), int(processor_ms), max(0, int(suspended_ms))))


def log_pause(pause: Pause) -> None:
    """Log a pause of this process."""
    PROCESS_LOG.event("process.paused", **pause._asdict())
