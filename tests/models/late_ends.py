# SPDX-License-Identifier: MIT
"""Simulated zones in which a replaced owner still has a session with a box of another zone.

It reaches no endpoint, and takes the leases for expired that its successor has renewed.
"""

from __future__ import annotations

import asyncio

from models.settled_zones import NEVER_MS, run_in_settled_zones
from models.unknown_endpoints import JOB, TASK_MS, UnknownEndpointsWorld
from models.zones_world import CONTROLLER, ZONES

# Until the owner of a zone without endpoints has reported its load.
_DEREGISTERED_S = 0.3
_NEXT_JOB = "d" * 16
_NEXT_TASK_MS = 20.0


class LateEndsWorld(UnknownEndpointsWorld):
    """Zones in which the owner is cut off from all but one box, of the other zone."""

    async def cut_owner(self, *, is_box_heard: bool) -> None:
        """Cut off the owner, which runs a job of the other zone's box, from all but this box.

        Once there is another owner, it does not hear that box either, unless *is_box_heard*.
        """
        first, second = self.boxes_in(ZONES[0])
        box, other = self.boxes_in(ZONES[1])
        records = [record for record in self.records if record.zone == ZONES[1]]
        names = [record.endpoint for record in records]
        for record in records:
            self.tell(record._replace(sequence=record.sequence + 1))
        for name in names:
            self.send_deregistration(name)
        await asyncio.sleep(_DEREGISTERED_S)
        call = asyncio.create_task(self.call(box, JOB, 1, TASK_MS, NEVER_MS))
        await self._started.wait()
        await self.call(box, _NEXT_JOB, 1, _NEXT_TASK_MS, NEVER_MS)
        assert self.first_start.endpoint not in names
        for name in names:
            self.tell(self.restart_endpoint(name))
        self.conditions.cuts |= self._links_between(first, {CONTROLLER, second, other})
        self.conditions.cuts |= {(first, record.endpoint) for record in self.records}
        await self._until_owner(second)
        if not is_box_heard:
            self.conditions.cuts.add((box, first))
        await call


def run_scenario(seed: int, *, is_box_heard: bool) -> LateEndsWorld:
    """Play the scenario in settled zones, whose endpoints report no births at first."""
    return run_in_settled_zones(
        LateEndsWorld,
        seed,
        lambda world: world.cut_owner(is_box_heard=is_box_heard),
        are_births_known=False,
    )
