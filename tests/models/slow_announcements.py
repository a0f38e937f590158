# SPDX-License-Identifier: MIT
"""Simulated zones with three owners in turn, of which the second adopts a run of the first one.

The second owner's messages reach the box that holds the run late: its heartbeats are still valid
then, but its announcement of the run's endpoint has expired.
"""

from __future__ import annotations

import asyncio

from foldloom.clock import monotonic_ms
from foldloom.seed_discovery.fleet.messages import TakeOver
from models.settled_zones import NEVER_MS, run_in_settled_zones
from models.unknown_endpoints import JOB, UnknownEndpointsWorld
from models.virtual_time import PausableLoop
from models.zones_world import ZONES

_NEXT_JOB = "d" * 16
_SHORT_MS = 20.0
_SHORT_JOBS = 25
_CALLS_S = 0.5
_POLLS_ENDED_S = 0.45
_LONG_TASK_MS = 4_000.0
_ANNOUNCED_S = 0.03
# Between the time-to-live of an announcement, 150 ms, and that of a heartbeat, 400 ms.
_SLOW_MS = 200.0
# From the last heartbeat of the first owner until its runs have certainly ended.
_GRANT_MS = 1_160.0


class SlowAnnouncementsWorld(UnknownEndpointsWorld):
    """Zones with three boxes each, in which messages between two boxes can be slow."""

    def __init__(self, seed: int, loop: PausableLoop) -> None:
        super().__init__(seed, loop)
        self._slow_links: set[tuple[str, str]] = set()

    async def replace_owner_twice(self) -> None:
        """Kill the owner of a run, and have the next one hand the zone to the run's box soon after.

        Short jobs keep the polls of the zone's endpoints short, whose reports are then recent.
        """
        first, second, third = self.all_boxes_in(ZONES[0])
        self.conditions.cuts |= self.cuts_between_zones()
        *started_on, other = self.replace_endpoints(ZONES[0])
        self.tell_boxes([other], [second, third])
        self.tell_boxes(started_on, [first])
        await asyncio.sleep(_POLLS_ENDED_S)
        call = asyncio.create_task(self.call(third, JOB, 1, _LONG_TASK_MS, NEVER_MS))
        await self._started.wait()
        await self.call(third, _NEXT_JOB, 1, _SHORT_MS, NEVER_MS)
        self.kill_box(first)
        killed_ms = monotonic_ms()
        await self._until_owner(second)
        await asyncio.sleep(_ANNOUNCED_S)
        self._slow_links.add((second, third))
        self.tell_boxes(started_on, [second])
        await asyncio.sleep((killed_ms + _GRANT_MS - monotonic_ms()) / 1_000)
        await self._call_often(second, 0)
        self._slow_links.clear()
        self.turns.deliver(self.context_of(second), self._hand_over, second, third)
        await self._until_owner(third)
        self._note_unknown(third)
        await self._call_often(third, _SHORT_JOBS)
        await call

    def _hand_over(self, owner: str, successor: str) -> None:
        """Have *owner* step down before a planned stop, in favour of *successor*."""
        elector = self.boxes[owner].elector
        assert elector.owner is not None
        take_over = TakeOver(elector.owner.record)
        elector.close()
        self.boxes[owner].network.send(successor, take_over)

    async def _call_often(self, box: str, first_number: int) -> None:
        """Submit short jobs at *box* for half a second, and await their answers."""
        calls = []
        for number in range(first_number, first_number + _SHORT_JOBS):
            short_job = self.call(box, f"{number:016x}", 1, _SHORT_MS, NEVER_MS)
            calls.append(asyncio.create_task(short_job))
            await asyncio.sleep(_CALLS_S / _SHORT_JOBS)
        await asyncio.gather(*calls)

    def _delay_ms(self, sender: str, box: str, ttl_ms: float) -> float | None:
        delay_ms = super()._delay_ms(sender, box, ttl_ms)
        is_slow = (sender, box) in self._slow_links
        return delay_ms + _SLOW_MS if is_slow and delay_ms is not None else delay_ms


def run_scenario(seed: int) -> SlowAnnouncementsWorld:
    """Play the scenario in settled zones, whose endpoints report births."""
    return run_in_settled_zones(
        SlowAnnouncementsWorld,
        seed,
        SlowAnnouncementsWorld.replace_owner_twice,
        are_births_known=True,
    )
