# SPDX-License-Identifier: MIT
"""An owner's heartbeats: who gets them, and what they carry.

Owns nothing. A box acknowledges each heartbeat of its zone's owner, which grants it the right to
run the box's tasks for the session time; boxes of other zones and controllers learn from them who
owns the zone and how loaded it is.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from foldloom.clock import monotonic_ms
from foldloom.seed_discovery.fleet.messages import OwnerHeartbeat, OwnerRecord, ZoneLoad
from foldloom.seed_discovery.owners.context import OwnerContext

# Entry boxes in all zones up to which heartbeats go to all of them, to bound the messages of large
# fleets (docs/CAPACITY.md).
_BROADCAST_ENTRIES_MAX = 64


class HeartbeatSender:
    """Send the heartbeats of one owner's term.

    Args:
        record: The owner.
        context: The peers, the other boxes, and intervals.
        load: Returns how loaded the zone is.
        other_owners: Returns the boxes that own the other zones.
    """

    def __init__(
        self,
        record: OwnerRecord,
        context: OwnerContext,
        load: Callable[[], ZoneLoad],
        other_owners: Callable[[], list[str]],
    ) -> None:
        self._record = record
        self._context = context
        self._load = load
        self._other_owners = other_owners

    async def run(self) -> None:
        """Send a heartbeat each interval, until cancelled."""
        timings = self._context.timings
        while True:
            heartbeat = OwnerHeartbeat(
                self._record,
                self._context.view.own,
                int(monotonic_ms()),
                self._context.published_version(),
                self._load(),
            )
            for box in self._recipients():
                self._context.network.send(box, heartbeat, timings.owner_silent_ms)
            await asyncio.sleep(timings.owner_heartbeat_ms / 1_000)

    def _recipients(self) -> list[str]:
        """Return all entry boxes, or while they are too many, those of the own zone."""
        view = self._context.view
        entries = view.entries
        if len(entries) > _BROADCAST_ENTRIES_MAX:
            entries = view.entries_of(self._record.zone)
        return list(dict.fromkeys([*entries, *self._other_owners(), *view.controllers]))
