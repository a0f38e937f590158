# SPDX-License-Identifier: MIT
"""Log lines of a process that stood still."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import logbook

from foldloom.pauses import PAUSE_MIN_MS, Pause, log_pause, watch_pauses

# Seconds: well above what is logged, also where the machine wakes this process late.
_PAUSE_S = 6 * PAUSE_MIN_MS / 1_000


def _stay_busy() -> None:
    until_s = time.process_time() + _PAUSE_S
    while time.process_time() < until_s:
        pass


def _pauses(stand_still: Callable[[], None]) -> list[Pause]:
    """Return the pauses of a process that does this once."""
    pauses: list[Pause] = []

    async def run() -> None:
        watch = asyncio.create_task(watch_pauses(pauses.append))
        await asyncio.sleep(0)
        stand_still()
        # Two looks: the late one, and one after it.
        await asyncio.sleep(_PAUSE_S)
        watch.cancel()

    asyncio.run(run())
    return pauses


class TestWatchPauses:
    """A pause is noted with its length and with what it was."""

    def test_not_run_by_the_machine(self) -> None:
        """It waited for something outside: next to no processor time."""
        first = _pauses(lambda: time.sleep(_PAUSE_S))[0]
        assert first.paused_ms >= PAUSE_MIN_MS
        assert first.processor_ms < first.paused_ms / 2

    def test_at_work_on_one_thing(self) -> None:
        """It computed: as much processor time as it stood still."""
        first = _pauses(_stay_busy)[0]
        assert first.processor_ms >= PAUSE_MIN_MS


class TestLogPause:
    """The line in the log."""

    def test_its_fields(self) -> None:
        """All times stand there under their names."""
        log = logbook.TestHandler()
        with log.applicationbound():
            log_pause(Pause(250, 3, 200))
        record = log.records[0]
        assert (record.message, record.kwargs) == (
            "process.paused",
            {"paused_ms": 250, "processor_ms": 3, "suspended_ms": 200},
        )
