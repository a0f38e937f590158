# SPDX-License-Identifier: MIT
"""Random faults of zones whose endpoints restart under new ids while owners are paused in turn.

Jobs and faults have generators of their own, so that each seed has the same ones for any code.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from foldloom.clock import monotonic_ms
from foldloom.seed_discovery.jobs.spec import RunId
from foldloom.seed_discovery.owners.messages import EndCause, RunEnd, RunsEnded
from models.replaced_endpoints import ReplacedEndpointsWorld
from models.standing_boxes import Envelope
from models.virtual_time import PausableLoop, Waking, run_in_virtual_time
from models.zones_faults import FAULT_DURATION_S, TROUBLE_S, Faults
from models.zones_world import ZONES, ZonesWorld

# The zones have room left, so that a run that is taken for lost starts again at once.
_JOBS_PER_S = 14.0
_FAULT_COUNT = 6
# Seconds until zones have owners, and until all jobs have ended after the last fault.
_SETTLE_S = 1.0
_COOLDOWN_S = 5.0
# Pause of an owner, longer than the silence after which it is replaced.
_FIRST_PAUSE_S = (1.0, 2.0)
# From that pause to the one of the next owner, which goes on when the first one has resumed.
_BETWEEN_PAUSES_S = (0.5, 1.0)
_REPLACED_BEFORE_MAX_S = 0.2
_LONGER_BY_S = (0.05, 1.0)
# A box hears of a new endpoint at once or late, with equal probability.
_RECORD_DELAY_S = ((0.0, 0.1), (0.1, 3.0))
_KILLED_S = (0.05, 0.8)
_CALLBACKS_MAX = 30


class CheckedEndsWorld(ReplacedEndpointsWorld):
    """Zones in which an owner must not tell a box that a run is lost while an endpoint runs it.

    Attributes:
        false_ends: The runs of which an owner told so all the same.
    """

    def __init__(self, seed: int, loop: PausableLoop) -> None:
        super().__init__(seed, loop)
        self.seed = seed
        self.false_ends: list[RunId] = []

    def carry_envelope(self, envelope: Envelope, box: str) -> None:
        """Deliver an envelope, and check the ends in it."""
        for frame in envelope.frames:
            if isinstance(frame.message, RunsEnded):
                self.false_ends += [end.run_id for end in frame.message.ends if self._is_false(end)]
        super().carry_envelope(envelope, box)

    def _is_false(self, end: RunEnd) -> bool:
        if end.cause is not EndCause.LOST:
            return False
        task, attempt = end.run_id
        for endpoint in self.endpoints.values():
            endpoint.lapse(monotonic_ms())
        return any(endpoint.active.get(task) == attempt for endpoint in self.endpoints.values())


class ReplacedFaults(Faults):
    """Pauses of owners in turn, restarts of endpoints under new ids, late records, and kills."""

    def __init__(self, world: CheckedEndsWorld) -> None:
        super().__init__(world)
        self._world = world
        self._rng = random.Random(f"faults {world.seed}")
        self.kinds = [
            self._pause_in_turn,
            self._pause_in_turn,
            self._pause_in_turn,
            self._pause_in_turn,
            self._replace_one,
            self._replace_zone,
            self._kill_owner,
            self._kill_any,
            self._cut_box,
        ]

    async def run(self) -> None:
        """Inject overlapping faults at random intervals."""
        plan = random.Random(f"plan {self._world.seed}")
        for number in range(_FAULT_COUNT):
            await asyncio.sleep(plan.uniform(0.0, 2 * TROUBLE_S / _FAULT_COUNT))
            # How many numbers a fault draws depends on the owners at the time.
            self._rng = random.Random(f"fault {self._world.seed} {number}")
            plan.choice(self.kinds)()

    def later(self, undo: Callable[[], None]) -> None:
        """Call *undo* after a random fault duration."""
        self._world.loop.call_later(self._rng.uniform(*FAULT_DURATION_S), undo)

    def _any_box(self) -> str:
        return self._rng.choice(sorted(self._world.boxes))

    def _pause_in_turn(self) -> None:
        """Pause an owner and, a while later, the next one; the endpoints may restart between."""
        rng = self._rng
        zone = rng.choice(ZONES)
        first_s, between_s = rng.uniform(*_FIRST_PAUSE_S), rng.uniform(*_BETWEEN_PAUSES_S)
        self._pause_owners(zone, first_s)
        if rng.random() < 0.7:
            replaced_s = between_s - rng.uniform(0.0, _REPLACED_BEFORE_MAX_S)
            self._world.loop.call_later(replaced_s, lambda: self._replace(self._names(zone)))
        next_s = max(0.0, first_s - between_s) + rng.uniform(*_LONGER_BY_S)
        self._world.loop.call_later(between_s, self._pause_owners, zone, next_s)

    def _pause_owners(self, zone: str, for_s: float) -> None:
        rng = self._rng
        for name in self._owners(zone):
            if not self._world.is_paused(name):
                waking = rng.choice(list(Waking))
                self._world.pause_box(name, rng.randint(0, _CALLBACKS_MAX), for_s, waking)

    def _replace_one(self) -> None:
        rng = self._rng
        self._replace([rng.choice(self._names(rng.choice(ZONES)))])

    def _replace_zone(self) -> None:
        self._replace(self._names(self._rng.choice(ZONES)))

    def _replace(self, names: list[str]) -> None:
        """Restart endpoints under new ids, of which each box hears after a delay of its own."""
        rng = self._rng
        present = {record.endpoint for record in self._world.records}
        records = [self._world.replace_endpoint(name) for name in names if name in present]
        for box in self._world.boxes:
            self._world.tell_late(records, [box], rng.uniform(*rng.choice(_RECORD_DELAY_S)))

    def _kill_owner(self) -> None:
        rng = self._rng
        self._kill(rng.choice(self._owners(rng.choice(ZONES)) or [self._any_box()]))

    def _kill_any(self) -> None:
        self._kill(self._any_box())

    def _kill(self, box: str) -> None:
        self._world.kill_box(box)
        killed_s = self._rng.uniform(*_KILLED_S)
        self._world.loop.call_later(killed_s, self._world.start_box, box)

    def _names(self, zone: str) -> list[str]:
        return [record.endpoint for record in self._world.records if record.zone == zone]

    def _owners(self, zone: str) -> list[str]:
        return [
            name
            for name, box in self._world.boxes.items()
            if box.zone == zone and box.elector.owner is not None
        ]


async def _submit_once(world: ZonesWorld, rng: random.Random, job_id: str) -> None:
    """Submit one job, and wait for its answer."""
    task_ms = rng.choice([20.0, 20.0, 400.0, 800.0, 1_200.0])
    await world.call(rng.choice(sorted(world.boxes)), job_id, 1, task_ms, 1e5)


async def _submit_jobs(world: CheckedEndsWorld) -> None:
    calls = []
    intervals = random.Random(f"jobs {world.seed}")
    end_s = world.loop.time() + TROUBLE_S
    while world.loop.time() < end_s:
        await asyncio.sleep(intervals.expovariate(_JOBS_PER_S))
        job_id = f"{len(calls) + 1:016x}"
        rng = random.Random(f"job {world.seed} {job_id}")
        calls.append(asyncio.create_task(_submit_once(world, rng, job_id)))
    await asyncio.gather(*calls)


def run_with_faults(seed: int) -> CheckedEndsWorld:
    """Play jobs, each submitted once, and random faults; the endpoints report births."""
    loop = PausableLoop(random.Random(f"turns {seed}"))
    random.seed(seed)

    async def play() -> CheckedEndsWorld:
        world = CheckedEndsWorld(seed, loop)
        await asyncio.sleep(_SETTLE_S)
        world.report_births()
        await asyncio.sleep(_SETTLE_S)
        faults = asyncio.create_task(ReplacedFaults(world).run())
        await _submit_jobs(world)
        await faults
        await asyncio.sleep(_COOLDOWN_S)
        return world

    world: CheckedEndsWorld = run_in_virtual_time(play(), loop)
    return world
