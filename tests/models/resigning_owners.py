# SPDX-License-Identifier: MIT
"""Simulated zones in which an owner resigns while its start order stays unanswered."""

from __future__ import annotations

import asyncio

from foldloom.seed_discovery.owners.messages import RunsEnded
from models.late_orders import JOB, TASK_MS, LateOrderWorld
from models.settled_zones import NEVER_MS
from models.standing_boxes import Envelope
from models.virtual_time import PausableLoop
from models.zones_world import ZONES

_KILLED_AFTER_S = 0.01
# Keeps two messages of one sender in order.
_ORDER_S = 1e-6


class PlannedStopWorld(LateOrderWorld):
    """The owner resigns while a start is in flight."""

    async def resign(self, after_s: float, is_submitted_to_owner: bool, is_killed: bool) -> None:
        """Submit a job; the owner resigns, and may be killed just after."""
        owner, other = self.boxes_in(ZONES[0])
        box = owner if is_submitted_to_owner else other
        call = asyncio.create_task(self.call(box, JOB, 1, TASK_MS, NEVER_MS))
        await self.ordered.wait()
        await asyncio.sleep(after_s)
        self.turns.deliver(self.context_of(owner), self.boxes[owner].elector.resign)
        self.silence_endpoint()
        if is_killed:
            await asyncio.sleep(_KILLED_AFTER_S)
            self.kill_box(owner)
        await call
        if is_killed and is_submitted_to_owner:
            await self.call(other, JOB, 1, TASK_MS, NEVER_MS)


class ThirdBoxWorld(PlannedStopWorld):
    """A third box of the zone holds the job; messages between two boxes arrive in order.

    The notice of the start order takes longer by ``notice_delay_s``.
    """

    notice_delay_s = 0.0

    def __init__(self, seed: int, loop: PausableLoop) -> None:
        super().__init__(seed, loop)
        self.log: list[str] = []
        self._arrivals: dict[tuple[str, str], float] = {}

    def carry_envelope(self, envelope: Envelope, box: str) -> None:
        """Deliver an envelope after the earlier ones of its sender to the box."""
        delay_ms = self._delay_ms(envelope.sender, box, float("inf"))
        if delay_ms is None:
            return
        is_notice = any(
            isinstance(frame.message, RunsEnded) and frame.message.starts
            for frame in envelope.frames
        )
        arrives_s = self.loop.time() + delay_ms / 1_000
        if is_notice:
            arrives_s += self.notice_delay_s
        link = (envelope.sender, box)
        arrives_s = max(arrives_s, self._arrivals.get(link, 0.0) + _ORDER_S)
        self._arrivals[link] = arrives_s

        def arrive() -> None:
            network = self._network(box)
            if link in self.conditions.cuts or not network.is_alive:
                return
            if is_notice:
                self.log.append(f"notice at {box} at {self.loop.time():.4f}")
            context = self._contexts.get(box)
            if context is None:
                network.accept(envelope)
            else:
                self.turns.deliver(context, network.accept, envelope)

        self._call_later(arrives_s - self.loop.time(), arrive)

    async def resign_with_third_box(self, after_s: float) -> None:
        """Submit a job to the box that does not get the zone; the owner resigns."""
        owner, successor, third = self.all_boxes_in(ZONES[0])
        call = asyncio.create_task(self.call(max(successor, third), JOB, 1, TASK_MS, NEVER_MS))
        await self.ordered.wait()
        await asyncio.sleep(after_s)
        self.turns.deliver(self.context_of(owner), self.boxes[owner].elector.resign)
        self.log.append(f"resigned at {self.loop.time():.4f}")
        self.silence_endpoint()
        await call


class SlowNoticeWorld(ThirdBoxWorld):
    """The notice takes 5 ms longer."""

    notice_delay_s = 0.005
