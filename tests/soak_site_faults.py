# SPDX-License-Identifier: MIT
"""Faults of a whole site, of clocks, storage and settings files, added to those of single boxes.

Only one controller is disturbed at a time, except when the whole site restarts.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable, Collection, Iterator

from soak_faults import CATCH_UP_S, Faults
from soak_system import SiteSystem

# Range of the interval between the two restarts of a site fault.
_BETWEEN_RESTARTS_S = (1.0, 8.0)
# Range of an entry process's freeze, shorter than its callers' timeout.
_FREEZE_S = (0.4, 1.3)
# Maximum number of site faults in one run; each takes about 10 s.
_SITE_RESTARTS_MAX = 2
# Ranges of the interval between settings file changes, and of their number.
_RELOAD_GAP_S = (0.01, 0.3)
_RELOADS = (3, 8)
# Sizes of a wall-clock step, forward or back.
_CLOCK_STEPS_S = (0.5, 5.0, 60.0, 3_600.0, 86_400.0)
# Bytes that a full disk still accepts, so that a record may be truncated.
_BYTES_LEFT_MAX = 200

_FaultMethod = Callable[[], Awaitable[None]]


class SiteFaults(Faults):
    """The faults of one soak run on a whole site.

    Args:
        system: The system under test.
        rng: Random generator for the faults.
        allowed_kinds: Names of the kinds to draw from; empty for all.
    """

    # Longer than for single processes, so that jobs run between site restarts.
    interval_s = (0.3, 2.0)

    def __init__(
        self, system: SiteSystem, rng: random.Random, allowed_kinds: Collection[str] = ()
    ) -> None:
        super().__init__(system, rng)
        self._site = system
        self._site_lock = asyncio.Lock()
        self._site_restarts = 0
        self.fault_counts: Counter[str] = Counter()
        weights: list[tuple[_FaultMethod, int]] = [
            (self._hold_up_entries, 6),
            (self._kill_site, 2),
            (self._stop_site, 1),
            (self._reload_settings, 3),
            (self._step_clocks, 3),
            (self._refuse_storage, 2),
            (self._stall_storage, 2),
        ]
        for kind, weight in weights:
            self._kinds += [kind] * weight
        if allowed_kinds:
            self._kinds = [
                kind for kind in self._kinds if kind.__name__.strip("_") in allowed_kinds
            ]

    def _draw(self, faults: int) -> Iterator[_FaultMethod]:
        """Draw all kinds up front, so that a seed always has the same ones."""
        return iter(self._rng.choices(self._kinds, k=faults))

    # The whole site.

    async def _kill_site(self) -> None:
        await self._restart_site("kill_site", self._kill_all_at_once)

    async def _stop_site(self) -> None:
        await self._restart_site("stop_site", self._stop_all_at_once)

    async def _restart_site(self, kind: str, stop_all: _FaultMethod) -> None:
        """End and restart all processes together, twice."""
        if self._site_lock.locked() or self._site_restarts >= _SITE_RESTARTS_MAX:
            return
        self._site_restarts += 1
        self.fault_counts[kind] += 1
        async with self._site_lock, self._controller_lock:
            async with self._all_entries():
                await self._restart_all(stop_all)
                await asyncio.sleep(self._rng.uniform(*_BETWEEN_RESTARTS_S))
                await self._restart_all(stop_all)
            await asyncio.sleep(CATCH_UP_S)

    @contextlib.asynccontextmanager
    async def _all_entries(self) -> AsyncIterator[None]:
        """Hold the locks of all entry processes."""
        async with contextlib.AsyncExitStack() as stack:
            for name in self._system.entries:
                await stack.enter_async_context(self._locks[name])
            yield

    async def _restart_all(self, stop_all: _FaultMethod) -> None:
        await stop_all()
        await asyncio.sleep(self._rng.uniform(0.05, 1.0))
        await asyncio.gather(*(self._system.start(name) for name in self._site.box_names))

    async def _kill_all_at_once(self) -> None:
        """Kill all processes; half of the time one entry process is frozen first."""
        if self._rng.random() < 0.5:
            self._system.freeze(self._draw_entry())
            await asyncio.sleep(self._rng.uniform(*_FREEZE_S))
        await asyncio.gather(*(self._system.kill(name) for name in self._site.box_names))

    async def _stop_all_at_once(self) -> None:
        await asyncio.gather(*(self._stop(name) for name in self._site.box_names))

    # Entry processes.

    async def _hold_up_entries(self) -> None:
        """Freeze one or two entry processes, each for less than its callers' timeout."""
        self.fault_counts["hold_up_entries"] += 1
        names = self._rng.sample(self._system.entries, self._rng.choice([1, 1, 2]))
        await asyncio.gather(*(self._freeze_briefly(name) for name in names))

    async def _freeze_briefly(self, name: str) -> None:
        async with self._locks[name]:
            self._system.freeze(name)
            await asyncio.sleep(self._rng.uniform(*_FREEZE_S))
            self._system.thaw(name)

    # Settings files and clocks.

    async def _reload_settings(self) -> None:
        """Reload settings concurrently; those of controllers only if none is disturbed."""
        names = self._rng.sample(self._system.entries, len(self._system.entries) // 2 + 1)
        reloads = [self._reload_entry_process(name) for name in names]
        await asyncio.gather(self._reload_controllers(), *reloads)

    async def _reload_entry_process(self, name: str) -> None:
        async with self._locks[name]:
            await self._reload_repeatedly(name)

    async def _reload_controllers(self) -> None:
        if self._controller_lock.locked():
            return
        async with self._controller_lock:
            await asyncio.gather(
                *(self._reload_repeatedly(one) for one in self._system.controllers)
            )

    async def _reload_repeatedly(self, name: str) -> None:
        """Write shuffled seeds, sometimes truncated, and send SIGHUP; the last file is complete.

        Skips a process that does not answer HTTP yet: without its handler SIGHUP would kill it.
        """
        if not await self._system.is_up(name):
            return
        self.fault_counts["reload_settings"] += 1
        for _ in range(self._rng.randint(*_RELOADS)):
            self._write_seeds(name, is_truncated=self._rng.random() < 0.2)
            if self._rng.random() < 0.8:
                self._system.processes[name].send_signal(signal.SIGHUP)
            await asyncio.sleep(self._rng.uniform(*_RELOAD_GAP_S))
        self._write_seeds(name, is_truncated=False)
        self._system.processes[name].send_signal(signal.SIGHUP)

    def _write_seeds(self, name: str, is_truncated: bool) -> None:
        seeds = self._system.control_addresses
        self._rng.shuffle(seeds)
        self._site.write_seeds(name, seeds, is_truncated)

    async def _step_clocks(self) -> None:
        """Step the wall clocks of two boxes; the offset stays until the next step."""
        self.fault_counts["step_clocks"] += 1
        for name in self._rng.sample(self._site.launched_boxes, 2):
            step_s = self._rng.choice(_CLOCK_STEPS_S) * self._rng.choice([-1, 1])
            self._site.step_clock(name, step_s)

    # Storage.

    async def _refuse_storage(self) -> None:
        """Make a controller's disk full for a while."""
        async with self._lock_controller("refuse_storage") as name:
            if name:
                self._site.refuse_writes(name, self._rng.randint(0, _BYTES_LEFT_MAX))
                await asyncio.sleep(self._draw_duration_s())
                self._site.accept_writes(name)

    async def _stall_storage(self) -> None:
        """Block every fsync of a controller for a while."""
        async with self._lock_controller("stall_storage") as name:
            if name:
                self._site.stall_storage(name, is_stalled=True)
                await asyncio.sleep(self._draw_duration_s())
                self._site.stall_storage(name, is_stalled=False)

    @contextlib.asynccontextmanager
    async def _lock_controller(self, kind: str) -> AsyncIterator[str]:
        """Lock and yield a controller, then let it catch up; yield "" if the kind was played."""
        if self.fault_counts[kind]:
            yield ""
            return
        self.fault_counts[kind] += 1
        async with self._controller_lock:
            yield self._rng.choice(self._system.controllers)
            await asyncio.sleep(CATCH_UP_S)
