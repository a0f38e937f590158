# SPDX-License-Identifier: MIT
"""Overlapping faults of processes, disks, endpoints and connections.

All are injected from outside the programs: signals, emptied data folders and endpoint stand-in
behavior. Only one controller is disturbed at a time, as the platform's guarantees assume.
"""

from __future__ import annotations

import asyncio
import math
import random
import signal
from collections.abc import Awaitable, Callable, Iterator

from platform_system import PlatformSystem
from standins.run_endpoint import RunEndpoint

# Range of a fault's duration.
_DURATION_S = (0.2, 2.5)
# The platform's grace period for stopping, plus slack.
_STOP_TIMEOUT_S = 12.0
# Time for a controller to catch up before another one is disturbed.
CATCH_UP_S = 4.0
# Time between an endpoint's switch to draining and its stop.
_DRAIN_S = 0.6


class Faults:
    """The faults of one soak run.

    Args:
        system: The system under test.
        rng: Random generator for the faults.
    """

    # Range of the interval between the starts of two faults.
    interval_s = (0.05, 1.0)

    def __init__(self, system: PlatformSystem, rng: random.Random) -> None:
        self._system = system
        self._rng = rng
        self._locks = {name: asyncio.Lock() for name in system.entries}
        self._controller_lock = asyncio.Lock()
        self._incarnations = 0
        self.violations: list[str] = []
        self.log: list[str] = []
        self._kinds: list[Callable[[], Awaitable[None]]] = [
            self._kill_entry,
            self._kill_entry,
            self._stop_entry,
            self._stop_entry,
            self._freeze_entry,
            self._freeze_entry,
            self._stop_all_entries_in_turn,
            self._kill_all_entries,
            self._kill_controller,
            self._freeze_controller,
            self._stop_controller,
            self._wipe_controller,
            self._silence_endpoint,
            self._silence_connections,
            self._silence_all_connections,
            self._start_late,
            self._crash_endpoint,
            self._drain_endpoint,
        ]

    async def run(self, faults: int, is_over: asyncio.Event) -> None:
        """Start *faults* faults at random intervals; set *is_over* when all have ended."""
        tasks = []
        for kind in self._draw(faults):
            self.log.append(kind.__name__.strip("_"))
            tasks.append(asyncio.create_task(kind()))
            await asyncio.sleep(self._rng.uniform(*self.interval_s))
        await asyncio.gather(*tasks)
        is_over.set()

    def _draw(self, faults: int) -> Iterator[Callable[[], Awaitable[None]]]:
        """Draw the kinds lazily, interleaved with the draws of faults in progress."""
        for _ in range(faults):
            yield self._rng.choice(self._kinds)

    def _draw_duration_s(self) -> float:
        return self._rng.uniform(*_DURATION_S)

    def _draw_entry(self) -> str:
        return self._rng.choice(self._system.entries)

    def _draw_endpoint(self) -> RunEndpoint:
        return self._rng.choice(self._system.endpoints)

    # Entry processes.

    async def _kill_entry(self) -> None:
        await self._kill_one(self._draw_entry())

    async def _kill_one(self, name: str) -> None:
        async with self._locks[name]:
            await self._system.kill(name)
            await asyncio.sleep(self._rng.uniform(0.05, 1.0))
            await self._system.start(name)

    async def _kill_all_entries(self) -> None:
        await asyncio.gather(*(self._kill_one(name) for name in self._system.entries))

    async def _stop_entry(self) -> None:
        name = self._draw_entry()
        async with self._locks[name]:
            await self._stop(name)
            await self._system.start(name)

    async def _stop_all_entries_in_turn(self) -> None:
        for name in self._system.entries:
            async with self._locks[name]:
                await self._stop(name)
                await self._system.start(name)

    async def _stop(self, name: str) -> None:
        """Send SIGTERM; the process must exit in time, with code 0 if it was up."""
        self._system.record_disturbance(name, math.inf)
        process = self._system.processes[name]
        was_up = await self._system.is_up(name)
        process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(_STOP_TIMEOUT_S):
                code = await process.wait()
        except TimeoutError:
            self.violations.append(
                f"{name} did not stop within {_STOP_TIMEOUT_S} s; its log has the stacks"
            )
            await self._system.abort(name)
            return
        if code and (was_up or code != -signal.SIGTERM):
            self.violations.append(f"{name} exited with {code} after SIGTERM")

    async def _freeze_entry(self) -> None:
        await self._freeze(self._draw_entry())

    async def _freeze(self, name: str) -> None:
        box_lock = self._locks.get(name, asyncio.Lock())
        async with box_lock:
            self._system.freeze(name)
            await asyncio.sleep(self._draw_duration_s())
            self._system.thaw(name)

    # Controllers.

    async def _kill_controller(self) -> None:
        if self._controller_lock.locked():
            return
        async with self._controller_lock:
            name = self._rng.choice(self._system.controllers)
            await self._system.kill(name)
            await asyncio.sleep(self._rng.uniform(0.05, 1.0))
            await self._system.start(name)
            await asyncio.sleep(CATCH_UP_S)

    async def _freeze_controller(self) -> None:
        if self._controller_lock.locked():
            return
        async with self._controller_lock:
            await self._freeze(self._rng.choice(self._system.controllers))
            await asyncio.sleep(CATCH_UP_S)

    async def _stop_controller(self) -> None:
        if self._controller_lock.locked():
            return
        async with self._controller_lock:
            name = self._rng.choice(self._system.controllers)
            await self._stop(name)
            await self._system.start(name)
            await asyncio.sleep(CATCH_UP_S)

    async def _wipe_controller(self) -> None:
        if self._controller_lock.locked():
            return
        async with self._controller_lock:
            name = self._rng.choice(self._system.controllers)
            await self._system.kill(name)
            self._system.wipe(name)
            await self._system.start(name)
            await asyncio.sleep(CATCH_UP_S)

    # Endpoints and connections to them.

    async def _silence_endpoint(self) -> None:
        """An endpoint leaves requests unanswered for a while; its runs continue."""
        endpoint = self._draw_endpoint()
        endpoint.is_silent = True
        await asyncio.sleep(self._draw_duration_s())
        endpoint.is_silent = False

    async def _silence_connections(self) -> None:
        """The open connections of an endpoint stay silent; new ones work."""
        self._draw_endpoint().silence_open_connections()

    async def _silence_all_connections(self) -> None:
        for endpoint in self._system.endpoints:
            endpoint.silence_open_connections()

    async def _start_late(self) -> None:
        """An endpoint leaves start requests unanswered and executes them later."""
        endpoint = self._draw_endpoint()
        endpoint.starts_late_s = self._rng.uniform(0.3, 3.0)
        await asyncio.sleep(self._draw_duration_s())
        endpoint.starts_late_s = 0.0

    async def _crash_endpoint(self) -> None:
        """Replace an endpoint at its address; then a late heartbeat of its predecessor arrives."""
        crashed = self._remove_endpoint()
        if crashed is None:
            return
        await crashed.stop()
        await asyncio.sleep(self._rng.uniform(0.0, 1.0))
        successor = await self._start_successor(crashed)
        await asyncio.sleep(self._rng.uniform(0.0, 1.0))
        await crashed.report_again(self._rng.choice(self._system.control_addresses))
        self._system.endpoints.append(successor)

    async def _drain_endpoint(self) -> None:
        """An endpoint reports draining, stops, and is replaced at its address."""
        leaving = self._remove_endpoint()
        if leaving is None:
            return
        leaving.state = "draining"
        await asyncio.sleep(_DRAIN_S)
        await leaving.stop()
        self._system.endpoints.append(await self._start_successor(leaving))

    def _remove_endpoint(self) -> RunEndpoint | None:
        """Remove an endpoint from the system and return it; ``None`` if too few are left."""
        if len(self._system.endpoints) <= len(self._system.entries) // 2 + 1:
            return None
        endpoint = self._draw_endpoint()
        self._system.endpoints.remove(endpoint)
        return endpoint

    async def _start_successor(self, predecessor: RunEndpoint, port: int = 0) -> RunEndpoint:
        """Start the next incarnation under a new id, at the same address or at another port."""
        self._incarnations += 1
        successor = predecessor.next_life(
            f"{predecessor.name.partition('-')[0]}-{self._incarnations}", port=port
        )
        if port:
            await self._system.listen_to_endpoint(successor)
        await successor.start(self._system.control_addresses)
        return successor
