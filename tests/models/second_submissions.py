# SPDX-License-Identifier: MIT
"""Simulated zones in which a job is submitted again while its first submission is open."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from foldloom.clock import monotonic_ms
from foldloom.seed_discovery.endpoints.calls import CallOutcome, CallReply, StartOrder
from foldloom.seed_discovery.endpoints.records import EndpointState
from foldloom.seed_discovery.owners.messages import EndCause, RunsEnded
from models.settled_zones import NEVER_MS, SettledZonesWorld, run_in_settled_zones
from models.standing_boxes import Envelope
from models.virtual_time import PausableLoop
from models.zones_world import CONTROLLER, ENDPOINTS_PER_ZONE, ZONES

JOB = "c" * 16
TASK_MS = 400.0
# Longer than a lost session and the notices of the next one.
LONG_TASK_MS = 800.0
_OTHER_JOB = "d" * 16
_OTHER_TASK_MS = 100.0
_TASKS_PER_ENDPOINT = 2
_SECOND_AFTER_S = 0.05
# From the submission of the other job, which fills a zone, until the zone has room again.
_ROOM_AGAIN_S = _OTHER_TASK_MS / 1_000 + _SECOND_AFTER_S
# Two heartbeat intervals of the owner, so that the boxes know that the zone has no capacity.
_LOAD_KNOWN_S = 0.2
# The time for which a box is cut off; its sessions expire.
_CUT_S = 0.45


class SecondSubmissionWorld(SettledZonesWorld):
    """Zones in which both submissions of a job stay open, unless its first caller leaves."""

    def __init__(self, seed: int, loop: PausableLoop) -> None:
        super().__init__(seed, loop)
        self.second_ms = 0.0
        self._has_started = asyncio.Event()
        self._has_moved = asyncio.Event()
        self._on_move: Callable[[str], None] | None = None

    def start(self, name: str, order: StartOrder) -> CallReply:
        """Carry out a start order."""
        reply = super().start(name, order)
        if reply.outcome is CallOutcome.DONE and order.run_id.task.job_id == JOB:
            self._has_started.set()
        return reply

    def carry_envelope(self, envelope: Envelope, box: str) -> None:
        """Deliver an envelope; the fault, if any, comes before the notice that a run has moved."""
        messages = [frame.message for frame in envelope.frames]
        ends = [end for one in messages if isinstance(one, RunsEnded) for end in one.ends]
        if any(end.cause is EndCause.MOVED for end in ends) and not self._has_moved.is_set():
            self._has_moved.set()
            if self._on_move is not None:
                self._on_move(box)
        super().carry_envelope(envelope, box)

    @property
    def started_in(self) -> list[str]:
        """The zones whose endpoints have started the job's task."""
        zones = {record.endpoint: record.zone for record in self.records}
        return [zones[start.endpoint] for start in self.starts.get(JOB, [])]

    async def submit_twice(
        self,
        first: str,
        second: str,
        after_s: float = _SECOND_AFTER_S,
        first_leaves_ms: float = NEVER_MS,
    ) -> None:
        """Submit the job at *first*, and at *second* some time after its start."""
        call = asyncio.create_task(self.call(first, JOB, 1, TASK_MS, first_leaves_ms))
        await self._has_started.wait()
        await asyncio.sleep(after_s)
        self.second_ms = monotonic_ms()
        await self.call(second, JOB, 1, TASK_MS, NEVER_MS)
        await call

    async def submit_twice_while_draining(self, first: str, second: str) -> None:
        """Submit the job twice; all endpoints of its zone drain between."""
        call = asyncio.create_task(self.call(first, JOB, 1, TASK_MS, NEVER_MS))
        await self._has_started.wait()
        self.drain(ZONES[0])
        await asyncio.sleep(_LOAD_KNOWN_S)
        self.second_ms = monotonic_ms()
        await self.call(second, JOB, 1, TASK_MS, NEVER_MS)
        await call

    async def submit_twice_after_move(
        self, first: str, second: str, after_s: float = _ROOM_AGAIN_S
    ) -> None:
        """Submit the job to a zone without room, which moves it, and again once it has room."""
        other = await self._fill_zone()
        await self.submit_twice(first, second, after_s)
        await other

    async def submit_twice_and_lose_move(self, is_killed: bool) -> None:
        """Submit the job, which is moved; the notice doesn't reach its box, and submit it again.

        That box is killed, or cut off from all boxes until its sessions have expired.
        """
        owner, first = self.boxes_in(ZONES[0])
        self._on_move = self.kill_box if is_killed else self._cut_off
        other = await self._fill_zone()
        call = asyncio.create_task(self.call(first, JOB, 1, LONG_TASK_MS, NEVER_MS))
        await self._has_moved.wait()
        await asyncio.sleep(_ROOM_AGAIN_S)
        self.second_ms = monotonic_ms()
        await self.call(owner, JOB, 1, LONG_TASK_MS, NEVER_MS)
        await call
        await other

    async def _fill_zone(self) -> asyncio.Task[None]:
        """Submit another job that fills the first zone; return its call once it has started."""
        tasks = ENDPOINTS_PER_ZONE * _TASKS_PER_ENDPOINT
        owner, _ = self.boxes_in(ZONES[0])
        call = asyncio.create_task(self.call(owner, _OTHER_JOB, tasks, _OTHER_TASK_MS, NEVER_MS))
        while len(self.starts.get(_OTHER_JOB, ())) < tasks:
            await asyncio.sleep(0.001)
        return call

    def _cut_off(self, box: str) -> None:
        others = {other for other in [*self.boxes, CONTROLLER] if other != box}
        links = {(box, other) for other in others} | {(other, box) for other in others}
        self.conditions.cuts |= links
        self._call_later(_CUT_S, lambda: self.conditions.cuts.difference_update(links))

    def drain(self, zone: str) -> None:
        """Report to all boxes that the endpoints of *zone* drain."""
        for record in [record for record in self.records if record.zone == zone]:
            self.tell(record._replace(sequence=record.sequence + 1, state=EndpointState.DRAINING))

    def box(self, zone: str, is_owner: bool) -> str:
        """Return the box that owns *zone*, or its other box."""
        owner, other = self.boxes_in(zone)
        return owner if is_owner else other


Scenario = Callable[[SecondSubmissionWorld], Coroutine[Any, Any, None]]


def run_scenario(seed: int, scenario: Scenario) -> SecondSubmissionWorld:
    """Play *scenario* in settled zones, whose endpoints report births."""
    return run_in_settled_zones(SecondSubmissionWorld, seed, scenario, are_births_known=True)
