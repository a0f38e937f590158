# SPDX-License-Identifier: MIT
"""Boxes that lack processor time, combined with the faults of processes, disks and endpoints.

Each such box is stopped and continued in short turns, so that it runs a share of the time only.
"""

from __future__ import annotations

import asyncio
import random
import time

from platform_system import PlatformSystem
from soak_faults import Faults

# Share of the time that a box gets, and range of the time for which it lacks the rest.
_SHARES = (0.2, 0.33, 0.5, 0.67)
_DURATION_S = (1.0, 5.0)
# Length of a turn; shorter than every timeout between boxes.
_TURN_S = 0.02


class ProcessorFaults(Faults):
    """The usual faults, and about as many boxes that lack processor time.

    Args:
        system: The system under test.
        rng: Random generator for the faults.
    """

    def __init__(self, system: PlatformSystem, rng: random.Random) -> None:
        super().__init__(system, rng)
        self._kinds += [
            *[self._limit_entry] * 6,
            *[self._limit_owner] * 6,
            *[self._limit_zone] * 4,
        ]

    async def _limit_entry(self) -> None:
        await self._limit(self._draw_entry(), self._draw_limit())

    async def _limit_owner(self) -> None:
        await self._limit(self._system.owner(), self._draw_limit())

    async def _limit_zone(self) -> None:
        """Limit all entry boxes of a zone to the same share for the same time."""
        zone = self._system.zone_of(self._draw_entry())
        limit = self._draw_limit()
        names = [name for name in self._system.entries if self._system.zone_of(name) == zone]
        await asyncio.gather(*(self._limit(name, limit) for name in names))

    def _draw_limit(self) -> tuple[float, float]:
        """Return the share of the time that a box gets, and for how long, in seconds."""
        return self._rng.choice(_SHARES), self._rng.uniform(*_DURATION_S)

    async def _limit(self, name: str, limit: tuple[float, float]) -> None:
        share, duration_s = limit
        async with self._locks.get(name, asyncio.Lock()):
            until_s = time.monotonic() + duration_s
            while time.monotonic() < until_s:
                self._system.freeze(name)
                await asyncio.sleep(_TURN_S * (1 - share))
                self._system.thaw(name)
                await asyncio.sleep(_TURN_S * share)
