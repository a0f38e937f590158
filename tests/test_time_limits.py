# SPDX-License-Identifier: MIT
"""Timeouts and sleeps that include suspended time."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from unittest.mock import patch

import pytest

from foldloom.time_limits import SuspendAwareTimeout, reschedule_open_timeouts, sleep

_LONG_MS = 60_000.0


def _wait_across_suspension(wait: Callable[[], Awaitable[None]]) -> float:
    """Simulate a suspension during *wait*; return the seconds it takes afterwards."""
    suspended_ms = 0.0

    def clock_ms() -> float:
        return time.monotonic() * 1_000 + suspended_ms

    async def run() -> float:
        nonlocal suspended_ms
        waiting = asyncio.ensure_future(wait())
        await asyncio.sleep(0)
        suspended_ms = _LONG_MS
        began_s = time.monotonic()
        reschedule_open_timeouts()
        await waiting
        return time.monotonic() - began_s

    with patch("foldloom.time_limits.monotonic_ms", clock_ms):
        return asyncio.run(run())


class TestTimeLimit:
    """Guards against timeouts that fire late after a suspension, or not at all."""

    def test_it_ends_in_time(self) -> None:
        """Without a suspension, the timeout fires after its limit."""

        async def run() -> float:
            began_s = time.monotonic()
            with pytest.raises(TimeoutError):
                async with SuspendAwareTimeout(50.0):
                    await asyncio.sleep(_LONG_MS)
            return time.monotonic() - began_s

        assert 0.04 < asyncio.run(run()) < 5.0

    def test_none_is_left(self) -> None:
        """A negative limit expires at once."""

        async def run() -> None:
            with pytest.raises(TimeoutError):
                async with SuspendAwareTimeout(-1.0):
                    await asyncio.sleep(_LONG_MS)

        asyncio.run(run())

    def test_what_is_in_time(self) -> None:
        """A body that ends in time returns its result, and a later suspension has no effect."""

        async def run() -> str:
            async with SuspendAwareTimeout(_LONG_MS):
                result = "done"
            reschedule_open_timeouts()
            await asyncio.sleep(0)
            return result

        assert asyncio.run(run()) == "done"

    def test_over_while_suspended(self) -> None:
        """A timeout whose limit passes during a suspension fires at once."""

        async def wait() -> None:
            with pytest.raises(TimeoutError):
                async with SuspendAwareTimeout(_LONG_MS):
                    await asyncio.sleep(_LONG_MS)

        assert _wait_across_suspension(wait) < 5.0

    def test_cancelled_meanwhile(self) -> None:
        """A cancellation from outside is not converted to a timeout."""

        async def run() -> None:
            async def wait() -> None:
                async with SuspendAwareTimeout(_LONG_MS):
                    await asyncio.sleep(_LONG_MS)

            waiting = asyncio.ensure_future(wait())
            await asyncio.sleep(0)
            waiting.cancel()
            with pytest.raises(asyncio.CancelledError):
                await waiting

        asyncio.run(run())


class TestSleep:
    """Guards against sleeps that are extended by a suspension."""

    def test_over_while_suspended(self) -> None:
        """A sleep whose delay passes during a suspension ends at once."""
        assert _wait_across_suspension(lambda: sleep(_LONG_MS)) < 5.0
