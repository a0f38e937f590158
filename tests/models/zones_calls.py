# SPDX-License-Identifier: MIT
"""Calls to simulated endpoints, which may be unreachable or carry out orders late."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Protocol

from foldloom.clock import monotonic_ms
from foldloom.seed_discovery.endpoints.calls import (
    CallOutcome,
    CallReply,
    PollOrder,
    PollReply,
    StartOrder,
)
from foldloom.seed_discovery.endpoints.records import EndpointRecord
from foldloom.seed_discovery.jobs.spec import RunId
from models.endpoint_world import SimulatedEndpoint

CALL_TIMEOUT_S = 0.25
LATE_ORDER_MAX_S = 2.0


class Conditions:
    """Current network faults: message loss and delay, late orders, and cut links."""

    def __init__(self) -> None:
        self.loss = 0.0
        self.delay_max_ms = 1.0
        self.late_orders = 0.0
        self.cuts: set[tuple[str, str]] = set()


class EndpointWorld(Protocol):
    """The part of the simulated world that calls use."""

    rng: random.Random
    conditions: Conditions
    endpoints: dict[str, SimulatedEndpoint]
    births: dict[str, int]

    def start(self, name: str, order: StartOrder) -> CallReply:
        """Carry out a start order."""

    def carry_out_late(self, name: str, carry_out: Callable[[], CallReply]) -> None:
        """Have an endpoint carry out an order whose call has timed out."""


class SimulatedCalls:
    """Calls of one box to endpoints."""

    def __init__(self, world: EndpointWorld, box: str) -> None:
        self._world = world
        self._box = box

    async def start_run(self, endpoint: EndpointRecord, order: StartOrder) -> CallReply:
        """Start a run."""

        def carry_out() -> CallReply:
            return self._world.start(endpoint.endpoint, order)

        return await self._call(endpoint, carry_out)

    async def stop_run(self, endpoint: EndpointRecord, run_id: RunId, token: int) -> CallReply:
        """Stop a run."""

        def carry_out() -> CallReply:
            simulated = self._world.endpoints[endpoint.endpoint]
            outcome = simulated.stop(run_id, token, monotonic_ms())
            return CallReply(outcome, int(simulated.clock(monotonic_ms())))

        return await self._call(endpoint, carry_out)

    async def poll(self, endpoint: EndpointRecord, order: PollOrder) -> PollReply:
        """Poll; wait up to the order's ``wait_ms`` for a run to end."""
        if not self._can_reach(endpoint.endpoint):
            await asyncio.sleep(CALL_TIMEOUT_S + order.wait_ms / 1_000)
            return PollReply(CallOutcome.UNKNOWN)
        await self._network_delay()
        simulated = self._world.endpoints[endpoint.endpoint]
        until_ms = monotonic_ms() + order.wait_ms
        while True:
            result = simulated.look(
                order.token, order.last_sequence, order.until_ms, monotonic_ms()
            )
            if result.outcome is not CallOutcome.DONE or result.ended or monotonic_ms() >= until_ms:
                break
            await asyncio.sleep(0.01)
        await self._network_delay()
        has_restarted = self._world.endpoints[endpoint.endpoint] is not simulated
        if has_restarted or not self._can_reach(endpoint.endpoint):
            return PollReply(CallOutcome.UNKNOWN)
        born_ms = self._world.births.get(endpoint.endpoint, 0)
        return PollReply(
            result.outcome, int(result.clock_ms), result.active, result.ended, born_ms=born_ms
        )

    async def _call(
        self, endpoint: EndpointRecord, carry_out: Callable[[], CallReply]
    ) -> CallReply:
        world = self._world
        if not self._can_reach(endpoint.endpoint):
            await asyncio.sleep(CALL_TIMEOUT_S)
            return CallReply(CallOutcome.UNKNOWN)
        if world.rng.random() < world.conditions.late_orders:
            delay_s = world.rng.uniform(0.0, LATE_ORDER_MAX_S)
            asyncio.get_running_loop().call_later(
                delay_s, world.carry_out_late, endpoint.endpoint, carry_out
            )
            await asyncio.sleep(CALL_TIMEOUT_S)
            return CallReply(CallOutcome.UNKNOWN)
        await self._network_delay()
        reply = carry_out()
        await self._network_delay()
        return reply

    async def _network_delay(self) -> None:
        await asyncio.sleep(self._world.rng.uniform(0.0003, 0.001))

    def _can_reach(self, endpoint: str) -> bool:
        return (self._box, endpoint) not in self._world.conditions.cuts
