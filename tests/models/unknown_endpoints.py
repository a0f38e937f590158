# SPDX-License-Identifier: MIT
"""Simulated zones in which not all boxes hear in time of endpoints that restart under new ids."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from foldloom.seed_discovery.endpoints.calls import CallOutcome, CallReply, StartOrder
from models.replaced_endpoints import ReplacedEndpointsWorld
from models.settled_zones import NEVER_MS, run_in_settled_zones
from models.virtual_time import PausableLoop, Waking
from models.zones_world import CONTROLLER, ZONES, Start

JOB = "c" * 16
# Longer than a session and a lease together, so that only a lapse or a stop ends the run early.
TASK_MS = 1_500.0
_CHECK_S = 0.005
# Until a box that has heard of new endpoints has polled them.
_POLLED_S = 0.1
# From the restart of all endpoints until the last poll of a previous one has ended.
_POLLS_ENDED_S = 0.45
# When the next owner hears of the new endpoints, after it can first decide on the run. The run's
# lease has expired by then, unless it is renewed.
_TOLD_LATE_S = 0.7
# A short job of the same box: an owner tells a box that a start has been answered together with the
# next notice, and the box binds the tasks of starts that may be unanswered.
_NEXT_JOB = "d" * 16
_NEXT_TASK_MS = 20.0
_SHORT_JOBS = 35


class UnknownEndpointsWorld(ReplacedEndpointsWorld):
    """Zones in which a run starts on an endpoint of which the zone's next owner has not heard.

    ``unknown_at_handover`` tells whether the next owner has not heard of the endpoint when it can
    first decide on the run.
    """

    def __init__(self, seed: int, loop: PausableLoop) -> None:
        super().__init__(seed, loop)
        self.unknown_at_handover = False
        self._started = asyncio.Event()

    @property
    def first_start(self) -> Start:
        """The first start of the job's task."""
        return self.starts[JOB][0]

    def start(self, name: str, order: StartOrder) -> CallReply:
        """Carry out a start order."""
        reply = super().start(name, order)
        if order.run_id.task.job_id == JOB and reply.outcome is CallOutcome.DONE:
            self._started.set()
        return reply

    # Scenarios.

    async def pause_two_owners(self, *, knows_one: bool) -> None:
        """Pause the owner and then the next one; the first one resumes and starts a run.

        It hears of the zone's new endpoints, and is cut off from all that know of the next owner.
        That one hears of one other endpoint, if *knows_one*, until it has been back for a while.
        """
        first, second = self.boxes_in(ZONES[0])
        self.pause_box(first, 0, 1.6, Waking.MESSAGES_FIRST)
        await self._until_owner(second)
        await asyncio.sleep(0.3)
        *started_on, other = self.replace_endpoints(ZONES[0])
        if knows_one:
            self.tell_boxes([other], [second])
        else:
            started_on.append(other)
        await asyncio.sleep(_POLLED_S)
        self.pause_box(second, 0, 1.6, Waking.MESSAGES_FIRST)
        self.conditions.cuts |= self._links_between(first, {CONTROLLER, *self.boxes} - {first})
        await self._until_resumed(first)
        assert self.boxes[first].elector.owner is not None
        self.tell_boxes(started_on, [first])
        await asyncio.sleep(_POLLED_S)
        call = await self._begin_job(first)
        await self._until_resumed(second)
        self.conditions.cuts.clear()
        self._note_unknown(second)
        self.tell_late(started_on, [second], _TOLD_LATE_S)
        if knows_one:
            await self._submit_short_jobs(second)
        await call

    async def cut_owners(self) -> None:
        """Cut off the owner, and the next one from the controllers, while endpoints restart.

        Nothing is paused. The first owner hears of the new endpoints and starts a run for its own
        box; the next one hears of them some time after the cuts have ended.
        """
        first, second = self.boxes_in(ZONES[0])
        others = {CONTROLLER, *self.boxes} - {first}
        self.conditions.cuts |= self._links_between(first, others)
        records = self.replace_endpoints(ZONES[0])
        self.tell_boxes(records, [first])
        await self._until_owner(second)
        self.conditions.cuts |= self._links_between(second, {CONTROLLER})
        call = await self._begin_job(first)
        self._note_unknown(second)
        self.conditions.cuts.clear()
        self.tell_late(records, [second], _TOLD_LATE_S)
        await call

    async def kill_owner(self, after_s: float) -> None:
        """Kill the owner soon after a start on an endpoint of which it alone has heard.

        The owner is killed *after_s* after its box has been told that the start was answered.
        """
        first, second = self.boxes_in(ZONES[0])
        records = self.replace_endpoints(ZONES[0])
        self.tell_boxes(records, [first])
        await asyncio.sleep(_POLLS_ENDED_S)
        call = await self._begin_job(second)
        await asyncio.sleep(after_s)
        self.kill_box(first)
        await self._until_owner(second)
        self._note_unknown(second)
        self.tell_late(records, [second], _TOLD_LATE_S)
        await call

    async def _begin_job(self, box: str) -> asyncio.Task[None]:
        """Submit the job at *box*; return its call once the box knows that its run has started."""
        call = asyncio.create_task(self.call(box, JOB, 1, TASK_MS, NEVER_MS))
        await self._started.wait()
        await self.call(box, _NEXT_JOB, 1, _NEXT_TASK_MS, NEVER_MS)
        return call

    async def _submit_short_jobs(self, box: str) -> None:
        """Submit short jobs at *box*, whose ends are reported at once by the endpoint polled."""
        calls = []
        for number in range(_SHORT_JOBS):
            job_id = f"{number:016x}"
            calls.append(asyncio.create_task(self.call(box, job_id, 1, _NEXT_TASK_MS, NEVER_MS)))
            await asyncio.sleep(_TOLD_LATE_S / _SHORT_JOBS)
        await asyncio.gather(*calls)

    def _note_unknown(self, box: str) -> None:
        """Record whether the owner on *box* has not heard of the endpoint of the first start."""
        owner = self.boxes[box].elector.owner
        assert owner is not None
        self.unknown_at_handover = self.first_start.endpoint not in owner.state.candidates

    def _links_between(self, box: str, others: set[str]) -> set[tuple[str, str]]:
        return {(box, other) for other in others} | {(other, box) for other in others}

    async def _until_owner(self, box: str) -> None:
        while self.boxes[box].elector.owner is None:
            await asyncio.sleep(_CHECK_S)

    async def _until_resumed(self, box: str) -> None:
        while self.is_paused(box):
            await asyncio.sleep(_CHECK_S)


def run_scenario(
    seed: int, scenario: Callable[[UnknownEndpointsWorld], Coroutine[Any, Any, None]]
) -> UnknownEndpointsWorld:
    """Play *scenario* in settled zones, whose endpoints report births."""
    return run_in_settled_zones(UnknownEndpointsWorld, seed, scenario, are_births_known=True)
