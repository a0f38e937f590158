# SPDX-License-Identifier: MIT
"""Simulated zones whose owner is killed while runs of other boxes are running and queued.

The zones are cut off from each other, so that the next owner of the zone starts the queued runs.
"""

from __future__ import annotations

import asyncio

from foldloom.clock import monotonic_ms
from models.replaced_endpoints import ReplacedEndpointsWorld
from models.settled_zones import NEVER_MS, run_in_settled_zones
from models.zones_world import ENDPOINTS_PER_ZONE, ZONES

_TASKS_PER_ENDPOINT = 2
# Ends while the zone has no owner, so that the queued runs need not wait for capacity.
_SHORT_MS = 500.0
# Goes on while the zone has no owner, and is found by the next one.
_LONG_MS = 1_500.0
_LONG_JOB = "a" * 16
_SHORT_JOB = "b" * 16
_QUEUED_JOBS = ("c" * 16, "d" * 16)
_QUEUED_TASKS = 2
_RUNNING_S = 0.1
_QUEUED_S = 0.05
# The owner's heartbeat interval: the kill may come at any time after the last heartbeat.
_HEARTBEAT_S = 0.1


class KilledOwnerWorld(ReplacedEndpointsWorld):
    """Zones with three boxes each, in which all boxes have heard of all endpoints."""

    killed_ms = 0.0

    @property
    def queued_starts_ms(self) -> list[float]:
        """When each job that was queued at the kill started, in milliseconds after the kill."""
        return [
            min(start.at_ms for start in self.starts[job_id]) - self.killed_ms
            for job_id in _QUEUED_JOBS
        ]

    @property
    def restarted(self) -> list[str]:
        """The jobs of which a running task started again."""
        tasks = {_LONG_JOB: 1, _SHORT_JOB: self._short_tasks}
        return [job_id for job_id, count in tasks.items() if len(self.starts[job_id]) > count]

    async def kill_owner(self, *, is_endpoint_replaced: bool) -> None:
        """Submit jobs of two boxes, kill the owner, and await their answers.

        An endpoint may restart under a new id just before, of which all boxes hear at once.
        """
        self.conditions.cuts |= self.cuts_between_zones()
        owner, first, second = self.all_boxes_in(ZONES[0])
        calls = [
            asyncio.create_task(self.call(first, _LONG_JOB, 1, _LONG_MS, NEVER_MS)),
            asyncio.create_task(
                self.call(second, _SHORT_JOB, self._short_tasks, _SHORT_MS, NEVER_MS)
            ),
        ]
        await asyncio.sleep(_RUNNING_S)
        calls += [
            asyncio.create_task(self.call(box, job_id, _QUEUED_TASKS, _SHORT_MS, NEVER_MS))
            for box, job_id in zip((first, second), _QUEUED_JOBS, strict=True)
        ]
        await asyncio.sleep(_QUEUED_S + self.rng.uniform(0.0, _HEARTBEAT_S))
        assert not any(job_id in self.starts for job_id in _QUEUED_JOBS)
        if is_endpoint_replaced:
            name = self.starts[_SHORT_JOB][0].endpoint
            self.tell_boxes([self.replace_endpoint(name)], self.boxes)
        self.killed_ms = monotonic_ms()
        self.kill_box(owner)
        await asyncio.gather(*calls)

    @property
    def _short_tasks(self) -> int:
        return ENDPOINTS_PER_ZONE * _TASKS_PER_ENDPOINT - 1


def run_scenario(seed: int, *, is_endpoint_replaced: bool) -> KilledOwnerWorld:
    """Play the scenario in settled zones, whose endpoints report births."""
    return run_in_settled_zones(
        KilledOwnerWorld,
        seed,
        lambda world: world.kill_owner(is_endpoint_replaced=is_endpoint_replaced),
        are_births_known=True,
    )
