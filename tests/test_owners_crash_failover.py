# SPDX-License-Identifier: MIT
"""A task that crashes its endpoints while owners change: each owner counted its crashes anew.

Guards against crashes beyond the limit, which end the runs of other jobs too. Simulated zones.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

import pytest

from foldloom.seed_discovery.endpoints.calls import CallReply, StartOrder
from foldloom.seed_discovery.job_runner import JobState
from foldloom.seed_discovery.jobs.spec import TaskId
from foldloom.seed_discovery.scheduling.crashes import CrashCount
from models.standing_boxes import PausableZonesWorld
from models.virtual_time import PausableLoop, Waking, run_in_virtual_time
from models.zones_world import ZONES

_JOB = "c" * 16
_SETTLE_S = 1.0
_TASK_MS = 400.0
# From the start of the task to the crash, and from there to the endpoint's next incarnation.
_CRASH_AFTER_S, _DOWNTIME_S = 0.03, 0.1
# From the owner's count of the first crash to its pause: below a round trip between boxes.
_PAUSE_AFTER_S = 0.001
# Longer than the silence after which another box acquires the zone.
_PAUSE_S = 0.6
# Crash limit of a task that is the only one on its endpoint.
_CRASHES_MAX = 2
# The caller's delay before it submits the job again; above the delay of messages between boxes.
_RESUBMIT_AFTER_S = 0.01
# Until a restarted box has sessions with all owners.
_REJOINED_S = 0.3
_NEVER_MS = 1e5


class _CrashingWorld(PausableZonesWorld):
    """Zones whose endpoints crash soon after they start a task, and restart under their ids."""

    def __init__(self, seed: int, loop: PausableLoop) -> None:
        super().__init__(seed, loop)
        self.crashes = 0

    def start(self, name: str, order: StartOrder) -> CallReply:
        """Carry out a start order, and crash the endpoint afterwards."""
        reply = super().start(name, order)
        if order.run_id.task in self.endpoints[name].active:
            self._call_later(_CRASH_AFTER_S, lambda: self._crash(name))
        return reply

    def _crash(self, name: str) -> None:
        self.crashes += 1
        cuts = {(box, name) for box in self.boxes}
        self.conditions.cuts |= cuts
        self.endpoints[name].active.clear()

        def restart() -> None:
            self.conditions.cuts.difference_update(cuts)
            self.tell(self.restart_endpoint(name))

        self._call_later(_DOWNTIME_S, restart)

    def has_counted_crash(self, owner: str) -> bool:
        """Return whether the owner on a box has counted a crash of the task."""
        term = self.boxes[owner].elector.owner
        assert term is not None
        return term.state.crashes_of(TaskId(_JOB, 0, 0, 0)) > CrashCount()

    def boxes_in(self, zone: str) -> tuple[str, str]:
        """Return the owner of *zone* and its other box."""
        names = [name for name, box in self.boxes.items() if box.zone == zone]
        names.sort(key=lambda name: self.boxes[name].elector.owner is None)
        return names[0], names[1]


def _run(seed: int, scenario: Callable[[_CrashingWorld], Any]) -> _CrashingWorld:
    loop = PausableLoop(random.Random(seed))
    random.seed(seed)

    async def play() -> _CrashingWorld:
        world = _CrashingWorld(seed, loop)
        await asyncio.sleep(_SETTLE_S)
        await scenario(world)
        assert world.errors == []
        return world

    world: _CrashingWorld = run_in_virtual_time(play(), loop)
    return world


def _states(world: _CrashingWorld) -> list[JobState | None]:
    return [
        answer.result.ok.state if answer.result is not None and answer.result.is_ok() else None
        for answer in world.answers
    ]


@pytest.mark.parametrize("seed", range(8))
class TestCrashCountAcrossOwners:
    """The count is kept by the entry boxes, which pass it on with the task."""

    def test_new_owner(self, seed: int) -> None:
        """The zone's owner is paused between two crashes, and another box acquires the zone."""

        async def scenario(world: _CrashingWorld) -> None:
            owner, other = world.boxes_in(ZONES[0])
            call = asyncio.create_task(world.call(other, _JOB, 1, _TASK_MS, _NEVER_MS))
            while not world.has_counted_crash(owner):
                await asyncio.sleep(_PAUSE_AFTER_S)
            world.pause_box(owner, 0, _PAUSE_S, Waking.MIXED)
            await call
            assert world.boxes[other].elector.owner is not None

        world = _run(seed, scenario)
        assert world.crashes <= _CRASHES_MAX
        assert _states(world) == [JobState.FAILED]

    def test_other_zone(self, seed: int) -> None:
        """The failed job is submitted again in the other zone, where it crashes no endpoint."""

        async def scenario(world: _CrashingWorld) -> None:
            for zone in ZONES:
                await world.call(world.boxes_in(zone)[1], _JOB, 1, _TASK_MS, _NEVER_MS)
                await asyncio.sleep(_RESUBMIT_AFTER_S)

        world = _run(seed, scenario)
        assert world.crashes <= _CRASHES_MAX
        assert _states(world) == [JobState.FAILED, JobState.FAILED]

    def test_restarted_box(self, seed: int) -> None:
        """The box in the other zone was not there when the count was reported."""

        async def scenario(world: _CrashingWorld) -> None:
            first, second = (world.boxes_in(zone)[1] for zone in ZONES)
            await world.call(first, _JOB, 1, _TASK_MS, _NEVER_MS)
            world.start_box(second)
            await asyncio.sleep(_REJOINED_S)
            await world.call(second, _JOB, 1, _TASK_MS, _NEVER_MS)

        world = _run(seed, scenario)
        assert world.crashes <= _CRASHES_MAX
        assert _states(world) == [JobState.FAILED, JobState.FAILED]
