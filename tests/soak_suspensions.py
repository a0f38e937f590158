# SPDX-License-Identifier: MIT
"""Suspended boxes, combined with the faults of processes, disks and endpoints.

Suspends one box, several, a whole zone or a controller for up to 10 s; the monotonic clock of a
box excludes the time for which it was suspended.
"""

from __future__ import annotations

import asyncio
import random

from platform_system import PlatformSystem
from soak_faults import CATCH_UP_S, Faults

# Ranges of a suspension's duration; the longest exceed every timeout between boxes.
_DURATION_S = [(0.1, 0.5), (0.3, 2.0), (0.3, 2.0), (2.0, 5.0), (5.0, 10.0)]
# Range of the interval between the suspensions of a series.
_SERIES_INTERVAL_S = (0.05, 1.0)
_SERIES_MAX = 3


class SuspensionFaults(Faults):
    """The usual faults, and about as many suspensions.

    Args:
        system: The system under test.
        rng: Random generator for the faults.
    """

    def __init__(self, system: PlatformSystem, rng: random.Random) -> None:
        super().__init__(system, rng)
        self._kinds += [
            *[self._suspend_entry] * 4,
            *[self._suspend_in_series] * 3,
            *[self._suspend_some] * 3,
            *[self._suspend_zone] * 3,
            *[self._suspend_controller] * 3,
        ]

    def _draw_suspension_s(self) -> float:
        return self._rng.uniform(*self._rng.choice(_DURATION_S))

    async def _suspend_entry(self) -> None:
        await self._suspend(self._draw_entry(), self._draw_suspension_s())

    async def _suspend_in_series(self) -> None:
        """Suspend one box repeatedly at short intervals."""
        name = self._draw_entry()
        for _ in range(self._rng.randint(2, _SERIES_MAX)):
            await self._suspend(name, self._draw_suspension_s() / 2)
            await asyncio.sleep(self._rng.uniform(*_SERIES_INTERVAL_S))

    async def _suspend_some(self) -> None:
        """Suspend several boxes, each for a different time."""
        names = self._rng.sample(self._system.entries, len(self._system.entries) // 2 + 1)
        await asyncio.gather(*(self._suspend(name, self._draw_suspension_s()) for name in names))

    async def _suspend_zone(self) -> None:
        """Suspend all entry boxes of a zone for the same time."""
        zone = self._system.zone_of(self._draw_entry())
        seconds = self._draw_suspension_s()
        names = [name for name in self._system.entries if self._system.zone_of(name) == zone]
        await asyncio.gather(*(self._suspend(name, seconds) for name in names))

    async def _suspend_controller(self) -> None:
        if self._controller_lock.locked():
            return
        async with self._controller_lock:
            await self._suspend(
                self._rng.choice(self._system.controllers), self._draw_suspension_s()
            )
            await asyncio.sleep(CATCH_UP_S)

    async def _suspend(self, name: str, seconds: float) -> None:
        async with self._locks.get(name, asyncio.Lock()):
            self._system.suspend(name)
            await asyncio.sleep(seconds)
            self._system.resume(name)
