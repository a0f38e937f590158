# SPDX-License-Identifier: MIT
"""A task on two endpoints: no endpoint had reported a birth when its start stayed unanswered.

The endpoint's next incarnation is the first of its service to report its birth. It executes the
start order before the task's owner has discovered it. Simulated zones.
"""

from __future__ import annotations

import asyncio

import pytest

from models.late_orders import JOB, NEVER_MS, TASK_MS, UNANSWERED_S, LateOrderWorld, run_scenario
from models.zones_world import ZONES


@pytest.mark.parametrize("seed", range(8))
class TestFirstBirth:
    """The start order is executed before, or the task moves after, the first reported birth."""

    def test_silent_endpoint(self, seed: int) -> None:
        """The endpoint is silent until its next incarnation begins, maybe too late for the job."""

        async def scenario(world: LateOrderWorld) -> None:
            box = world.boxes_in(ZONES[0])[1]
            call = asyncio.create_task(world.call(box, JOB, 1, TASK_MS, NEVER_MS))
            await world.ordered.wait()
            world.silence_endpoint()
            await call

        world = run_scenario(seed, scenario, are_births_known=False)
        assert world.doubled == []
        assert world.answers[-1].is_completed or world.answers[-1].may_have_run

    def test_submitted_again_in_the_other_zone(self, seed: int) -> None:
        """The caller disconnects before any birth is reported, and submits the job elsewhere."""
        world = run_scenario(
            seed, lambda world: world.submit_twice(UNANSWERED_S), are_births_known=False
        )
        assert world.doubled == []
        assert world.answers[-1].is_completed

    def test_submitted_again_after_the_first_birth(self, seed: int) -> None:
        """An endpoint of the other zone reports the first birth before the job is submitted there.

        The owner there knows that ids are reused, and must know of the unanswered start too.
        """

        async def scenario(world: LateOrderWorld) -> None:
            world.loop.call_later(UNANSWERED_S, world.report_birth, f"w-{ZONES[1]}0")
            await world.submit_twice(UNANSWERED_S)

        world = run_scenario(seed, scenario, are_births_known=False)
        assert world.doubled == []
        assert world.answers[-1].is_completed
