# SPDX-License-Identifier: MIT
"""Limits of time that count the time for which the machine was suspended.

Owns the limits that are open. Relies on the event loop's timers, whose clock stops with the
machine, and on whoever notices a suspension, who must call :func:`catch_up` then.

Without that, a limit that was open would end late by as much as its machine was suspended: a caller
whose deadline has passed would wait on, and a planned stop would overrun its bound. Timers that
only repeat, or whose whole time is some tens of milliseconds, are plain ``asyncio`` ones; so are
those that may be late without harm, such as the wait until a run is gone for certain.
"""

from __future__ import annotations

import asyncio
from types import TracebackType

from foldloom.clock import monotonic_ms

_deadline_ms_by_timeout: dict[asyncio.Timeout, float] = {}


class TimeLimit:
    """What runs within it is cancelled when the time is over, and ``TimeoutError`` raised.

    As :func:`asyncio.timeout`, for ``async with``.

    Args:
        limit_ms: Milliseconds from entering it; none are left if it is not above 0.
    """

    def __init__(self, limit_ms: float) -> None:
        self._limit_ms = limit_ms
        self._timeout = asyncio.timeout(None)

    async def __aenter__(self) -> TimeLimit:
        await self._timeout.__aenter__()
        _deadline_ms_by_timeout[self._timeout] = monotonic_ms() + self._limit_ms
        self._timeout.reschedule(asyncio.get_running_loop().time() + self._limit_ms / 1_000)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        del _deadline_ms_by_timeout[self._timeout]
        # It raises what it has to, and swallows nothing.
        await self._timeout.__aexit__(kind, error, traceback)


async def sleep(delay_ms: float) -> None:
    """Sleep for *delay_ms* milliseconds, those included for which the machine is suspended."""
    try:
        async with TimeLimit(delay_ms):
            await asyncio.get_running_loop().create_future()
    except TimeoutError:
        # The time is over: nothing else ends this.
        return


def catch_up() -> None:
    """Let each open limit end when its time is over, after the machine was suspended."""
    now_ms = monotonic_ms()
    loop_s = asyncio.get_running_loop().time()
    for timeout, deadline_ms in _deadline_ms_by_timeout.items():
        # One that has expired is ending already.
        if not timeout.expired():
            timeout.reschedule(loop_s + (deadline_ms - now_ms) / 1_000)
