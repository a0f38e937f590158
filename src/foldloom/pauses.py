# SPDX-License-Identifier: MIT
"""Detection of pauses of this process, by a periodic timer that fires late.

To other boxes a paused box looks like a partitioned one: its leases expire and its runs are
retried. The log line for a pause distinguishes the two. After a suspension of the box, the open
time limits are rescheduled.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import NamedTuple

from foldloom.clock import monotonic_ms, running_ms
from foldloom.logs import PROCESS_LOG
from foldloom.time_limits import reschedule_open_timeouts

# Milliseconds between two samples of the clocks.
_SAMPLE_INTERVAL_MS = 100.0
# Shortest pause reported, in milliseconds; shorter ones let no lease expire.
PAUSE_MIN_MS = 100.0
# Difference between the two clocks over one sample that counts as a suspension, in milliseconds.
_SUSPENDED_MIN_MS = 10.0


class Pause(NamedTuple):
    """A pause of this process's event loop, in milliseconds.

    Args:
        paused_ms: Length of the pause.
        processor_ms: Processor time used since the last sample. Close to *paused_ms*, the event
            loop was blocked by a computation; close to 0, the process was not scheduled.
        suspended_ms: Part of the pause for which the box was suspended.
    """

    paused_ms: int
    processor_ms: int
    suspended_ms: int = 0


async def watch_pauses(on_pause: Callable[[Pause], None]) -> None:
    """Call *on_pause* for each pause of this process, until cancelled."""
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
            reschedule_open_timeouts()
        paused_ms = max(elapsed_ms - _SAMPLE_INTERVAL_MS, suspended_ms)
        if paused_ms < PAUSE_MIN_MS:
            continue
        processor_ms = (time.process_time() - began_processor_s) * 1_000
        on_pause(Pause(int(paused_ms), int(processor_ms), max(0, int(suspended_ms))))


def log_pause(pause: Pause) -> None:
    """Log a pause of this process."""
    PROCESS_LOG.event("process.paused", **pause._asdict())
