# SPDX-License-Identifier: MIT
"""The delay of the event loop, as measured, logged and explained."""

from __future__ import annotations

import asyncio
import time

import logbook

from foldloom.cli.explain import LogLine, explain
from foldloom.clock import monotonic_ms
from foldloom.loop_delay import LoopDelay
from foldloom.metrics import Metrics

_BUSY_S = 0.06
_TURNS = 25


def _run_loop(block_s: list[float]) -> LoopDelay:
    """Return the delay of a loop that is blocked for each of *block_s*, in turn."""
    delay = LoopDelay(Metrics())

    async def run() -> None:
        sampler = asyncio.create_task(delay.run())
        for seconds in block_s:
            await asyncio.sleep(0)
            time.sleep(seconds)
        sampler.cancel()

    asyncio.run(run())
    return delay


class TestLoopDelay:
    """A loop that is late all the time is told from one that paused once."""

    def test_always_late(self) -> None:
        """Each event waits for the computation before it."""
        assert _run_loop([_BUSY_S] * _TURNS).standing_ms > 20.0

    def test_one_pause(self) -> None:
        """A single long pause is no standing delay."""
        delay = LoopDelay(Metrics())
        for sample_ms in (0.0, 900.0, 0.0):
            delay.note(sample_ms, monotonic_ms())
        assert delay.standing_ms == 0.0

    def test_log_line(self) -> None:
        """Guards against a late box that no log shows; one line a second at the most."""
        delay = LoopDelay(Metrics(), lambda: {"queued_runs": 7})
        log, now_ms = logbook.TestHandler(), monotonic_ms()
        with log.applicationbound():
            for number in range(100):
                delay.note(300.0, now_ms + 25.0 * number)
        lines = [record.kwargs for record in log.records if record.message == "process.behind"]
        assert 1 <= len(lines) <= 3
        assert (lines[0]["delay_ms"], lines[0]["queued_runs"]) == (300, 7)


class TestExplainedDelay:
    """``foldloom explain`` names the boxes of a job that were late."""

    def test_its_cause(self) -> None:
        """Guards against a job that expired at a late box without a cause."""
        lines = [
            LogLine("2026-01-01T00:00:01.000000", "e1", "job.accepted", {"job": "a1"}),
            LogLine("2026-01-01T00:00:02.200000", "e1", "process.behind", {"delay_ms": 300}),
            LogLine("2026-01-01T00:00:02.200000", "e2", "process.behind", {"delay_ms": 900}),
            LogLine("2026-01-01T00:00:01.500000", "e1", "job.ended", {"job": "a1", "reason": "x"}),
        ]
        assert explain("a1", lines).cause == "e1 was behind by 300 ms; x"

    def test_other_times(self) -> None:
        """Guards against a log whose times have another format."""
        lines = [
            LogLine("10:00:01", "e1", "job.accepted", {"job": "a1"}),
            LogLine("10:00:02", "e1", "process.behind", {"delay_ms": 300}),
            LogLine("10:00:03", "e1", "job.ended", {"job": "a1", "reason": "x"}),
        ]
        assert explain("a1", lines).cause == "e1 was behind by 300 ms; x"
