# SPDX-License-Identifier: MIT
"""Simulated zones whose owner is killed together with the only box that holds a running job.

The job is submitted again at the next owner, before the lease of the first run has expired.
"""

from __future__ import annotations

import asyncio

from models.settled_zones import NEVER_MS, run_in_settled_zones
from models.unknown_endpoints import JOB, TASK_MS, UnknownEndpointsWorld
from models.zones_world import ZONES

_CHECK_S = 0.005
# From the restart of all endpoints until the last poll of a previous one has ended.
_POLLS_ENDED_S = 0.45
# A kill so long after the last heartbeat lets the next owner begin well before a lease expires.
_HEARTBEAT_AGE_MS = 60.0


class KilledWithJobWorld(UnknownEndpointsWorld):
    """Zones in which the killed owner's box has submitted the run that goes on."""

    async def kill_with_job(self, *, is_known: bool) -> None:
        """Kill the owner's box, and submit its running job again at the next owner.

        If *is_known*, all boxes have heard of the run's endpoint, but polls of it by the next owner
        are lost. Otherwise the next owner has heard of another endpoint only.
        """
        first, second = self.boxes_in(ZONES[0])
        self.conditions.cuts |= self.cuts_between_zones()
        if not is_known:
            *started_on, other = self.replace_endpoints(ZONES[0])
            self.tell_boxes([other], [second])
            self.tell_boxes(started_on, [first])
            await asyncio.sleep(_POLLS_ENDED_S)
        elector = self.boxes[second].elector
        while not _HEARTBEAT_AGE_MS <= elector.silent_ms <= _HEARTBEAT_AGE_MS + 10.0:
            await asyncio.sleep(_CHECK_S)
        call = await self._begin_job(first)
        self.conditions.cuts.add((second, self.first_start.endpoint))
        self.kill_box(first)
        await self._until_owner(second)
        self._note_unknown(second)
        await asyncio.gather(call, self.call(second, JOB, 1, TASK_MS, NEVER_MS))


def run_scenario(seed: int, *, is_known: bool) -> KilledWithJobWorld:
    """Play the scenario in settled zones, whose endpoints report births."""
    return run_in_settled_zones(
        KilledWithJobWorld,
        seed,
        lambda world: world.kill_with_job(is_known=is_known),
        are_births_known=True,
    )
