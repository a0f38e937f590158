# SPDX-License-Identifier: MIT
"""Simulated zones in which a job is submitted and cancelled before its start stays unanswered."""

from __future__ import annotations

import asyncio
import contextvars
from collections.abc import Callable

from foldloom.seed_discovery.endpoints.calls import CallReply, StartOrder
from foldloom.seed_discovery.jobs.spec import RunId
from foldloom.seed_discovery.owners.messages import Cancelled
from models.late_orders import JOB, RESUBMIT_AFTER_S, TASK_MS, LateOrderWorld
from models.settled_zones import NEVER_MS, SettledZonesWorld
from models.standing_boxes import Envelope
from models.virtual_time import PausableLoop
from models.zones_world import ZONES


class CancelledOnceWorld(LateOrderWorld):
    """The first start order is answered late, and the first one in the second zone never.

    The latter is executed by its endpoint's next incarnation, while the task runs elsewhere.
    """

    def __init__(self, seed: int, loop: PausableLoop) -> None:
        super().__init__(seed, loop)
        self.zone_of_late_order = ZONES[1]
        self.start_log: list[tuple[str, int, float]] = []

    def record_start_order(self, box: str, endpoint: str, run_id: RunId) -> None:
        """Record the endpoint of the first start order in the second zone."""
        SettledZonesWorld.record_start_order(self, box, endpoint, run_id)
        self.start_log.append((endpoint, run_id.attempt, self.loop.time()))
        is_late = endpoint.startswith(f"w-{self.zone_of_late_order}")
        if is_late and not self._first_endpoint:
            self._first_endpoint = endpoint
            self.ordered.set()

    async def submit_before(self, leave_after_s: float) -> None:
        """Submit the job in the first zone, and disconnect while its start is in flight."""
        first = self.boxes_in(ZONES[0])[1]
        await self.call(first, JOB, 1, TASK_MS, leave_after_s * 1_000)
        await asyncio.sleep(RESUBMIT_AFTER_S * 4)

    async def kill_second_owner(self, after_s: float, leave_after_s: float | None) -> None:
        """Submit the job in the second zone and kill the owner while its start is in flight."""
        if leave_after_s is not None:
            await self.submit_before(leave_after_s)
        owner, other = self.boxes_in(ZONES[1])
        call = asyncio.create_task(self.call(other, JOB, 1, TASK_MS, NEVER_MS))
        await self.ordered.wait()
        await asyncio.sleep(after_s)
        self.kill_box(owner)
        self.silence_endpoint()
        await call

    async def submit_thrice(self, second_leave_s: float, leave_after_s: float | None) -> None:
        """Submit the job in the second zone, disconnect, and submit it in the first zone."""
        if leave_after_s is not None:
            await self.submit_before(leave_after_s)
        first, second = (self.boxes_in(zone)[1] for zone in ZONES)
        await self.call(second, JOB, 1, TASK_MS, second_leave_s * 1_000)
        assert self.ordered.is_set()
        await asyncio.sleep(RESUBMIT_AFTER_S)
        await self.call(first, JOB, 1, TASK_MS, NEVER_MS)


class RepeatedZoneWorld(CancelledOnceWorld):
    """The same zone both times: the first start order is answered late, the next one never."""

    def __init__(self, seed: int, loop: PausableLoop) -> None:
        super().__init__(seed, loop)
        self.has_cancelled = False
        self._has_answered_late = False

    def record_start_order(self, box: str, endpoint: str, run_id: RunId) -> None:
        """Record the endpoint of the first start order after the cancel."""
        SettledZonesWorld.record_start_order(self, box, endpoint, run_id)
        self.start_log.append((endpoint, run_id.attempt, self.loop.time()))
        if self.has_cancelled and not self._first_endpoint:
            self._first_endpoint = endpoint
            self.ordered.set()

    def order(
        self,
        context: contextvars.Context,
        box: str,
        endpoint: str,
        carry_out: Callable[[], CallReply],
    ) -> asyncio.Future[CallReply]:
        """Execute the first order, and answer it late."""
        if self.has_cancelled or self._has_answered_late:
            return super().order(context, box, endpoint, carry_out)
        self._has_answered_late = True
        reply: asyncio.Future[CallReply] = self.loop.create_future()
        self._call_later(
            0.05, lambda: self._deliver_reply(context, box, endpoint, reply, carry_out())
        )
        return reply

    async def submit_again(
        self, wait_s: float, leave_after_s: float | None, replaces_owner: bool = False
    ) -> None:
        """Submit the job, disconnect, wait, and submit it again; kill the owner then.

        The owner may have been replaced in the meantime.
        """
        if leave_after_s is not None:
            await self.submit_before(leave_after_s)
        await asyncio.sleep(wait_s)
        if replaces_owner:
            owner = self.boxes_in(ZONES[0])[0]
            self.kill_box(owner)
            await asyncio.sleep(2.0)
            self.start_box(owner)
            await asyncio.sleep(1.0)
        self.has_cancelled = True
        owner, other = self.boxes_in(ZONES[0])
        call = asyncio.create_task(self.call(other, JOB, 1, TASK_MS, NEVER_MS))
        await self.ordered.wait()
        await asyncio.sleep(0.1)
        self.kill_box(owner)
        self.silence_endpoint()
        await call


class SlowAnswerWorld(CancelledOnceWorld):
    """The answers to start orders in the first zone are late once."""

    answer_delay_s = 0.05

    def order(
        self,
        context: contextvars.Context,
        box: str,
        endpoint: str,
        carry_out: Callable[[], CallReply],
    ) -> asyncio.Future[CallReply]:
        """Execute the first order of the first zone, and answer it late."""
        if not endpoint.startswith(f"w-{ZONES[0]}") or self._has_answered_late:
            return super().order(context, box, endpoint, carry_out)
        self._has_answered_late = True
        reply: asyncio.Future[CallReply] = self.loop.create_future()
        self._call_later(
            self.answer_delay_s,
            lambda: self._deliver_reply(context, box, endpoint, reply, carry_out()),
        )
        return reply

    _has_answered_late = False


class LateCancelAnswerWorld(LateOrderWorld):
    """The answer to the first cancel is late, and the second start order unanswered."""

    answer_delay_s = 0.0

    def __init__(self, seed: int, loop: PausableLoop) -> None:
        super().__init__(seed, loop)
        self.start_log: list[tuple[str, int, float]] = []
        self._has_delayed = False

    def record_start_order(self, box: str, endpoint: str, run_id: RunId) -> None:
        """Record the endpoint of the second start order."""
        SettledZonesWorld.record_start_order(self, box, endpoint, run_id)
        self.start_log.append((endpoint, run_id.attempt, self.loop.time()))
        if len(self.start_log) == 2:
            self._first_endpoint = endpoint
            self.ordered.set()

    def start(self, name: str, order: StartOrder) -> CallReply:
        """Carry out a start order."""
        if not self.ordered.is_set():
            return SettledZonesWorld.start(self, name, order)
        return super().start(name, order)

    def carry_envelope(self, envelope: Envelope, box: str) -> None:
        """Delay the first answer to a cancel."""
        is_answer = any(isinstance(frame.message, Cancelled) for frame in envelope.frames)
        if is_answer and not self._has_delayed:
            self._has_delayed = True
            self._call_later(self.answer_delay_s, lambda: self._carry(envelope, box))
            return
        super().carry_envelope(envelope, box)

    def _carry(self, envelope: Envelope, box: str) -> None:
        super().carry_envelope(envelope, box)

    async def submit_thrice(self) -> None:
        """Submit the job to the same box three times; the owner dies after the second start."""
        owner, other = self.boxes_in(ZONES[0])
        await self.call(other, JOB, 1, TASK_MS, 30.0)
        second = asyncio.create_task(self.call(other, JOB, 1, TASK_MS, 60.0))
        await self.ordered.wait()
        await asyncio.sleep(0.002)
        self.kill_box(owner)
        self.silence_endpoint()
        await second
        await asyncio.sleep(0.1)
        await self.call(other, JOB, 1, TASK_MS, NEVER_MS)


class VeryLateCancelAnswerWorld(LateCancelAnswerWorld):
    """The answer takes 100 ms more."""

    answer_delay_s = 0.1
