# SPDX-License-Identifier: MIT
"""An event loop whose time passes only while nothing is left to do."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any
from unittest.mock import patch

from foldloom.seed_discovery.owners.elector import Elector


class _JumpingSelector(selectors.SelectSelector):
    """A selector that moves its clock forward where another one would wait."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 1_000.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Return what is ready; let *timeout* seconds pass if nothing is."""
        ready = super().select(0)
        if not ready and timeout is None:
            raise RuntimeError("every task waits, and no timer is set")
        if not ready and timeout is not None:
            self.now_s += max(0.0, timeout)
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop on a simulated clock, in seconds."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the simulated time."""
        return self._jumping.now_s

    def monotonic(self) -> float:
        """Return the same, under the name that :mod:`time` has for it."""
        return self._jumping.now_s

    def stand_still(self, for_s: float) -> None:
        """Let time pass in which nothing on this loop gets its turn."""
        self._jumping.now_s += for_s


def run_in_virtual_time(play: Coroutine[Any, Any, Any], loop: VirtualTimeLoop) -> Any:
    """Run *play* on *loop*; the product's monotonic clock and time of day are the loop's."""
    with patch("foldloom.clock.time", loop), patch(f"{Elector.__module__}.time", loop):
        try:
            return loop.run_until_complete(play)
        finally:
            _end_tasks(loop)
            loop.close()


def _end_tasks(loop: VirtualTimeLoop) -> None:
    tasks = asyncio.all_tasks(loop)
    if not tasks:
        return
    for task in tasks:
        task.cancel()
    loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
