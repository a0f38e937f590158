# SPDX-License-Identifier: MIT
"""Simulated zones in which a scenario with fixed steps is played once they have settled."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from models.standing_boxes import PausableZonesWorld
from models.virtual_time import PausableLoop, run_in_virtual_time

NEVER_MS = 1e5
_SETTLE_S = 1.0


class SettledZonesWorld(PausableZonesWorld):
    """Zones with the steps that scenarios share."""

    def report_births(self) -> None:
        """Restart all endpoints, so that each reports its birth."""
        for name in self.endpoints:
            self.report_birth(name)

    def report_birth(self, name: str) -> None:
        """Restart an endpoint, and report its birth."""
        self.tell(self.restart_endpoint(name))

    def boxes_in(self, zone: str) -> tuple[str, str]:
        """Return the owner of *zone* and another box."""
        owner, other, *_ = self.all_boxes_in(zone)
        return owner, other

    def all_boxes_in(self, zone: str) -> list[str]:
        """Return the owner of *zone* and its other boxes."""
        names = [name for name, box in self.boxes.items() if box.zone == zone]
        names.sort(key=lambda name: self.boxes[name].elector.owner is None)
        return names

    def cuts_between_zones(self) -> set[tuple[str, str]]:
        """Return the links between boxes of different zones."""
        zones = {name: box.zone for name, box in self.boxes.items()}
        return {(one, other) for one in zones for other in zones if zones[one] != zones[other]}


World = TypeVar("World", bound=SettledZonesWorld)


def run_in_settled_zones(
    make_world: Callable[[int, PausableLoop], World],
    seed: int,
    scenario: Callable[[World], Coroutine[Any, Any, None]],
    are_births_known: bool,
) -> World:
    """Play *scenario* in settled zones, whose endpoints report births if *are_births_known*."""
    loop = PausableLoop(random.Random(seed))
    random.seed(seed)

    async def play() -> World:
        world = make_world(seed, loop)
        await asyncio.sleep(_SETTLE_S)
        if are_births_known:
            world.report_births()
        await asyncio.sleep(_SETTLE_S)
        await scenario(world)
        assert world.errors == []
        return world

    world: World = run_in_virtual_time(play(), loop)
    return world
