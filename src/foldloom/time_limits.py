# SPDX-License-Identifier: MIT
"""Timeouts and sleeps that include the time for which the box was suspended.

The clock of the event loop's timers stops during a suspension, so a plain ``asyncio`` timeout ends
late by its length: a deadline would be missed, and a planned stop would overrun its bound. After a
suspension, :func:`reschedule_open_timeouts` must be called to reschedule the open timeouts.

Periodic timers, timers of some tens of milliseconds and timers that may fire late without harm use
plain ``asyncio`` timers.
"""

from __future__ import annotations

import asyncio
from types import TracebackType

from foldloom.clock import monotonic_ms

_deadline_ms_by_timeout: dict[asyncio.Timeout, float] = {}


class SuspendAwareTimeout:
    """A suspension-aware counterpart of :func:`asyncio.timeout`, for ``async with``.

    Args:
        limit_ms: Timeout in milliseconds; expires at once if it is 0 or less.
    """

    def __init__(self, limit_ms: float) -> None:
        self._limit_ms = limit_ms
        self._timeout = asyncio.timeout(None)

    async def __aenter__(self) -> SuspendAwareTimeout:
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
        # Raises TimeoutError on expiry and suppresses no exception.
        await self._timeout.__aexit__(kind, error, traceback)


async def sleep(delay_ms: float) -> None:
    """Sleep for *delay_ms* milliseconds, suspended time included."""
    try:
        async with SuspendAwareTimeout(delay_ms):
            await asyncio.get_running_loop().create_future()
    except TimeoutError:
        # The delay has elapsed; the future is never resolved.
        return


def reschedule_open_timeouts() -> None:
    """Reschedule the open timeouts after a suspension of the box."""
    now_ms = monotonic_ms()
    loop_s = asyncio.get_running_loop().time()
    for timeout, deadline_ms in _deadline_ms_by_timeout.items():
        # An expired timeout is already ending and can't be rescheduled.
        if not timeout.expired():
            timeout.reschedule(loop_s + (deadline_ms - now_ms) / 1_000)
