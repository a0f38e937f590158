# SPDX-License-Identifier: MIT
"""Simulated zones that lose several boxes one after the other, owners among them.

Each box of the first zone holds one long run. Checked is the bound of
:mod:`foldloom.seed_discovery.owners.grant`: by how late after a lost box's last acknowledgement its
run is on no endpoint any more.
"""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import NamedTuple

from foldloom.clock import monotonic_ms
from foldloom.seed_discovery.endpoints.calls import CallOutcome, CallReply
from foldloom.seed_discovery.endpoints.records import EndpointRecord
from foldloom.seed_discovery.fleet.messages import HeartbeatAck, OwnerHeartbeat
from foldloom.seed_discovery.jobs.spec import Job, RunId, TaskId
from foldloom.seed_discovery.owners.grant import grant_timeout_ms
from foldloom.settings import TimingSettings
from models.settled_zones import NEVER_MS, SettledZonesWorld, run_in_settled_zones
from models.standing_boxes import DetachedCalls, Envelope
from models.virtual_time import PausableLoop
from models.zones_world import CONTROLLER, ZONES

BOUND_MS = grant_timeout_ms(TimingSettings())
# Longer than four elections and bounds.
_TASK_MS = 9_000.0
_STARTED_S = 0.3
_RESTART_AFTER_S = 0.05
_CALL_TIMEOUT_S = 0.25
_SETTLED_S = 1.5


class LossKind(Enum):
    """How a zone loses a box."""

    OWNER = "owner"
    """The owner is killed, or the box that owned the zone last."""
    OTHER = "other"
    """Another box is killed."""
    RESTART = "restart"
    """Another box is killed and starts again at once."""
    CUT = "cut"
    """Another box is cut off from all boxes. It counts its run as lost after the same time."""
    HANDOVER = "handover"
    """The owner hands the zone over in a planned stop, and goes on as a holder."""


class Loss(NamedTuple):
    """The loss of a box ``after_ms`` after the previous one."""

    kind: LossKind
    after_ms: float


class Overrun(NamedTuple):
    """A run that was on an endpoint beyond the bound of its box, which was lost."""

    box: str
    endpoint: str
    task: TaskId


class _StopLosingCalls(DetachedCalls):
    """Calls whose stop orders stay unanswered, and have no effect, while the world says so."""

    async def stop_run(self, endpoint: EndpointRecord, run_id: RunId, token: int) -> CallReply:
        """Stop a run, unless the order is lost."""
        world = self._standing_world
        assert isinstance(world, LostHoldersWorld)
        if world.rng.random() >= world.lost_stops:
            return await super().stop_run(endpoint, run_id, token)
        await asyncio.sleep(_CALL_TIMEOUT_S)
        return CallReply(CallOutcome.UNKNOWN)


class LostHoldersWorld(SettledZonesWorld):
    """Zones in which boxes are lost; ``lost_stops`` is the share of stop orders that are lost."""

    lost_stops = 0.0

    def __init__(self, seed: int, loop: PausableLoop) -> None:
        self.overruns: list[Overrun] = []
        self._last_sign_ms: dict[str, float] = {}
        self._lost: set[str] = set()
        self._box_of_job: dict[str, str] = {}
        self._last_owner = ""
        super().__init__(seed, loop)

    @property
    def restarted_neighbours(self) -> int:
        """The number of runs of boxes that are not lost that ended early and started again."""
        return sum(
            len(self.starts.get(job_id, [])) - 1
            for job_id, box in self._box_of_job.items()
            if box not in self._lost and job_id in self.starts
        )

    def make_calls(self, box: str) -> DetachedCalls:
        """Return the calls to endpoints of the current life of *box*."""
        return _StopLosingCalls(self, box)

    def plan_job(self, job_id: str, tasks: int, task_ms: float) -> tuple[Job, float]:
        """Return a job, and a timeout that no scenario reaches."""
        job, _ = super().plan_job(job_id, tasks, task_ms)
        return job, NEVER_MS

    def carry_envelope(self, envelope: Envelope, box: str) -> None:
        """Deliver an envelope, and record what shows that its sender is alive."""
        for frame in envelope.frames:
            if isinstance(frame.message, HeartbeatAck):
                self._note_sign(envelope.sender, frame.message.heartbeat_sent_ms)
            elif isinstance(frame.message, OwnerHeartbeat):
                self._note_sign(envelope.sender, frame.message.sent_ms)
        super().carry_envelope(envelope, box)

    def _note_sign(self, box: str, at_ms: float) -> None:
        if box not in self._lost:
            self._last_sign_ms[box] = max(at_ms, self._last_sign_ms.get(box, 0.0))

    async def lose_boxes(self, losses: list[Loss]) -> None:
        """Have each box of the zone hold a run, lose boxes, and wait until the bounds have passed.

        Boxes that are lost don't return as holders: their callers have left.
        """
        names = self.all_boxes_in(ZONES[0])
        self.conditions.cuts |= self.cuts_between_zones()
        for number, box in enumerate(names):
            job_id = f"{number:016x}"
            self._box_of_job[job_id] = box
            self._outer_context.run(
                asyncio.ensure_future, self.call(box, job_id, 1, _TASK_MS, NEVER_MS)
            )
        await asyncio.sleep(_STARTED_S)
        assert len(self.starts) == len(names)
        self._last_owner = names[0]
        for loss in losses:
            await asyncio.sleep(loss.after_ms / 1_000)
            self._lose_box(loss.kind)
        await asyncio.sleep(BOUND_MS / 1_000 + _SETTLED_S)

    def _lose_box(self, kind: LossKind) -> None:
        alive = [name for name in self.all_boxes_in(ZONES[0]) if self._is_alive(name)]
        owner = next((name for name in alive if self._owns(name)), "")
        self._last_owner = owner or self._last_owner
        if kind is LossKind.HANDOVER and owner:
            elector = self.boxes[owner].elector
            self.turns.deliver(self.context_of(owner), elector.resign)
            return
        box = self._last_owner
        if kind is not LossKind.OWNER or not self._is_alive(box):
            others = [name for name in alive if name != owner]
            if not others:
                return
            box = self.rng.choice(others)
        self._lost.add(box)
        if kind is LossKind.CUT:
            others = {CONTROLLER, *self.boxes} - {box}
            self.conditions.cuts |= {(box, one) for one in others} | {(one, box) for one in others}
        else:
            self.kill_box(box)
        due_ms = self._last_sign_ms[box] + BOUND_MS - monotonic_ms()
        self._call_later(max(0.0, due_ms) / 1_000, lambda: self._check_bound(box))
        if kind is LossKind.RESTART:
            self._call_later(_RESTART_AFTER_S, lambda: self.start_box(box))

    def _check_bound(self, box: str) -> None:
        """Record the runs of *box* that are on an endpoint, unless another box wants them too."""
        for endpoint in self.endpoints.values():
            endpoint.lapse(monotonic_ms())
            self.overruns += [
                Overrun(box, endpoint.name, task)
                for task in endpoint.active
                if self._box_of_job[task.job_id] == box
            ]

    def _is_alive(self, box: str) -> bool:
        return self.boxes[box].network.is_alive

    def _owns(self, box: str) -> bool:
        return self.boxes[box].elector.owner is not None


def run_scenario(seed: int, losses: list[Loss], lost_stops: float = 0.0) -> LostHoldersWorld:
    """Play the scenario in settled zones."""

    async def play(world: LostHoldersWorld) -> None:
        world.lost_stops = lost_stops
        await world.lose_boxes(losses)

    return run_in_settled_zones(LostHoldersWorld, seed, play, are_births_known=False)
