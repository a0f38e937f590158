# SPDX-License-Identifier: MIT
"""Endpoints that restart under the same id and drain, combined with the other soak faults."""

from __future__ import annotations

import asyncio
import itertools
import random

from platform_system import PlatformSystem, steps
from soak_callers import JOB_NUMBERS_END
from soak_faults import Faults
from standins.run_endpoint import START_AFTER_DRAIN_MAX_S, RunEndpoint

# Ranges of an endpoint's downtime, and of its uptime before it drains.
_DOWN_S = (0.0, 0.6)
_SERVE_S = (0.2, 2.0)
# Time between the switch to draining and the stop.
_DRAIN_S = START_AFTER_DRAIN_MAX_S + 1.5
# Undisturbed time after which a start on a draining endpoint always counts as a violation.
_UNDISTURBED_S = 3.2
# Large enough that the callers' tasks need every endpoint.
_TASK_MILLI = 4_000
_CALLERS = 6
# Job numbers reserved for these callers.
_job_counter = itertools.count(JOB_NUMBERS_END + 10**6)


class SameIdFaults(Faults):
    """The usual faults, and as many endpoint restarts under the same id."""

    def __init__(self, system: PlatformSystem, rng: random.Random) -> None:
        super().__init__(system, rng)
        restart_kinds = [self._crash_same_id, self._restart_and_leave, self._leave_and_begin_again]
        self._kinds = [*self._kinds, *(restart_kinds * (len(self._kinds) // len(restart_kinds)))]

    async def _crash_same_id(self) -> None:
        """An endpoint crashes and restarts; then late messages of its predecessor arrive."""
        crashed = self._remove_endpoint()
        if crashed is None:
            return
        successor = await self._restart_same_id(crashed)
        await self._send_delayed_messages(crashed)
        self._system.endpoints.append(successor)

    async def _restart_and_leave(self) -> None:
        """An endpoint restarts, drains later and crashes without deregistering."""
        crashed = self._remove_endpoint()
        if crashed is None:
            return
        successor = await self._restart_same_id(crashed)
        await asyncio.sleep(self._rng.uniform(*_SERVE_S))
        await self._drain(successor)
        self._system.endpoints.append(await self._restart_same_id(successor))

    async def _leave_and_begin_again(self) -> None:
        """An endpoint drains and restarts; it deregisters before or after the restart."""
        leaving = self._remove_endpoint()
        if leaving is None:
            return
        await self._drain(leaving)
        if self._rng.random() < 0.5:
            await leaving.deregister(self._rng.choice(self._system.control_addresses))
        successor = await self._restart_same_id(leaving)
        await self._send_delayed_messages(leaving)
        self._system.endpoints.append(successor)

    async def _drain(self, leaving: RunEndpoint) -> None:
        leaving.state = "draining"
        await asyncio.sleep(_DRAIN_S)

    async def _restart_same_id(self, predecessor: RunEndpoint) -> RunEndpoint:
        await predecessor.stop()
        await asyncio.sleep(self._rng.uniform(*_DOWN_S))
        successor = predecessor.next_incarnation_same_id()
        await successor.start(self._system.control_addresses)
        return successor

    async def _send_delayed_messages(self, predecessor: RunEndpoint) -> None:
        """Send a late heartbeat of the predecessor and, if it was draining, a deregistration."""
        await asyncio.sleep(self._rng.uniform(0.0, 1.0))
        await predecessor.report_again(self._rng.choice(self._system.control_addresses))
        if predecessor.state == "draining":
            await predecessor.deregister(self._rng.choice(self._system.control_addresses))


async def restart_at(system: PlatformSystem, index: int) -> RunEndpoint:
    """Crash an endpoint and restart it at once under the same id."""
    predecessor = system.endpoints[index]
    await predecessor.stop()
    successor = predecessor.next_incarnation_same_id()
    system.endpoints[index] = successor
    await successor.start(system.control_addresses)
    return successor


async def call_until(system: PlatformSystem, is_over: asyncio.Event) -> None:
    """Submit jobs continuously at all entry processes until *is_over*."""

    async def call() -> None:
        while not is_over.is_set():
            number = next(_job_counter)
            entry = system.entries[number % len(system.entries)]
            body = steps(2, 20, estimate_ms=200, cpu_milli=_TASK_MILLI)
            await system.submit(entry, number, body)

    await asyncio.gather(*(call() for _ in range(_CALLERS)))


async def restart_and_drain(system: PlatformSystem, serves_s: float) -> RunEndpoint:
    """Restart and drain the first endpoint of an undisturbed system under load."""
    await asyncio.sleep(_UNDISTURBED_S)
    is_over = asyncio.Event()
    calling = asyncio.create_task(call_until(system, is_over))
    successor = await restart_at(system, 0)
    await asyncio.sleep(serves_s)
    successor.state = "draining"
    await asyncio.sleep(_DRAIN_S)
    is_over.set()
    await calling
    return successor
