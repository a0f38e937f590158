# SPDX-License-Identifier: MIT
"""Simulated zones in which the stop order of a cancelled run stays unanswered.

All endpoints of the run's zone are excluded from placement meanwhile.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from foldloom.clock import monotonic_ms
from foldloom.seed_discovery.endpoints.calls import CallOutcome, CallReply, StartOrder
from foldloom.seed_discovery.endpoints.records import EndpointRecord, EndpointState
from models.settled_zones import NEVER_MS, SettledZonesWorld, run_in_settled_zones
from models.virtual_time import PausableLoop
from models.zones_world import ZONES

JOB = "c" * 16
TASK_MS = 400.0
RESUBMIT_AFTER_S = 0.05
# Two heartbeat intervals of the owner, so that the boxes know that the zone has no capacity.
_LOAD_KNOWN_S = 0.2


class StoppingRunWorld(SettledZonesWorld):
    """Zones in which a job is submitted twice at the same box.

    Once the job's task runs, its endpoint receives no more orders, and all endpoints of its zone
    drain. The caller leaves, and the job is submitted again while the task still runs.
    """

    def __init__(self, seed: int, loop: PausableLoop) -> None:
        super().__init__(seed, loop)
        self.resubmitted_ms = 0.0
        self._started = asyncio.Event()

    def start(self, name: str, order: StartOrder) -> CallReply:
        """Carry out a start order."""
        reply = super().start(name, order)
        if reply.outcome is CallOutcome.DONE:
            self._started.set()
        return reply

    @property
    def started_on(self) -> list[str]:
        """The endpoints that have started the job's task."""
        return [start.endpoint for start in self.starts.get(JOB, [])]

    async def submit_twice(self, is_owner: bool) -> None:
        """Submit the job twice at the zone's owner or at its other box."""
        box = self._box(is_owner)
        await self._leave_while_running(box)
        await self._resubmit(box)

    async def submit_to_two_boxes(self) -> None:
        """Submit the job to the zone's other box, and then to its owner's box."""
        await self._leave_while_running(self._box(is_owner=False))
        await self._resubmit(self._box(is_owner=True))

    async def submit_twice_with_capacity(self, after_s: float) -> None:
        """Submit the job twice; the zone has capacity again *after_s* after the second time."""
        box = self._box(is_owner=False)
        await self._leave_while_running(box)
        idle = next(
            record.endpoint
            for record in self._records_of_zone()
            if record.endpoint not in self.started_on
        )
        self._call_later(RESUBMIT_AFTER_S + after_s, lambda: self.report_birth(idle))
        await self._resubmit(box)

    def _box(self, is_owner: bool) -> str:
        owner, other = self.boxes_in(ZONES[0])
        return owner if is_owner else other

    async def _leave_while_running(self, box: str) -> None:
        """Submit the job at *box*, and disconnect while its endpoint receives no more orders."""
        call = asyncio.create_task(self.call(box, JOB, 1, TASK_MS, _LOAD_KNOWN_S * 1_000))
        await self._started.wait()
        self.trouble.deaf.update(self.started_on)
        for record in self._records_of_zone():
            self.tell(record._replace(sequence=record.sequence + 1, state=EndpointState.DRAINING))
        await call

    async def _resubmit(self, box: str) -> None:
        await asyncio.sleep(RESUBMIT_AFTER_S)
        self.resubmitted_ms = monotonic_ms()
        await self.call(box, JOB, 1, TASK_MS, NEVER_MS)

    def _records_of_zone(self) -> list[EndpointRecord]:
        return [record for record in self.records if record.zone == ZONES[0]]


def run_scenario(seed: int, scenario: Callable[[StoppingRunWorld], Any]) -> StoppingRunWorld:
    """Play *scenario* in settled zones, whose endpoints report births."""
    return run_in_settled_zones(StoppingRunWorld, seed, scenario, are_births_known=True)
