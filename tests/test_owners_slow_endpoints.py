# SPDX-License-Identifier: MIT
"""Jobs that were not completed: all endpoints answer, but later than a check may take.

Guards against a check that discards an answer after it has excluded the endpoint. Simulated zones.
"""

from __future__ import annotations

import asyncio
import contextvars
from collections.abc import Callable
from typing import Any

import pytest

from foldloom.seed_discovery.endpoints.calls import CallReply, PollOrder, PollReply
from models.settled_zones import NEVER_MS, SettledZonesWorld, run_in_settled_zones
from models.virtual_time import PausableLoop
from models.zones_world import ZONES

_JOBS = 10
_TASK_MS = 100.0
# A check is overdue after 80 ms, and a call times out after 250 ms.
_ROUND_TRIP_MS = [60, 90, 120, 160]


class SlowEndpointsWorld(SettledZonesWorld):
    """Zones whose endpoints take half of *round_trip_ms* to receive a call and to answer it."""

    def __init__(self, seed: int, loop: PausableLoop, round_trip_ms: float) -> None:
        self._one_way_s = round_trip_ms / 2_000
        super().__init__(seed, loop)

    def order(
        self,
        context: contextvars.Context,
        box: str,
        endpoint: str,
        carry_out: Callable[[], CallReply],
    ) -> asyncio.Future[CallReply]:
        """Deliver an order and its reply late."""
        reply: asyncio.Future[CallReply] = self.loop.create_future()

        def arrive() -> None:
            self._deliver_reply(context, box, endpoint, reply, carry_out())

        self._call_later(self._one_way_s, arrive)
        return reply

    async def _serve_poll(
        self,
        context: contextvars.Context,
        box: str,
        endpoint: str,
        order: PollOrder,
        reply: asyncio.Future[PollReply],
    ) -> None:
        await asyncio.sleep(self._one_way_s)
        await super()._serve_poll(context, box, endpoint, order, reply)

    def _deliver_reply(self, *args: Any) -> None:
        self._call_later(self._one_way_s, lambda: super(type(self), self)._deliver_reply(*args))


@pytest.mark.parametrize("round_trip_ms", _ROUND_TRIP_MS)
@pytest.mark.parametrize("seed", range(2))
class TestSlowEndpoints:
    """All endpoints are slow, and jobs come one after the other."""

    def test_jobs_complete(self, seed: int, round_trip_ms: float) -> None:
        """Each start follows the answer to its check."""

        async def scenario(world: SlowEndpointsWorld) -> None:
            box = world.boxes_in(ZONES[0])[1]
            for number in range(_JOBS):
                await world.call(box, f"{number:016x}", 1, _TASK_MS, NEVER_MS)

        world = run_in_settled_zones(
            lambda seed, loop: SlowEndpointsWorld(seed, loop, round_trip_ms), seed, scenario, True
        )
        assert [answer.is_completed for answer in world.answers] == [True] * _JOBS
