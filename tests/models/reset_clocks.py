# SPDX-License-Identifier: MIT
"""Simulated zones in which endpoints that report no births restart with a new clock."""

from __future__ import annotations

import asyncio

from foldloom.clock import monotonic_ms
from models.endpoint_world import SimulatedEndpoint
from models.late_orders import JOB
from models.settled_zones import NEVER_MS, SettledZonesWorld
from models.zones_world import ZONES

_CLOCK_RATE = 0.98
_REDISCOVERED_S = 0.5
_TASK_MS = 1_800.0
_CHECK_S = 0.01


class ClockWorld(SettledZonesWorld):
    """An endpoint restarts under its id without any birth, and its clock starts again."""

    restarts = True

    async def restart_and_run(self, before_s: float, runs_s: float) -> None:
        """Restart all endpoints, run a task, and cut its endpoint off."""
        await asyncio.sleep(before_s)
        if self.restarts:
            for name in self.endpoints:
                self.endpoints[name] = SimulatedEndpoint(name, _CLOCK_RATE, monotonic_ms())
        await asyncio.sleep(_REDISCOVERED_S)
        box = self.boxes_in(ZONES[0])[1]
        call = asyncio.create_task(self.call(box, JOB, 1, _TASK_MS, NEVER_MS))
        while not any(endpoint.active for endpoint in self.endpoints.values()):
            await asyncio.sleep(_CHECK_S)
        await asyncio.sleep(runs_s)
        name = next(name for name, endpoint in self.endpoints.items() if endpoint.active)
        self.trouble.deaf.add(name)
        self.trouble.mute.add(name)
        await call


class SteadyClockWorld(ClockWorld):
    """Without the restart."""

    restarts = False
