# SPDX-License-Identifier: MIT
"""Random faults and callers of simulated zones, drawn from the world's generator."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from models.zones_world import ZONES, ZonesWorld

TROUBLE_S = 4.0
_JOBS_PER_S = 45.0
FAULT_COUNT = 8
_DISCONNECT_SHARE = 0.05
# Seconds before a caller resubmits a job at another box.
RESUBMIT_ELSEWHERE_S = 1.3
# Range of a fault's duration, in seconds.
FAULT_DURATION_S = (0.05, 1.5)
# Seconds until zones have owners, and until all jobs have ended after the last fault.
_SETTLE_S = 1.0
_COOLDOWN_S = 4.0

World = TypeVar("World", bound=ZonesWorld)

Caller = Callable[[ZonesWorld, str], Coroutine[Any, Any, None]]
"""Submits a job under an id."""


class Faults:
    """Random faults, drawn from the world's generator."""

    def __init__(self, world: ZonesWorld) -> None:
        self.world = world
        self.kinds: list[Callable[[], None]] = [
            self._cut_box,
            self._cut_box_one_way,
            self._cut_zones,
            self._restart,
            self._pause_all,
            self._drop_messages,
            self._delay,
            self._late_orders,
            self._cut_endpoint,
            self._fence,
        ]

    async def run(self) -> None:
        """Inject overlapping faults at random intervals."""
        rng = self.world.rng
        for _ in range(FAULT_COUNT):
            await asyncio.sleep(rng.uniform(0.0, 2 * TROUBLE_S / FAULT_COUNT))
            rng.choice(self.kinds)()

    def later(self, undo: Callable[[], None]) -> None:
        """Call *undo* after a random fault duration."""
        self.world.loop.call_later(self.world.rng.uniform(*FAULT_DURATION_S), undo)

    def _cut(self, pairs: set[tuple[str, str]]) -> None:
        cuts = self.world.conditions.cuts
        cuts |= pairs
        self.later(lambda: cuts.difference_update(pairs))

    def _any_box(self) -> str:
        return self.world.rng.choice(sorted(self.world.boxes))

    def _cut_box(self) -> None:
        box = self._any_box()
        others = [other for other in [*self.world.boxes, "c1"] if other != box]
        self._cut({(box, other) for other in others} | {(other, box) for other in others})

    def _cut_box_one_way(self) -> None:
        box = self._any_box()
        others = [other for other in [*self.world.boxes, "c1"] if other != box]
        self._cut({(other, box) for other in others})

    def _cut_zones(self) -> None:
        first, second = (
            [box for box, one in self.world.boxes.items() if one.zone == zone] for zone in ZONES
        )
        self._cut({(one, other) for one in first for other in second})
        self._cut({(other, one) for one in first for other in second})

    def _cut_endpoint(self) -> None:
        endpoint = self.world.rng.choice(sorted(self.world.endpoints))
        self._cut({(box, endpoint) for box in self.world.boxes})

    def _restart(self) -> None:
        box = self._any_box()
        self.world.boxes[box].kill()
        pause_s = self.world.rng.uniform(0.02, 0.6)
        self.world.loop.call_later(pause_s, self.world.start_box, box)

    def _pause_all(self) -> None:
        self.world.loop.jump_clock(self.world.rng.uniform(0.2, 1.2))

    def _drop_messages(self) -> None:
        self.world.conditions.loss = self.world.rng.uniform(0.05, 0.5)
        self.later(lambda: setattr(self.world.conditions, "loss", 0.0))

    def _delay(self) -> None:
        self.world.conditions.delay_max_ms = self.world.rng.uniform(20.0, 300.0)
        self.later(lambda: setattr(self.world.conditions, "delay_max_ms", 1.0))

    def _late_orders(self) -> None:
        self.world.conditions.late_orders = self.world.rng.uniform(0.1, 0.6)
        self.later(lambda: setattr(self.world.conditions, "late_orders", 0.0))

    def _fence(self) -> None:
        owners = self.world.owners()
        if owners:
            self.world.rng.choice(owners).elector.note_fenced("some-endpoint")


async def run_simulation(
    world: World, faults_of: Callable[[World], Faults], caller: Caller
) -> None:
    """Let *world* settle, submit jobs while faults are injected, and wait until all have ended."""
    await asyncio.sleep(_SETTLE_S)
    trouble = asyncio.create_task(faults_of(world).run())
    await submit_jobs(world, caller)
    await trouble
    await asyncio.sleep(_COOLDOWN_S)


async def submit_jobs(world: ZonesWorld, caller: Caller) -> None:
    """Submit jobs at random intervals for ``TROUBLE_S`` seconds and wait for the callers."""
    calls = []
    end_s = world.loop.time() + TROUBLE_S
    number = 0
    while world.loop.time() < end_s:
        await asyncio.sleep(world.rng.expovariate(_JOBS_PER_S))
        number += 1
        calls.append(asyncio.create_task(caller(world, f"{number:016x}")))
    await asyncio.gather(*calls)


async def default_caller(world: ZonesWorld, job_id: str) -> None:
    """Submit one job; some callers disconnect early and resubmit it."""
    rng = world.rng
    box = rng.choice(sorted(world.boxes))
    tasks = rng.choice([1, 2, 2, 4, 8])
    task_ms = rng.choice([60.0, 100.0, 200.0, 400.0])
    disconnects = rng.random() < _DISCONNECT_SHARE
    await world.call(box, job_id, tasks, task_ms, rng.uniform(20.0, 600.0) if disconnects else 1e5)
    if not disconnects:
        return
    if rng.random() < 0.5:
        await asyncio.sleep(rng.choice([0.0, 0.05, 0.3]))
    else:
        # At another box the job could run twice until the first box's grants have expired.
        await asyncio.sleep(RESUBMIT_ELSEWHERE_S)
        box = rng.choice(sorted(world.boxes))
    await world.call(box, job_id, tasks, task_ms, 1e5)
