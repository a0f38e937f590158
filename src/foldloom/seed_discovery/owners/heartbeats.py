# SPDX-License-Identifier: MIT
"""The heartbeats of an owner.

Entry boxes acknowledge each heartbeat, which renews the owner's session with them. Heartbeats also
announce the owner and the load of its zone to other zones and to controllers.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from foldloom.clock import monotonic_ms
from foldloom.seed_discovery.fleet.messages import OwnerHeartbeat, OwnerRecord, ZoneLoad
from foldloom.seed_discovery.owners.context import OwnerContext
from foldloom.seed_discovery.owners.holder_confirmations import encode_unconfirmed

# Above this number, heartbeats go only to the own zone's entry boxes (docs/CAPACITY.md).
_BROADCAST_ENTRIES_MAX = 64


class HeartbeatSender:
    """Sends the heartbeats of one owner's term.

    Args:
        record: The owner.
        context: Components of the box.
        load: Returns the load of the zone.
        other_owners: Returns the boxes that own the other zones.
        confirmed_ms: Returns when all boxes that hold runs in the zone were last known to be alive.
    """

    def __init__(
        self,
        record: OwnerRecord,
        context: OwnerContext,
        load: Callable[[], ZoneLoad],
        other_owners: Callable[[], list[str]],
        confirmed_ms: Callable[[float], float],
    ) -> None:
        self._record = record
        self._context = context
        self._load = load
        self._other_owners = other_owners
        self._confirmed_ms = confirmed_ms

    async def run(self) -> None:
        """Send a heartbeat per interval until cancelled."""
        timings = self._context.timings
        while True:
            now_ms = monotonic_ms()
            heartbeat = OwnerHeartbeat(
                self._record,
                self._context.view.own,
                int(now_ms),
                self._context.published_version(),
                self._load(),
                announces_endpoints=True,
                unconfirmed_ms=encode_unconfirmed(self._confirmed_ms(now_ms), now_ms),
            )
            for box in self._recipients():
                self._context.network.send(box, heartbeat, timings.owner_silent_ms)
            await asyncio.sleep(timings.owner_heartbeat_ms / 1_000)

    def _recipients(self) -> list[str]:
        """Return the boxes to send to: entry boxes, owners of other zones and controllers.

        Above ``_BROADCAST_ENTRIES_MAX`` entry boxes, only those of the own zone are included.
        """
        view = self._context.view
        entries = view.entries
        if len(entries) > _BROADCAST_ENTRIES_MAX:
            entries = view.entry_boxes_in(self._record.zone)
        return list(dict.fromkeys([*entries, *self._other_owners(), *view.controllers]))
