# SPDX-License-Identifier: MIT
"""Simulated zones in which messages from an owner to another box of its zone take long.

Its heartbeats arrive in time, but its announcements have expired. A job is submitted at both boxes.
"""

from __future__ import annotations

import asyncio

from foldloom.clock import monotonic_ms
from models.replaced_endpoints import ReplacedEndpointsWorld
from models.settled_zones import NEVER_MS, run_in_settled_zones
from models.virtual_time import PausableLoop
from models.zones_world import ZONES

_JOB = "c" * 16
_TASK_MS = 100.0
# Between the time-to-live of an announcement, 150 ms, and that of a heartbeat, 400 ms.
_SLOW_MS = 200.0
# From the restart of all endpoints until the last poll of a previous one has ended.
_POLLS_ENDED_S = 0.5
_SUBMITTED_AGAIN_S = 0.01


class SlowHoldersWorld(ReplacedEndpointsWorld):
    """Zones in which one box is reached late, from before the zone's endpoints restart."""

    submitted_ms = 0.0

    def __init__(self, seed: int, loop: PausableLoop) -> None:
        super().__init__(seed, loop)
        self._slow_links: set[tuple[str, str]] = set()

    @property
    def started_ms(self) -> list[float]:
        """When the job's task started, after the submission at the owner's box."""
        return [start.at_ms - self.submitted_ms for start in self.starts.get(_JOB, [])]

    async def submit_at_both(self) -> None:
        """Submit a job at the box that is reached late, and at the owner's box soon after."""
        first, second = self.boxes_in(ZONES[0])
        self.conditions.cuts |= self.cuts_between_zones()
        self._slow_links.add((first, second))
        self.tell_boxes(self.replace_endpoints(ZONES[0]), self.boxes)
        await asyncio.sleep(_POLLS_ENDED_S)
        call = asyncio.create_task(self.call(second, _JOB, 1, _TASK_MS, NEVER_MS))
        await asyncio.sleep(_SUBMITTED_AGAIN_S)
        self.submitted_ms = monotonic_ms()
        await asyncio.gather(call, self.call(first, _JOB, 1, _TASK_MS, NEVER_MS))

    def _delay_ms(self, sender: str, box: str, ttl_ms: float) -> float | None:
        delay_ms = super()._delay_ms(sender, box, ttl_ms)
        is_slow = (sender, box) in self._slow_links
        return delay_ms + _SLOW_MS if is_slow and delay_ms is not None else delay_ms


def run_scenario(seed: int) -> SlowHoldersWorld:
    """Play the scenario in settled zones, whose endpoints report births."""
    return run_in_settled_zones(
        SlowHoldersWorld, seed, SlowHoldersWorld.submit_at_both, are_births_known=True
    )
