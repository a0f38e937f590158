# SPDX-License-Identifier: MIT
"""Simulated zones whose owner and its successor are paused in turn while all endpoints restart.

The endpoints restart under new ids and have seen no fencing token. A controller tells each box of
them at a time of its own.
"""

from __future__ import annotations

import asyncio
import contextvars
import itertools
from collections.abc import Callable
from typing import NamedTuple

from foldloom.clock import monotonic_ms
from foldloom.seed_discovery.endpoints.calls import (
    CallOutcome,
    CallReply,
    PollOrder,
    PollReply,
    StartOrder,
)
from foldloom.seed_discovery.endpoints.records import EndpointRecord
from foldloom.seed_discovery.fleet.messages import OwnerQuery
from foldloom.seed_discovery.jobs.spec import RunId
from models.endpoint_world import SimulatedEndpoint
from models.settled_zones import NEVER_MS, SettledZonesWorld
from models.standing_boxes import Envelope
from models.virtual_time import PausableLoop, Waking
from models.zones_world import CONTROLLER, ZONES

JOB = "c" * 16
TASK_MS = 400.0
# Long enough for the other box to acquire the zone.
OWNER_PAUSE_S = 3.0
# The successor is paused shortly before the owner resumes, and for how long.
_SUCCESSOR_PAUSED_BEFORE_S = 0.3
SUCCESSOR_PAUSE_S = 2.0
# The endpoints restart before the pause of the successor.
_RESTARTED_BEFORE_S = 0.05
_JOB_INTERVAL_S = 0.1
# From the resumption of the owner to a job at both boxes: less than a task's time before the
# successor resumes.
_BOTH_SUBMITTED_AFTER_S = 1.5
# Until the successor resumes.
_JOBS = round((SUCCESSOR_PAUSE_S - _SUCCESSOR_PAUSED_BEFORE_S) / _JOB_INTERVAL_S)
# Time for all jobs to end.
_END_S = 4.0


class SentOrder(NamedTuple):
    """A start order that an owner has sent."""

    at_s: float
    box: str
    token: int


class ResumedOwnerWorld(SettledZonesWorld):
    """Zones whose endpoints can be replaced by others.

    Args:
        seed: Seed of the random generator for all choices.
        loop: Event loop of the simulation.
    """

    def __init__(self, seed: int, loop: PausableLoop) -> None:
        self.sent_orders: list[SentOrder] = []
        # The boxes that have sent a query for their zone's owner.
        self.queries: list[str] = []
        self.resumed_s = 0.0
        self.successor_token = 0
        self._replaced: set[str] = set()
        super().__init__(seed, loop)

    @property
    def outdated_orders(self) -> list[SentOrder]:
        """The start orders of the resumed owner with a token below its successor's."""
        return [order for order in self.sent_orders if order.token < self.successor_token]

    def record_start_order(self, box: str, endpoint: str, run_id: RunId) -> None:
        """Record a start order with the owner's token."""
        super().record_start_order(box, endpoint, run_id)
        owner = self.boxes[box].elector.owner
        if owner is not None and owner.record.zone == ZONES[0]:
            self.sent_orders.append(SentOrder(self.loop.time(), box, owner.token))

    def carry_envelope(self, envelope: Envelope, box: str) -> None:
        """Deliver an envelope, and record the queries in it."""
        for frame in envelope.frames:
            if isinstance(frame.message, OwnerQuery):
                self.queries.append(envelope.sender)
        super().carry_envelope(envelope, box)

    def cut_off(self, boxes: set[str]) -> None:
        """Cut *boxes* off from all others and from the controller."""
        others = {*self.boxes, CONTROLLER} - boxes
        for one, other in itertools.product(boxes, others):
            self.conditions.cuts |= {(one, other), (other, one)}

    def replace_endpoints(self, zone: str) -> list[EndpointRecord]:
        """Restart the endpoints of *zone* under new ids; return the records that they report."""
        replacements = []
        for index, record in enumerate(self.records):
            if record.zone != zone:
                continue
            name = f"{record.endpoint}-next"
            self._replaced.add(record.endpoint)
            self.endpoints[record.endpoint].active.clear()
            self.births[name] = int(monotonic_ms())
            self.endpoints[name] = SimulatedEndpoint(name, 0.98, monotonic_ms())
            replacement = record._replace(endpoint=name, sequence=1, born_ms=self.births[name])
            self.records[index] = replacement
            replacements.append(replacement)
        return replacements

    def tell_box(self, box: str, records: list[EndpointRecord]) -> None:
        """Have a controller send *records* to *box*, which reads them once it is not paused."""
        for record in records:
            self.turns.deliver(self.context_of(box), self.boxes[box].merge_record, record)

    def order(
        self,
        context: contextvars.Context,
        box: str,
        endpoint: str,
        carry_out: Callable[[], CallReply],
    ) -> asyncio.Future[CallReply]:
        """Deliver an order; another id answers at the address of a replaced endpoint."""

        def answer() -> CallReply:
            if endpoint in self._replaced:
                return CallReply(CallOutcome.OTHER_LIFE)
            return carry_out()

        return super().order(context, box, endpoint, answer)

    def poll(
        self, context: contextvars.Context, box: str, endpoint: str, order: PollOrder
    ) -> asyncio.Future[PollReply]:
        """Deliver a poll; another id answers at the address of a replaced endpoint."""
        if endpoint not in self._replaced:
            return super().poll(context, box, endpoint, order)
        reply: asyncio.Future[PollReply] = self.loop.create_future()
        answer = PollReply(CallOutcome.OTHER_LIFE)
        self._deliver_reply(context, box, endpoint, reply, answer)
        return reply

    def start(self, name: str, order: StartOrder) -> CallReply:
        """Carry out a start order, unless the endpoint has been replaced."""
        if name in self._replaced:
            return CallReply(CallOutcome.OTHER_LIFE)
        return super().start(name, order)

    async def pause_both(
        self, waking: Waking, told_after_s: float, owner_cuts: frozenset[str] = frozenset()
    ) -> None:
        """Pause the owner, then its successor; submit jobs to the owner's box when it resumes.

        Args:
            waking: What the resumed boxes handle first.
            told_after_s: When the successor is told of the new endpoints, after it has resumed.
            owner_cuts: What the owner's box can't reach from the pause of the successor on.
        """
        owner, successor = self.boxes_in(ZONES[0])
        self.pause_box(owner, 0, OWNER_PAUSE_S, waking)
        until_pause_s = OWNER_PAUSE_S - _SUCCESSOR_PAUSED_BEFORE_S
        await asyncio.sleep(until_pause_s - _RESTARTED_BEFORE_S)
        next_owner = self.boxes[successor].elector.owner
        assert next_owner is not None
        self.successor_token = next_owner.token
        records = self.replace_endpoints(ZONES[0])
        self.tell_box(owner, records)
        await asyncio.sleep(_RESTARTED_BEFORE_S)
        self.pause_box(successor, 0, SUCCESSOR_PAUSE_S, waking)
        for other in owner_cuts:
            self.conditions.cuts |= {(owner, other), (other, owner)}
        await asyncio.sleep(_SUCCESSOR_PAUSED_BEFORE_S)
        self.resumed_s = self.loop.time()
        calls = []
        for number in range(_JOBS):
            job_id = f"{number:016x}"
            calls.append(asyncio.create_task(self.call(owner, job_id, 1, TASK_MS, NEVER_MS)))
            await asyncio.sleep(_JOB_INTERVAL_S)
        await asyncio.sleep(told_after_s)
        self.tell_box(successor, records)
        await asyncio.wait_for(asyncio.gather(*calls), _END_S)

    async def submit_to_both(self, waking: Waking, told_after_s: float) -> None:
        """Do as :meth:`pause_both`, and submit one job to both boxes.

        The successor handles it when it resumes, while the task runs.
        """
        boxes = self.boxes_in(ZONES[0])
        pausing = asyncio.create_task(self.pause_both(waking, told_after_s))
        await asyncio.sleep(OWNER_PAUSE_S + _BOTH_SUBMITTED_AFTER_S)
        calls = (self.call(box, JOB, 1, TASK_MS, NEVER_MS) for box in boxes)
        await asyncio.gather(pausing, *calls)

    async def pause_alone(self, waking: Waking, boxes: list[str], for_s: float) -> None:
        """Pause *boxes* of a zone at once; submit a job to the first one when they resume."""
        for box in boxes:
            self.pause_box(box, 0, for_s, waking)
        await asyncio.sleep(for_s)
        self.resumed_s = self.loop.time()
        self.queries.clear()
        await self.call(boxes[0], JOB, 1, TASK_MS, NEVER_MS)
