# SPDX-License-Identifier: MIT
"""A task on two endpoints: a late order of the previous incarnation renewed the lease of the next.

The order, a poll or a start, carries an end of the lease by the clock of the previous incarnation,
which had run for longer. The next one is silent but runs on, and its owner takes its lease for
expired. Simulated zones.
"""

from __future__ import annotations

import asyncio
import contextvars

import pytest

from foldloom.clock import monotonic_ms
from foldloom.seed_discovery.endpoints.calls import (
    CallOutcome,
    CallReply,
    PollOrder,
    PollReply,
    StartOrder,
)
from models.late_orders import JOB, LateOrderWorld
from models.settled_zones import NEVER_MS, run_in_settled_zones
from models.virtual_time import PausableLoop
from models.zones_world import ZONES

# The first incarnation's clock must read much more than that of the second one.
_FIRST_INCARNATION_S = 10.0
_UNANSWERED_S = 0.3
# Longer than the longest lease that the first incarnation could grant.
_REDISCOVERED_S = 1.6
_STARTED_S = 0.5
# From the silence to the late poll: shortly before the lease expires.
_LATE_POLL_AFTER_S = 0.3
# From the end of a process to the birth of the next one.
_RESTART_S = 0.05
_JOBS = 6
_TASK_MS = 2_500.0


class LatePollWorld(LateOrderWorld):
    """Zones in which the last renewing poll of an incarnation is executed by the next one."""

    def __init__(self, seed: int, loop: PausableLoop) -> None:
        self._last_renewal: PollOrder | None = None
        super().__init__(seed, loop)

    def poll(
        self, context: contextvars.Context, box: str, endpoint: str, order: PollOrder
    ) -> asyncio.Future[PollReply]:
        """Deliver a poll, and keep it if it renews the lease of the first incarnation."""
        if endpoint == self._first_endpoint and order.until_ms and not self._has_restarted:
            self._last_renewal = order
        return super().poll(context, box, endpoint, order)

    def restart_first_endpoint(self) -> None:
        """Restart the first endpoint, and report its birth."""
        self._has_restarted = True
        self.report_birth(self._first_endpoint)

    def starts_on_first_endpoint(self, jobs: list[str]) -> int:
        """Return how many of *jobs* the first endpoint has started."""
        starts = [start for job in jobs for start in self.starts.get(job, [])]
        return sum(start.endpoint == self._first_endpoint for start in starts)

    def silence_first_endpoint(self) -> None:
        """Cut the first endpoint off; its tasks run on."""
        self.trouble.deaf.add(self._first_endpoint)
        self.trouble.mute.add(self._first_endpoint)

    def execute_late_poll(self) -> None:
        """Execute the last renewing poll that was meant for the previous incarnation."""
        order = self._last_renewal
        assert order is not None
        present = self.endpoints[self._first_endpoint]
        present.look(order.token, 0, order.until_ms, monotonic_ms())


class LateStartWorld(LatePollWorld):
    """Zones in which the unanswered start order renews the next incarnation's lease.

    It is refused there, since it was ordered to stop the run. The polls of the previous incarnation
    end with their connections.
    """

    def __init__(self, seed: int, loop: PausableLoop) -> None:
        self._replies: dict[str, list[tuple[contextvars.Context, asyncio.Future[PollReply]]]] = {}
        super().__init__(seed, loop)

    def poll(
        self, context: contextvars.Context, box: str, endpoint: str, order: PollOrder
    ) -> asyncio.Future[PollReply]:
        """Deliver a poll, and keep its reply."""
        reply = super().poll(context, box, endpoint, order)
        self._replies.setdefault(endpoint, []).append((context, reply))
        return reply

    def restart_first_endpoint(self) -> None:
        """Break the connections of the first endpoint, and restart it."""
        for context, reply in self._replies[self._first_endpoint]:
            self.turns.deliver(context, _disconnect, reply)
        self._call_later(_RESTART_S, super().restart_first_endpoint)

    def start(self, name: str, order: StartOrder) -> CallReply:
        """Carry out a start order; the lease is renewed also if the run is refused as old."""
        reply = super().start(name, order)
        if reply.outcome is CallOutcome.OLD_RUN:
            self.endpoints[name].look(order.token, 0, order.until_ms, monotonic_ms())
        return reply

    def execute_late_poll(self) -> None:
        """Execute the start order that was meant for the previous incarnation."""
        assert self._late_order is not None
        assert self._late_order().outcome is CallOutcome.OLD_RUN


def _disconnect(reply: asyncio.Future[PollReply]) -> None:
    if not reply.done():
        reply.set_result(PollReply(CallOutcome.DISCONNECTED))


async def _late_renewal(world: LatePollWorld, unanswered_s: float = _UNANSWERED_S) -> None:
    await asyncio.sleep(_FIRST_INCARNATION_S)
    box = world.boxes_in(ZONES[0])[1]
    first = asyncio.create_task(world.call(box, JOB, 1, 100.0, NEVER_MS))
    await world.ordered.wait()
    await asyncio.sleep(unanswered_s)
    world.restart_first_endpoint()
    await first
    await asyncio.sleep(_REDISCOVERED_S)
    jobs = [f"{number:016x}" for number in range(1, _JOBS + 1)]
    calls = [asyncio.create_task(world.call(box, job, 1, _TASK_MS, NEVER_MS)) for job in jobs]
    await asyncio.sleep(_STARTED_S)
    assert world.starts_on_first_endpoint(jobs)
    world.silence_first_endpoint()
    await asyncio.sleep(_LATE_POLL_AFTER_S)
    world.execute_late_poll()
    await asyncio.gather(*calls)


@pytest.mark.parametrize("are_births_known", [False, True])
@pytest.mark.parametrize("seed", range(3))
class TestLatePoll:
    """The endpoint has restarted with a start order unanswered, and executes a late poll."""

    def test_no_task_runs_twice(self, seed: int, are_births_known: bool) -> None:
        """The owner starts the tasks elsewhere once the lease has certainly expired."""
        world = run_in_settled_zones(LatePollWorld, seed, _late_renewal, are_births_known)
        assert world.doubled == []


@pytest.mark.parametrize("are_births_known", [False, True])
@pytest.mark.parametrize("seed", range(3))
class TestLateStart:
    """The endpoint has restarted with a start order unanswered, and falls silent again."""

    @pytest.mark.parametrize("unanswered_s", [0.1, _UNANSWERED_S])
    def test_no_task_runs_twice(
        self, seed: int, are_births_known: bool, unanswered_s: float
    ) -> None:
        """The order may still be in flight when the next incarnation is discovered."""
        world = run_in_settled_zones(
            LateStartWorld,
            seed,
            lambda world: _late_renewal(world, unanswered_s),
            are_births_known,
        )
        assert world.doubled == []
