# SPDX-License-Identifier: MIT
"""Simulated zones in which an endpoint with a run deregisters, and ends some time later."""

from __future__ import annotations

import asyncio

from foldloom.clock import monotonic_ms
from foldloom.seed_discovery.endpoints.records import EndpointState
from models.settled_zones import NEVER_MS, SettledZonesWorld, run_in_settled_zones
from models.zones_world import ZONES

JOB = "c" * 16
# Outlasts the endpoint's end and the election of an owner.
_TASK_MS = 1_400.0
_STARTED_S = 0.1
# An owner tells a box that a start has been answered together with the next notice.
_NEXT_JOB = "d" * 16
_NEXT_TASK_MS = 20.0
# How long a controller waits for a box that does not acknowledge a notification.
_ANSWERED_AFTER_S = 0.35
# When an endpoint ends whose deregistration is not answered.
_UNANSWERED_AFTER_S = 1.0
_CHECK_S = 0.001
# Just after a poll: the next owner begins well before the lease expires.
_LEASE_LEFT_MS = 595.0


class DeregisteredEndpointWorld(SettledZonesWorld):
    """Zones whose endpoints never reuse their ids."""

    async def deregister(self, *, is_owner_killed: bool) -> None:
        """Deregister the endpoint of a run; it ends when its deregistration is answered.

        The owner may be killed just then, before it hears of the deregistration, whose answer is
        lost.
        """
        owner, box = self.boxes_in(ZONES[0])
        self.conditions.cuts |= self.cuts_between_zones()
        call = asyncio.create_task(self.call(box, JOB, 1, _TASK_MS, NEVER_MS))
        await asyncio.sleep(_STARTED_S)
        await self.call(box, _NEXT_JOB, 1, _NEXT_TASK_MS, NEVER_MS)
        name = self.starts[JOB][0].endpoint
        record = next(known for known in self.records if known.endpoint == name)
        self.tell(record._replace(state=EndpointState.DRAINING, sequence=record.sequence + 1))
        while self.endpoints[name].lease_left_ms(monotonic_ms()) < _LEASE_LEFT_MS:
            await asyncio.sleep(_CHECK_S)
        if is_owner_killed:
            self.kill_box(owner)
        self.send_deregistration(name)
        ends_after_s = _UNANSWERED_AFTER_S if is_owner_killed else _ANSWERED_AFTER_S
        self._call_later(ends_after_s, lambda: self._end(name))
        await call

    def _end(self, name: str) -> None:
        self.endpoints[name].active.clear()
        self.trouble.deaf.add(name)


def run_scenario(seed: int, *, is_owner_killed: bool) -> DeregisteredEndpointWorld:
    """Play the scenario in settled zones."""
    return run_in_settled_zones(
        DeregisteredEndpointWorld,
        seed,
        lambda world: world.deregister(is_owner_killed=is_owner_killed),
        are_births_known=False,
    )
