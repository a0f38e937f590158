# SPDX-License-Identifier: MIT
"""Limits of time that go by the clock of decisions."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from unittest.mock import patch

import pytest

from foldloom.time_limits import TimeLimit, catch_up, sleep

_LONG_MS = 60_000.0


def _after_a_suspension(wait: Callable[[], Awaitable[None]]) -> float:
    """Begin to wait, let the machine be suspended, and return how many seconds the wait took."""
    suspended_ms = 0.0

    def clock_ms() -> float:
        return time.monotonic() * 1_000 + suspended_ms

    async def run() -> float:
        nonlocal suspended_ms
        waiting = asyncio.ensure_future(wait())
        await asyncio.sleep(0)
        suspended_ms = _LONG_MS
        began_s = time.monotonic()
        catch_up()
        await waiting
        return time.monotonic() - began_s

    with patch("foldloom.time_limits.monotonic_ms", clock_ms):
        return asyncio.run(run())


class TestTimeLimit:
    """What is cancelled when the time is over."""

    def test_it_ends_in_time(self) -> None:
        """Without a suspension it is a time-out like any other."""

        async def run() -> float:
            began_s = time.monotonic()
            with pytest.raises(TimeoutError):
                async with TimeLimit(50.0):
                    await asyncio.sleep(_LONG_MS)
            return time.monotonic() - began_s

        assert 0.04 < asyncio.run(run()) < 5.0

    def test_none_is_left(self) -> None:
        """A limit that is over when it begins lets nothing wait."""

        async def run() -> None:
            with pytest.raises(TimeoutError):
                async with TimeLimit(-1.0):
                    await asyncio.sleep(_LONG_MS)

        asyncio.run(run())

    def test_what_is_in_time(self) -> None:
        """The result of what ends before comes through, and later suspensions do not reach it."""

        async def run() -> str:
            async with TimeLimit(_LONG_MS):
                result = "done"
            catch_up()
            await asyncio.sleep(0)
            return result

        assert asyncio.run(run()) == "done"

    def test_over_while_suspended(self) -> None:
        """A limit that has passed meanwhile ends at once."""

        async def wait() -> None:
            with pytest.raises(TimeoutError):
                async with TimeLimit(_LONG_MS):
                    await asyncio.sleep(_LONG_MS)

        assert _after_a_suspension(wait) < 5.0

    def test_cancelled_meanwhile(self) -> None:
        """A cancellation from outside is no time-out."""

        async def run() -> None:
            async def wait() -> None:
                async with TimeLimit(_LONG_MS):
                    await asyncio.sleep(_LONG_MS)

            waiting = asyncio.ensure_future(wait())
            await asyncio.sleep(0)
            waiting.cancel()
            with pytest.raises(asyncio.CancelledError):
                await waiting

        asyncio.run(run())


class TestSleep:
    """A sleep that counts the time of a suspension."""

    def test_over_while_suspended(self) -> None:
        """It ends at once."""
        assert _after_a_suspension(lambda: sleep(_LONG_MS)) < 5.0
