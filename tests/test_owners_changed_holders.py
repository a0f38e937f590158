# SPDX-License-Identifier: MIT
"""A task on two endpoints: who knew of its start in flight had left, joined late or restarted.

The endpoint restarts under its id and executes the order while the task runs elsewhere. Simulated
zones.
"""

from __future__ import annotations

import asyncio

import pytest

from models import zones_world
from models.late_orders import (
    JOB,
    RESUBMIT_AFTER_S,
    TASK_MS,
    UNANSWERED_S,
    LateOrderWorld,
    run_scenario,
)
from models.settled_zones import NEVER_MS, SettledZonesWorld, run_in_settled_zones
from models.zones_world import ZONES

_SEEDS = range(4)
# From the start order to the second submission, and from there until the first caller leaves.
_JOIN_AFTER_S, _LEAVE_MS = 0.01, 40.0
# Until a cancel is answered.
_CANCELLED_S = 0.02
# Until a zone has a new owner, and until it has sessions with all boxes.
_NEW_OWNER_S, _SESSIONS_S = 1.0, 0.5
_LONG_TASK_MS = 900.0


@pytest.mark.parametrize("are_births_known", [False, True])
@pytest.mark.parametrize("seed", _SEEDS)
class TestJoinedHolder:
    """Another box submits the job while its start is in flight; then the first caller leaves."""

    def test_third_box(
        self, seed: int, are_births_known: bool, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Its owner is killed, and the job's new box must know of the order."""
        monkeypatch.setattr(zones_world, "BOXES_PER_ZONE", 3)

        async def scenario(world: LateOrderWorld) -> None:
            owner, first, second = world.all_boxes_in(ZONES[0])
            await _join(world, owner, first, second)
            if not world.answers[-1].is_completed:
                await world.call(second, JOB, 1, TASK_MS, NEVER_MS)

        assert run_scenario(seed, scenario, are_births_known).doubled == []

    def test_box_of_the_owner(self, seed: int, are_births_known: bool) -> None:
        """The box that joined is the owner's, which is killed, and the first one gets the job."""

        async def scenario(world: LateOrderWorld) -> None:
            owner, other = world.boxes_in(ZONES[0])
            await _join(world, owner, other, owner)
            await world.call(other, JOB, 1, TASK_MS, NEVER_MS)

        assert run_scenario(seed, scenario, are_births_known).doubled == []


async def _join(world: LateOrderWorld, owner: str, first: str, second: str) -> None:
    call = asyncio.create_task(world.call(first, JOB, 1, TASK_MS, _LEAVE_MS))
    await world.ordered.wait()
    await asyncio.sleep(_JOIN_AFTER_S)
    again = asyncio.create_task(world.call(second, JOB, 1, TASK_MS, NEVER_MS))
    await call
    await asyncio.sleep(_CANCELLED_S)
    world.kill_box(owner)
    world.silence_endpoint()
    await again
    await asyncio.sleep(RESUBMIT_AFTER_S)


@pytest.mark.parametrize("are_births_known", [False, True])
@pytest.mark.parametrize("seed", _SEEDS)
class TestNewOwner:
    """The next owner of the zone must learn the bindings that only boxes hold."""

    def test_restarted_box(self, seed: int, are_births_known: bool) -> None:
        """A box of the other zone restarts after the owner was lost, and gets the job."""

        async def scenario(world: LateOrderWorld) -> None:
            owner, other = world.boxes_in(ZONES[0])
            second = world.boxes_in(ZONES[1])[1]
            call = asyncio.create_task(world.call(other, JOB, 1, TASK_MS, UNANSWERED_S * 1_000))
            await world.ordered.wait()
            await asyncio.sleep(_CANCELLED_S)
            world.kill_box(owner)
            world.deafen_endpoint()
            await call
            await asyncio.sleep(_NEW_OWNER_S)
            world.start_box(second)
            await asyncio.sleep(_SESSIONS_S)
            await world.call(second, JOB, 1, TASK_MS, NEVER_MS)

        assert run_scenario(seed, scenario, are_births_known).doubled == []

    def test_zones_cut_off(self, seed: int, are_births_known: bool) -> None:
        """The binding was reported while the zones were cut off from each other."""

        async def scenario(world: LateOrderWorld) -> None:
            owner, other = world.boxes_in(ZONES[0])
            second = world.boxes_in(ZONES[1])[1]
            call = asyncio.create_task(world.call(other, JOB, 1, TASK_MS, _LEAVE_MS))
            await world.ordered.wait()
            cuts = world.cuts_between_zones()
            world.conditions.cuts |= cuts
            await call
            await asyncio.sleep(UNANSWERED_S)
            world.kill_box(owner)
            world.deafen_endpoint()
            await asyncio.sleep(_NEW_OWNER_S)
            world.conditions.cuts -= cuts
            await asyncio.sleep(_SESSIONS_S)
            await world.call(second, JOB, 1, TASK_MS, NEVER_MS)

        assert run_scenario(seed, scenario, are_births_known).doubled == []

    def test_running_task(self, seed: int, are_births_known: bool) -> None:
        """A task whose start was answered runs on: it is not stopped as one in flight."""

        async def scenario(world: SettledZonesWorld) -> None:
            owner, other = world.boxes_in(ZONES[0])
            call = asyncio.create_task(world.call(other, JOB, 1, _LONG_TASK_MS, NEVER_MS))
            await asyncio.sleep(UNANSWERED_S)
            world.kill_box(owner)
            await call

        world = run_in_settled_zones(SettledZonesWorld, seed, scenario, are_births_known)
        assert world.answers[-1].is_completed
        assert len(world.starts[JOB]) == 1
