# SPDX-License-Identifier: MIT
"""Simulated zones in which a job is submitted and cancelled before its start stays unanswered."""

from __future__ import annotations

import asyncio
import contextvars
from collections.abc import Callable

from foldloom.seed_discovery.endpoints.calls import CallReply, StartOrder
from foldloom.seed_discovery.jobs.spec import RunId
from foldloom.seed_discovery.owners.messages import Cancelled
from models.late_orders import JOB, RESUBMIT_AFTER_S, TASK_MS, UNANSWERED_S, LateOrderWorld
from models.settled_zones import NEVER_MS, SettledZonesWorld
from models.standing_boxes import Envelope
from models.virtual_time import PausableLoop
from models.zones_world import ZONES

# The delay of the late answer to the first start order; its call has not timed out.
_ANSWER_DELAY_S = 0.05
_RESUBMIT_AFTER_CANCEL_S = 0.08
# Times after a start order that stays unanswered, and after its owner's loss.
_IN_FLIGHT_S = 0.1
_ORDERED_S = 0.002
_OWNER_LOST_S = 2.0
_REJOINED_S = 1.0
# When the caller of the first and of the second submission leaves.
_FIRST_LEAVES_MS = 30.0
_SECOND_LEAVES_MS = 60.0


class CancelledBeforeWorld(LateOrderWorld):
    """The job's first start order is answered late, and one of a later submission never.

    The latter is executed by its endpoint's next incarnation, while the task runs elsewhere.
    """

    def __init__(self, seed: int, loop: PausableLoop) -> None:
        super().__init__(seed, loop)
        self.start_log: list[tuple[str, int, float]] = []
        self._has_answered_late = False

    def is_unanswered(self, endpoint: str) -> bool:
        """Return whether the start order to *endpoint* stays unanswered if it is the first."""
        raise NotImplementedError

    def record_start_order(self, box: str, endpoint: str, run_id: RunId) -> None:
        """Record a start order, and the endpoint of the first one that stays unanswered."""
        SettledZonesWorld.record_start_order(self, box, endpoint, run_id)
        self.start_log.append((endpoint, run_id.attempt, self.loop.time()))
        if self.is_unanswered(endpoint) and not self._first_endpoint:
            self._first_endpoint = endpoint
            self.ordered.set()

    def order(
        self,
        context: contextvars.Context,
        box: str,
        endpoint: str,
        carry_out: Callable[[], CallReply],
    ) -> asyncio.Future[CallReply]:
        """Execute and answer the first order late, and deliver the others as usual."""
        if self.is_unanswered(endpoint) or self._has_answered_late:
            return super().order(context, box, endpoint, carry_out)
        self._has_answered_late = True
        reply: asyncio.Future[CallReply] = self.loop.create_future()
        self._call_later(
            _ANSWER_DELAY_S,
            lambda: self._deliver_reply(context, box, endpoint, reply, carry_out()),
        )
        return reply

    async def submit_and_leave(self, leave_after_s: float | None) -> None:
        """Submit the job in the first zone, and disconnect while its start is in flight.

        Without a time, nothing is submitted.
        """
        if leave_after_s is None:
            return
        first = self.boxes_in(ZONES[0])[1]
        await self.call(first, JOB, 1, TASK_MS, leave_after_s * 1_000)
        await asyncio.sleep(_RESUBMIT_AFTER_CANCEL_S)

    async def kill_owner_of(self, zone: str) -> None:
        """Submit the job in *zone*, and kill its owner while the start is in flight."""
        owner, other = self.boxes_in(zone)
        call = asyncio.create_task(self.call(other, JOB, 1, TASK_MS, NEVER_MS))
        await self.ordered.wait()
        await asyncio.sleep(_IN_FLIGHT_S)
        self.kill_box(owner)
        self.silence_endpoint()
        await call


class OtherZoneWorld(CancelledBeforeWorld):
    """The later submission is in the second zone."""

    def is_unanswered(self, endpoint: str) -> bool:
        """Return whether it is the second zone's."""
        return endpoint.startswith(f"w-{ZONES[1]}")

    async def kill_second_owner(self, leave_after_s: float | None) -> None:
        """Submit the job in both zones, and kill the owner of the second one."""
        await self.submit_and_leave(leave_after_s)
        await self.kill_owner_of(ZONES[1])

    async def submit_thrice(self, leave_after_s: float | None) -> None:
        """Submit the job in both zones, disconnect, and submit it in the first one again."""
        await self.submit_and_leave(leave_after_s)
        first, second = (self.boxes_in(zone)[1] for zone in ZONES)
        await self.call(second, JOB, 1, TASK_MS, UNANSWERED_S * 1_000)
        assert self.ordered.is_set()
        await asyncio.sleep(RESUBMIT_AFTER_S)
        await self.call(first, JOB, 1, TASK_MS, NEVER_MS)


class SameZoneWorld(CancelledBeforeWorld):
    """The later submission is in the same zone."""

    def __init__(self, seed: int, loop: PausableLoop) -> None:
        super().__init__(seed, loop)
        self._has_cancelled = False

    def is_unanswered(self, _endpoint: str) -> bool:
        """Return whether the earlier submission is over."""
        return self._has_cancelled

    async def submit_again(
        self, wait_s: float, leave_after_s: float | None, replaces_owner: bool = False
    ) -> None:
        """Submit the job, disconnect, wait, and submit it again; kill the owner then.

        The owner may have been replaced in the meantime.
        """
        await self.submit_and_leave(leave_after_s)
        await asyncio.sleep(wait_s)
        if replaces_owner:
            owner = self.boxes_in(ZONES[0])[0]
            self.kill_box(owner)
            await asyncio.sleep(_OWNER_LOST_S)
            self.start_box(owner)
            await asyncio.sleep(_REJOINED_S)
        self._has_cancelled = True
        await self.kill_owner_of(ZONES[0])


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
        """Submit the job three times to one box; the owner is killed after the second start."""
        owner, other = self.boxes_in(ZONES[0])
        await self.call(other, JOB, 1, TASK_MS, _FIRST_LEAVES_MS)
        second = asyncio.create_task(self.call(other, JOB, 1, TASK_MS, _SECOND_LEAVES_MS))
        await self.ordered.wait()
        await asyncio.sleep(_ORDERED_S)
        self.kill_box(owner)
        self.silence_endpoint()
        await second
        await asyncio.sleep(_IN_FLIGHT_S)
        await self.call(other, JOB, 1, TASK_MS, NEVER_MS)


class VeryLateCancelAnswerWorld(LateCancelAnswerWorld):
    """It arrives after the second cancel was sent."""

    answer_delay_s = 0.1
