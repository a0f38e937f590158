# SPDX-License-Identifier: MIT
"""Detection and logging of pauses of the process."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import logbook

from foldloom.pauses import PAUSE_MIN_MS, Pause, log_pause, watch_pauses

# Well above the reporting threshold, since the process may be scheduled late.
_PAUSE_S = 6 * PAUSE_MIN_MS / 1_000


def _compute() -> None:
    until_s = time.process_time() + _PAUSE_S
    while time.process_time() < until_s:
        pass


def _detected_pauses(pause_process: Callable[[], None]) -> list[Pause]:
    """Return the pauses reported while *pause_process* blocks the event loop once."""
    pauses: list[Pause] = []

    async def run() -> None:
        watch = asyncio.create_task(watch_pauses(pauses.append))
        await asyncio.sleep(0)
        pause_process()
        # Leaves time for the late sample and the next one.
        await asyncio.sleep(_PAUSE_S)
        watch.cancel()

    asyncio.run(run())
    return pauses


class TestWatchPauses:
    """Guards the distinction between a computing process and one that is not scheduled."""

    def test_not_scheduled(self) -> None:
        """A process that is not running uses little processor time during the pause."""
        detected = _detected_pauses(lambda: time.sleep(_PAUSE_S))[0]
        assert detected.paused_ms >= PAUSE_MIN_MS
        assert detected.processor_ms < detected.paused_ms / 2

    def test_blocked_by_computation(self) -> None:
        """A computing process uses processor time for the length of the pause."""
        detected = _detected_pauses(_compute)[0]
        assert detected.processor_ms >= PAUSE_MIN_MS


class TestLogPause:
    """Guards the fields of the log event."""

    def test_its_fields(self) -> None:
        """The event carries all times of the pause."""
        log = logbook.TestHandler()
        with log.applicationbound():
            log_pause(Pause(250, 3, 200))
        record = log.records[0]
        assert (record.message, record.kwargs) == (
            "process.paused",
            {"paused_ms": 250, "processor_ms": 3, "suspended_ms": 200},
        )
