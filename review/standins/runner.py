"""Plays a case and turns its outcome into the exit status of its script."""

from __future__ import annotations

import asyncio
import os
import signal
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

from record import Record

_LIMIT_S = 105.0
_COULD_NOT_RUN = 2

Play = Callable[[Record, Path, bool], Awaitable[int]]


def run_case(folder: Path, play: Play) -> int:
    """Play a case, which ends what it has started, and return its status.

    The status is 1 or 0 only if *play* returns it: any error is a case that couldn't run, as are a
    SIGTERM, a SIGINT and a case that takes too long.
    """
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        with tempfile.TemporaryDirectory(ignore_cleanup_errors=True) as temporary:
            return asyncio.run(_play_in_time(record, Path(temporary), has_trouble, play))
    except (Exception, asyncio.CancelledError, KeyboardInterrupt) as error:
        record.note(f"could not run: {type(error).__name__} {error}")
        return _COULD_NOT_RUN
    finally:
        record.close()


async def _play_in_time(record: Record, temporary: Path, has_trouble: bool, play: Play) -> int:
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    async with asyncio.timeout(_LIMIT_S):
        return await play(record, temporary, has_trouble)
