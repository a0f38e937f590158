# SPDX-License-Identifier: MIT
"""A task on two endpoints: another owner knew nothing of an unanswered start.

The endpoint restarts under its id and executes the start order before that owner has discovered
the new incarnation. Simulated zones.
"""

from __future__ import annotations

import asyncio
import contextvars
import random
from collections.abc import Callable
from typing import Any

import pytest

from foldloom.seed_discovery.endpoints.calls import CallOutcome, CallReply, StartOrder
from foldloom.seed_discovery.jobs.spec import RunId
from models.standing_boxes import PausableZonesWorld
from models.virtual_time import PausableLoop, run_in_virtual_time
from models.zones_world import ZONES

_JOB = "c" * 16
_SETTLE_S = 1.0
_TASK_MS = 400.0
# From the first start order to the end of the owner or the caller: its call has timed out, and the
# stop is confirmed.
_UNANSWERED_S = 0.3
# From the start on another endpoint to the restart of the first one; well below the task's time.
_RESTART_AFTER_S = 0.05
_RESUBMIT_AFTER_S = 0.02
# How long the first endpoint is silent at most: longer than a new owner waits for its report.
_SILENCE_MAX_S = 1.8
_NEVER_MS = 1e5


class _LateOrderWorld(PausableZonesWorld):
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

    def silence_endpoint(self) -> None:
        """Silence the first endpoint until its next incarnation."""
        self.trouble.deaf.add(self._first_endpoint)
        self._call_later(_SILENCE_MAX_S, self._restart_and_execute)

    def _restart_and_execute(self) -> None:
        assert self._late_order is not None
        if self._has_restarted:
            return
        self._has_restarted = True
        self.trouble.deaf.clear()
        self.restart_endpoint(self._first_endpoint)
        self._late_order()

    def report_births(self) -> None:
        """Restart all endpoints, so that each reports its birth."""
        for name in self.endpoints:
            self.tell(self.restart_endpoint(name))

    def boxes_in(self, zone: str) -> tuple[str, str]:
        """Return the owner of *zone* and its other box."""
        names = [name for name, box in self.boxes.items() if box.zone == zone]
        names.sort(key=lambda name: self.boxes[name].elector.owner is None)
        return names[0], names[1]


def _run(seed: int, scenario: Callable[[_LateOrderWorld], Any]) -> _LateOrderWorld:
    loop = PausableLoop(random.Random(seed))
    random.seed(seed)

    async def play() -> _LateOrderWorld:
        world = _LateOrderWorld(seed, loop)
        await asyncio.sleep(_SETTLE_S)
        world.report_births()
        await asyncio.sleep(_SETTLE_S)
        await scenario(world)
        assert world.errors == []
        return world

    world: _LateOrderWorld = run_in_virtual_time(play(), loop)
    return world


@pytest.mark.parametrize("seed", range(8))
class TestOtherOwner:
    """The binding is kept by the entry boxes, which deliver the task to the endpoint's zone."""

    def test_new_owner(self, seed: int) -> None:
        """The owner is killed after the start timed out, and the endpoint falls silent.

        It is back too late for the job, which is answered with an error.
        """

        async def scenario(world: _LateOrderWorld) -> None:
            owner, other = world.boxes_in(ZONES[0])
            call = asyncio.create_task(world.call(other, _JOB, 1, _TASK_MS, _NEVER_MS))
            await world.ordered.wait()
            await asyncio.sleep(_UNANSWERED_S)
            world.kill_box(owner)
            world.silence_endpoint()
            await call

        world = _run(seed, scenario)
        assert world.doubled == []
        assert world.answers[-1].may_have_run

    def test_submitted_again_in_the_other_zone(self, seed: int) -> None:
        """The caller disconnects after the start timed out, and submits the job elsewhere."""

        async def scenario(world: _LateOrderWorld) -> None:
            first, second = (world.boxes_in(zone)[1] for zone in ZONES)
            leave_ms = _UNANSWERED_S * 1_000
            await world.call(first, _JOB, 1, _TASK_MS, leave_ms)
            await asyncio.sleep(_RESUBMIT_AFTER_S)
            await world.call(second, _JOB, 1, _TASK_MS, _NEVER_MS)

        world = _run(seed, scenario)
        assert world.doubled == []
        assert world.answers[-1].is_completed
