# SPDX-License-Identifier: MIT
"""A task on two endpoints: its start order was in flight when its owner or caller went away.

The call had not timed out, so no unanswered start was recorded or reported. The endpoint restarts
under its id and executes the order before the task's next owner has discovered the new incarnation.
Simulated zones.
"""

from __future__ import annotations

import asyncio

import pytest

from models.late_orders import LateOrderWorld, run_scenario
from models.zones_world import ZONES

_JOB = "c" * 16
_TASK_MS = 400.0
# Times after the start order; the call times out after 250 ms.
_IN_FLIGHT_S = [0.002, 0.1]
_UNREPORTED_S = 0.3
# Time by which the start order is sent after the submission.
_UNTIL_ORDER_S = 0.005
_RESUBMIT_AFTER_S = 0.02
_NEVER_MS = 1e5


@pytest.mark.parametrize("in_flight_s", _IN_FLIGHT_S)
@pytest.mark.parametrize("seed", range(8))
class TestOrderInFlight:
    """The order is sent, and its call has neither an answer nor timed out."""

    def test_killed_owner(self, seed: int, in_flight_s: float) -> None:
        """The owner is killed, and the endpoint is silent until its next incarnation begins."""

        async def scenario(world: LateOrderWorld) -> None:
            owner, other = world.boxes_in(ZONES[0])
            call = asyncio.create_task(world.call(other, _JOB, 1, _TASK_MS, _NEVER_MS))
            await world.ordered.wait()
            await asyncio.sleep(in_flight_s)
            world.kill_box(owner)
            world.silence_endpoint()
            await call

        world = run_scenario(seed, scenario)
        assert world.doubled == []
        assert world.answers[-1].is_completed or world.answers[-1].may_have_run

    def test_submitted_again_in_the_other_zone(self, seed: int, in_flight_s: float) -> None:
        """The caller disconnects and submits the job elsewhere."""

        async def scenario(world: LateOrderWorld) -> None:
            first, second = (world.boxes_in(zone)[1] for zone in ZONES)
            leave_ms = (_UNTIL_ORDER_S + in_flight_s) * 1_000
            await world.call(first, _JOB, 1, _TASK_MS, leave_ms)
            assert world.ordered.is_set()
            await asyncio.sleep(_RESUBMIT_AFTER_S)
            await world.call(second, _JOB, 1, _TASK_MS, _NEVER_MS)

        world = run_scenario(seed, scenario)
        assert world.doubled == []


@pytest.mark.parametrize("seed", range(8))
class TestUnreportedStart:
    """The report of an unanswered start reaches no box."""

    def test_killed_owner(self, seed: int) -> None:
        """The owner is cut off while the call is in flight, and killed after it timed out."""

        async def scenario(world: LateOrderWorld) -> None:
            owner, other = world.boxes_in(ZONES[0])
            call = asyncio.create_task(world.call(other, _JOB, 1, _TASK_MS, _NEVER_MS))
            await world.ordered.wait()
            await asyncio.sleep(_IN_FLIGHT_S[1])
            world.conditions.cuts |= {(owner, box) for box in [*world.boxes, "c1"] if box != owner}
            await asyncio.sleep(_UNREPORTED_S - _IN_FLIGHT_S[1])
            world.kill_box(owner)
            world.silence_endpoint()
            await call

        world = run_scenario(seed, scenario)
        assert world.doubled == []
        assert world.answers[-1].is_completed or world.answers[-1].may_have_run
