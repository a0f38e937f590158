# SPDX-License-Identifier: MIT
"""Measures how late this process's event loop is: how long any event waits before it is handled.

A box that lacks processor time answers late and looks partitioned to others. The delay is a metric,
and it is logged while it is long.
"""

from __future__ import annotations

import asyncio
import statistics
import time
from collections import deque
from collections.abc import Callable, Mapping

from foldloom.clock import monotonic_ms
from foldloom.logs import PROCESS_LOG
from foldloom.metrics import Metrics

# Time between two samples.
_SAMPLE_INTERVAL_MS = 25.0
# Samples of which the median counts as the standing delay, so that a single pause does not.
_STANDING_SAMPLES = 5
# Standing delay that is logged. A job waits as long at each of the events that lead to its answer.
_LOGGED_DELAY_MS = 10.0
# Time between two lines of the log.
_LOG_INTERVAL_MS = 1_000.0


def no_details() -> Mapping[str, object]:
    """Return no fields for the log line of a delay."""
    return {}


def ignore_delay(_standing_ms: float, _now_ms: float) -> None:
    """Ignore a sample of the delay."""


class LoopDelay:
    """The delay of the running event loop.

    Args:
        metrics: This box's metrics.
        details: Returns further fields for the log line, such as the length of the box's queue.
        on_sample: Called after each sample with the standing delay and the present time, both in
            milliseconds.
    """

    def __init__(
        self,
        metrics: Metrics,
        details: Callable[[], Mapping[str, object]] = no_details,
        on_sample: Callable[[float, float], None] = ignore_delay,
    ) -> None:
        self._metrics = metrics
        self._details = details
        self._on_sample = on_sample
        self._delays_ms = deque([0.0] * _STANDING_SAMPLES, maxlen=_STANDING_SAMPLES)
        self._longest_ms = 0.0
        self._logged_ms = monotonic_ms()
        self._logged_processor_s = time.process_time()

    @property
    def standing_ms(self) -> float:
        """The delay that events have at present, in milliseconds; not that of a single pause."""
        return statistics.median(self._delays_ms)

    async def run(self) -> None:
        """Sample the delay until cancelled."""
        while True:
            began_ms = monotonic_ms()
            await asyncio.sleep(_SAMPLE_INTERVAL_MS / 1_000)
            now_ms = monotonic_ms()
            self.note(max(0.0, now_ms - began_ms - _SAMPLE_INTERVAL_MS), now_ms)

    def note(self, delay_ms: float, now_ms: float) -> None:
        """Record a sample of the delay, and log the longest standing delay since the last line."""
        self._delays_ms.append(delay_ms)
        self._longest_ms = max(self._longest_ms, self.standing_ms)
        self._metrics.timing("loop_delay_ms", delay_ms)
        self._on_sample(self.standing_ms, now_ms)
        elapsed_ms = now_ms - self._logged_ms
        if elapsed_ms < _LOG_INTERVAL_MS:
            return
        processor_s = time.process_time()
        used_ms = (processor_s - self._logged_processor_s) * 1_000
        self._logged_ms, self._logged_processor_s = now_ms, processor_s
        self._metrics.gauge("processor_permille", 1_000 * used_ms / elapsed_ms)
        longest_ms, self._longest_ms = self._longest_ms, 0.0
        if longest_ms >= _LOGGED_DELAY_MS:
            PROCESS_LOG.event(
                "process.behind",
                delay_ms=int(longest_ms),
                processor_ms=int(used_ms),
                elapsed_ms=int(elapsed_ms),
                **self._details(),
            )
