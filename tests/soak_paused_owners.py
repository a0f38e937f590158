# SPDX-License-Identifier: MIT
"""Owners of a zone that are paused in turn while all endpoints of the zone restart.

The owner is paused with SIGSTOP, and then the box that acquires the zone. The endpoints restart
under new ids, without a fencing token, before the first owner resumes, which still takes itself for
the owner. The next owner resumes with a catalog from before the restart; mostly it is also cut off
from the controllers for a while.
"""

from __future__ import annotations

import asyncio
import random
import time

from cluster import free_port
from link_proxy import Fault, Kind, Link
from proxied_system import ProxiedSystem
from soak_callers import Callers
from soak_faults import Faults

# Until another box must have acquired the zone of a paused owner.
_ACQUISITION_MAX_S = 3.0
_CLAIM_CHECK_S = 0.1
# Range of the time from the acquisition of the zone until its endpoints end.
_END_AFTER_S = (0.0, 0.5)
# Range of the endpoints' downtime.
_DOWN_S = (0.0, 1.0)
# Share of restarts at new ports. At an old port, the next owner learns from the successor's answer
# that an endpoint has ended.
_NEW_PORTS_SHARE = 0.25
# Range of the time from the end of the endpoints until the next owner is paused; negative: before.
_PAUSE_AFTER_S = (-0.1, 0.1)
# Range of the time for which both owners are paused.
_BOTH_PAUSED_S = (0.0, 0.6)
# Range of the time for which the second one is paused from there.
_SECOND_PAUSE_S = (0.6, 3.0)
# Share of second pauses in which the box is also cut off from the controllers, and the range of the
# time for which it stays so after it has resumed.
_CUT_SHARE = 0.8
_CUT_LONGER_S = (0.05, 0.5)


class LongTaskCallers(Callers):
    """Callers whose tasks run for long enough that two owners' runs of a task would overlap."""

    task_ms = (300, 500, 700, 900)
    task_milli = 2_000


class PausedOwnersFaults(Faults):
    """The usual faults, and owners of a zone that are paused in turn.

    Args:
        system: The system under test.
        rng: Random generator for the faults.
    """

    # Pauses in different zones overlap, those in the same zone follow each other.
    interval_s = (0.2, 1.5)

    def __init__(self, system: ProxiedSystem, rng: random.Random) -> None:
        super().__init__(system, rng)
        self._proxy = system.proxy
        self._zones = sorted({system.zone_of(name) for name in system.entries})
        self._zone_locks = {zone: asyncio.Lock() for zone in self._zones}
        self._kinds = [
            *[self._pause_owners_in_turn] * 20,
            self._kill_entry,
            self._stop_entry,
            self._freeze_entry,
            self._freeze_controller,
            self._kill_controller,
            self._silence_connections,
            self._crash_endpoint,
        ]

    async def _pause_owners_in_turn(self) -> None:
        zone = self._rng.choice(self._zones)
        end_after_s, pause_after_s, both_paused_s, second_pause_s, cut_longer_s = (
            self._rng.uniform(*range_s)
            for range_s in (
                _END_AFTER_S,
                _PAUSE_AFTER_S,
                _BOTH_PAUSED_S,
                _SECOND_PAUSE_S,
                _CUT_LONGER_S,
            )
        )
        async with self._zone_locks[zone]:
            first = self._system.zone_claims(zone)[-1].box
            async with self._locks[first]:
                # Read again, since it may have been restarted meanwhile.
                token = self._system.zone_claims(zone)[-1].token
                self._system.freeze(first)
                second = await self._next_owner(zone, token)
                if not second:
                    self._system.thaw(first)
                    return
                await asyncio.sleep(end_after_s)
                async with self._locks[second]:
                    with self._proxy.inject(self._draw_cut(second)):
                        restart = asyncio.create_task(
                            self._restart_endpoints(zone, max(0.0, -pause_after_s))
                        )
                        await asyncio.sleep(max(0.0, pause_after_s))
                        self._system.freeze(second)
                        await restart
                        await asyncio.sleep(both_paused_s)
                        self._system.thaw(first)
                        await asyncio.sleep(second_pause_s)
                        self._system.thaw(second)
                        await asyncio.sleep(cut_longer_s)

    def _draw_cut(self, name: str) -> Fault:
        """Cut a box off from the controllers, or, in a part of the cases, from nothing."""
        if self._rng.random() > _CUT_SHARE:
            return Fault(lambda _link: False)
        controllers = set(self._system.controllers)

        def between(link: Link) -> bool:
            ends = {link.sender, link.receiver}
            return link.kind is Kind.PEER and name in ends and bool(ends & controllers)

        if self._rng.random() < 0.5:
            return Fault(between, is_refusing=True)
        return Fault(between, holds_requests=True, holds_responses=True)

    async def _next_owner(self, zone: str, token: int) -> str:
        """Return the box that acquires *zone* after the owner with *token*; "" if none does."""
        deadline_s = time.monotonic() + _ACQUISITION_MAX_S
        while time.monotonic() < deadline_s:
            claim = self._system.zone_claims(zone)[-1]
            if claim.token > token:
                return claim.box
            await asyncio.sleep(_CLAIM_CHECK_S)
        return ""

    async def _restart_endpoints(self, zone: str, delay_s: float) -> None:
        """Kill all endpoints of *zone* after a delay, then start each under a new id."""
        down_s = self._rng.uniform(*_DOWN_S)
        has_new_ports = self._rng.random() < _NEW_PORTS_SHARE
        await asyncio.sleep(delay_s)
        killed = [one for one in self._system.endpoints if one.zone == zone]
        for endpoint in killed:
            self._system.endpoints.remove(endpoint)
        await asyncio.gather(*(endpoint.kill() for endpoint in killed))
        await asyncio.sleep(down_s)
        for endpoint in killed:
            port = free_port() if has_new_ports else 0
            self._system.endpoints.append(await self._start_successor(endpoint, port))
