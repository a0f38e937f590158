# SPDX-License-Identifier: MIT
"""Simulated zones in which a run can't be stopped for a while, and its job is submitted again."""

from __future__ import annotations

import asyncio
import contextvars
from collections.abc import Callable

from foldloom.seed_discovery.endpoints.calls import CallOutcome, CallReply
from foldloom.seed_discovery.jobs.spec import RunId
from models.late_orders import JOB, RESUBMIT_AFTER_S, TASK_MS
from models.settled_zones import NEVER_MS, SettledZonesWorld
from models.virtual_time import PausableLoop
from models.zones_world import ZONES

_DISCONNECTED_AFTER_S = 0.002
_UNREACHABLE_AFTER_S = 0.003


class DisconnectedWorld(SettledZonesWorld):
    """The first start order ends with a disconnection, and its endpoint executes it later.

    The incarnation is the same. It receives nothing else until then.
    """

    executed_after_s = 0.2
    outcome = CallOutcome.DISCONNECTED

    def __init__(self, seed: int, loop: PausableLoop) -> None:
        super().__init__(seed, loop)
        self.ordered = asyncio.Event()
        self._endpoint = ""

    def record_start_order(self, box: str, endpoint: str, run_id: RunId) -> None:
        """Record the endpoint of the first start order."""
        super().record_start_order(box, endpoint, run_id)
        self._endpoint = self._endpoint or endpoint

    def order(
        self,
        context: contextvars.Context,
        box: str,
        endpoint: str,
        carry_out: Callable[[], CallReply],
    ) -> asyncio.Future[CallReply]:
        """Disconnect the first order."""
        if self.ordered.is_set() or endpoint != self._endpoint:
            return super().order(context, box, endpoint, carry_out)
        self.ordered.set()
        reply: asyncio.Future[CallReply] = self.loop.create_future()
        self.trouble.deaf.add(endpoint)

        def execute() -> None:
            carry_out()
            self.trouble.deaf.clear()

        self._call_later(self.executed_after_s, execute)
        if self.outcome is CallOutcome.DISCONNECTED:
            self._call_later(
                _DISCONNECTED_AFTER_S,
                lambda: reply.done() or reply.set_result(CallReply(self.outcome)),
            )
        return reply

    async def submit_twice(self, leave_after_s: float) -> None:
        """Submit a job, disconnect, and submit it in the other zone."""
        first, second = (self.boxes_in(zone)[1] for zone in ZONES)
        await self.call(first, JOB, 1, TASK_MS, leave_after_s * 1_000)
        assert self.ordered.is_set()
        await asyncio.sleep(RESUBMIT_AFTER_S)
        await self.call(second, JOB, 1, TASK_MS, NEVER_MS)

    async def submit_once(self) -> None:
        """Submit a job."""
        await self.call(self.boxes_in(ZONES[0])[1], JOB, 1, TASK_MS, NEVER_MS)


class UnansweredWorld(DisconnectedWorld):
    """The same, but the call is unanswered."""

    outcome = CallOutcome.UNKNOWN


class RunningWorld(DisconnectedWorld):
    """The first start is executed and answered; its endpoint receives nothing for a while then."""

    outcome = CallOutcome.DONE

    def order(
        self,
        context: contextvars.Context,
        box: str,
        endpoint: str,
        carry_out: Callable[[], CallReply],
    ) -> asyncio.Future[CallReply]:
        """Execute the first order."""
        if not self.ordered.is_set():
            self.ordered.set()
            self._call_later(_UNREACHABLE_AFTER_S, lambda: self.trouble.deaf.add(endpoint))
            self._call_later(self.executed_after_s, self.trouble.deaf.clear)
        return SettledZonesWorld.order(self, context, box, endpoint, carry_out)
