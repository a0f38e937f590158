# SPDX-License-Identifier: MIT
"""A task on two endpoints: another owner knew nothing of an unanswered start.

The endpoint restarts under its id and executes the start order before that owner has discovered
the new incarnation. Simulated zones.
"""

from __future__ import annotations

import asyncio

import pytest

from models.late_orders import LateOrderWorld, run_scenario
from models.zones_world import ZONES

_JOB = "c" * 16
_TASK_MS = 400.0
# From the first start order to the end of the owner or the caller: its call has timed out, and the
# stop is confirmed.
_UNANSWERED_S = 0.3
_RESUBMIT_AFTER_S = 0.02
_NEVER_MS = 1e5


@pytest.mark.parametrize("seed", range(8))
class TestOtherOwner:
    """The binding is kept by the entry boxes, which deliver the task to the endpoint's zone."""

    def test_new_owner(self, seed: int) -> None:
        """The owner is killed after the start timed out, and the endpoint falls silent.

        It is back too late for the job, which is answered with an error.
        """

        async def scenario(world: LateOrderWorld) -> None:
            owner, other = world.boxes_in(ZONES[0])
            call = asyncio.create_task(world.call(other, _JOB, 1, _TASK_MS, _NEVER_MS))
            await world.ordered.wait()
            await asyncio.sleep(_UNANSWERED_S)
            world.kill_box(owner)
            world.silence_endpoint()
            await call

        world = run_scenario(seed, scenario)
        assert world.doubled == []
        assert world.answers[-1].may_have_run

    def test_submitted_again_in_the_other_zone(self, seed: int) -> None:
        """The caller disconnects after the start timed out, and submits the job elsewhere."""

        async def scenario(world: LateOrderWorld) -> None:
            first, second = (world.boxes_in(zone)[1] for zone in ZONES)
            leave_ms = _UNANSWERED_S * 1_000
            await world.call(first, _JOB, 1, _TASK_MS, leave_ms)
            await asyncio.sleep(_RESUBMIT_AFTER_S)
            await world.call(second, _JOB, 1, _TASK_MS, _NEVER_MS)

        world = run_scenario(seed, scenario)
        assert world.doubled == []
        assert world.answers[-1].is_completed
