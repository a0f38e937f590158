# SPDX-License-Identifier: MIT
"""Simulated zones in which one start order stays unanswered and is executed late."""

from __future__ import annotations

import asyncio
import contextvars
from collections.abc import Callable
from typing import Any

from foldloom.seed_discovery.endpoints.calls import CallOutcome, CallReply, StartOrder
from foldloom.seed_discovery.jobs.spec import RunId
from models.settled_zones import NEVER_MS, SettledZonesWorld, run_in_settled_zones
from models.virtual_time import PausableLoop
from models.zones_world import CONTROLLER, ZONES

JOB = "c" * 16
TASK_MS = 400.0
# From the first start order to the next event: its call has timed out, and the stop is confirmed.
UNANSWERED_S = 0.3
RESUBMIT_AFTER_S = 0.02
# Time by which the start order is sent after the submission.
UNTIL_ORDER_S = 0.005
# Until a restarted box has sessions with all owners.
_REJOINED_S = 0.3
# From the start on another endpoint to the restart of the first one; well below the task's time.
_RESTART_AFTER_S = 0.05
# How long the first endpoint is silent at most: longer than a new owner waits for its report.
_SILENCE_MAX_S = 1.8


class LateOrderWorld(SettledZonesWorld):
    """Zones in which the first start order stays unanswered.

    It is executed by the endpoint's next incarnation, which begins while the task runs on another
    endpoint, or after a silence.
    """

    def __init__(self, seed: int, loop: PausableLoop) -> None:
        super().__init__(seed, loop)
        self.ordered = asyncio.Event()
        self._first_endpoint = ""
        self._late_order: Callable[[], CallReply] | None = None
        self._has_restarted = False

    def record_start_order(self, box: str, endpoint: str, run_id: RunId) -> None:
        """Record the endpoint of the first start order."""
        super().record_start_order(box, endpoint, run_id)
        if not self._first_endpoint:
            self._first_endpoint = endpoint
            self.ordered.set()

    def order(
        self,
        context: contextvars.Context,
        box: str,
        endpoint: str,
        carry_out: Callable[[], CallReply],
    ) -> asyncio.Future[CallReply]:
        """Deliver an order, but keep the first one."""
        if endpoint == self._first_endpoint and self._late_order is None:
            self._late_order = carry_out
            return self.loop.create_future()
        return super().order(context, box, endpoint, carry_out)

    def start(self, name: str, order: StartOrder) -> CallReply:
        """Carry out a start order; one on another endpoint is followed by the late one."""
        reply = super().start(name, order)
        if reply.outcome is CallOutcome.DONE and name != self._first_endpoint:
            self._call_later(_RESTART_AFTER_S, self._restart_and_execute)
        return reply

    def deafen_endpoint(self) -> None:
        """Have the first endpoint receive nothing until its next incarnation."""
        self.trouble.deaf.add(self._first_endpoint)

    def silence_endpoint(self) -> None:
        """Silence the first endpoint until its next incarnation."""
        self.deafen_endpoint()
        self._call_later(_SILENCE_MAX_S, self._restart_and_execute)

    def _restart_and_execute(self) -> None:
        assert self._late_order is not None
        if self._has_restarted:
            return
        self._has_restarted = True
        self.trouble.deaf.clear()
        self.restart_endpoint(self._first_endpoint)
        self._late_order()

    async def kill_owner(self, after_s: float, cut_after_s: float = NEVER_MS) -> None:
        """Submit a job, and kill its owner *after_s* after the start order; await the answer.

        The endpoint falls silent then. The owner may be cut off from all boxes before.
        """
        owner, other = self.boxes_in(ZONES[0])
        call = asyncio.create_task(self.call(other, JOB, 1, TASK_MS, NEVER_MS))
        await self.ordered.wait()
        others = {box for box in [*self.boxes, CONTROLLER] if box != owner}
        links = {(owner, box) for box in others}
        self._call_later(cut_after_s, lambda: self.conditions.cuts.update(links))
        await asyncio.sleep(after_s)
        self.kill_box(owner)
        self.silence_endpoint()
        await call

    async def kill_submitting_owner(self, after_s: float, zone: str = ZONES[0]) -> None:
        """Submit a job to its owner's box and kill that box; submit it to another box in *zone*."""
        owner, other = self.boxes_in(ZONES[0])
        target = other if zone == ZONES[0] else self.boxes_in(zone)[1]
        call = asyncio.create_task(self.call(owner, JOB, 1, TASK_MS, NEVER_MS))
        await self.ordered.wait()
        await asyncio.sleep(after_s)
        self.kill_box(owner)
        self.silence_endpoint()
        await call
        await asyncio.sleep(RESUBMIT_AFTER_S)
        await self.call(target, JOB, 1, TASK_MS, NEVER_MS)

    async def kill_owner_and_leave(self, after_s: float, leave_after_s: float, zone: str) -> None:
        """Kill the owner *after_s* after the start order; disconnect *leave_after_s* later.

        The job is submitted again to a box in *zone*.
        """
        owner, other = self.boxes_in(ZONES[0])
        target = other if zone == ZONES[0] else self.boxes_in(zone)[1]
        leave_ms = (UNTIL_ORDER_S + after_s + leave_after_s) * 1_000
        call = asyncio.create_task(self.call(other, JOB, 1, TASK_MS, leave_ms))
        await self.ordered.wait()
        await asyncio.sleep(after_s)
        self.kill_box(owner)
        self.silence_endpoint()
        await call
        await asyncio.sleep(RESUBMIT_AFTER_S)
        await self.call(target, JOB, 1, TASK_MS, NEVER_MS)

    async def submit_twice_after_restart(self, leave_after_s: float) -> None:
        """Submit a job, disconnect, and submit it in the other zone to a box that has restarted."""
        first, second = (self.boxes_in(zone)[1] for zone in ZONES)
        await self.call(first, JOB, 1, TASK_MS, leave_after_s * 1_000)
        assert self.ordered.is_set()
        self.start_box(second)
        await asyncio.sleep(_REJOINED_S)
        await self.call(second, JOB, 1, TASK_MS, NEVER_MS)

    async def submit_twice(self, leave_after_s: float) -> None:
        """Submit a job, disconnect *leave_after_s* later, and submit it in the other zone."""
        first, second = (self.boxes_in(zone)[1] for zone in ZONES)
        await self.call(first, JOB, 1, TASK_MS, leave_after_s * 1_000)
        assert self.ordered.is_set()
        await asyncio.sleep(RESUBMIT_AFTER_S)
        await self.call(second, JOB, 1, TASK_MS, NEVER_MS)


def run_scenario(
    seed: int, scenario: Callable[[LateOrderWorld], Any], are_births_known: bool = True
) -> LateOrderWorld:
    """Play *scenario* in settled zones, whose endpoints report births if *are_births_known*."""
    return run_in_settled_zones(LateOrderWorld, seed, scenario, are_births_known)
