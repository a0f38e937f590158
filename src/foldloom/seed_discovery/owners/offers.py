# SPDX-License-Identifier: MIT
"""What an owner sends to the owners of other zones: its waiting work, and requests to steal theirs.

Owns the note that the queue has changed since it was last offered. Relies on the owner's state for
what waits, and on the view of the other boxes for who owns which zone.
"""

from __future__ import annotations

import asyncio

from foldloom.clock import monotonic_ms
from foldloom.exceptions import PeerUnreachableError
from foldloom.seed_discovery.fleet.messages import OwnerRecord
from foldloom.seed_discovery.owners.actions import StealAction
from foldloom.seed_discovery.owners.context import OwnerContext
from foldloom.seed_discovery.owners.messages import StealReply, StealRuns, WaitingGroups
from foldloom.seed_discovery.owners.state import OwnerState

# Milliseconds that an owner waits for the reply of another zone's, because the room reserved for
# the runs is kept for 40 ms (RESERVED_MS), which must be longer.
_STEAL_TIMEOUT_MS = 30
# Milliseconds for which an offer is of use; the next one replaces it: a third of the time for which
# other owners act on it (VIEW_KEPT_MS).
_OFFER_TTL_MS = 100
# Seconds between two offers at least, to bound messages between zones, which cost, while a job's
# objective is 60 ms and more.
_OFFER_INTERVAL_MIN_S = 0.003


class OfferSender:
    """Offer waiting runs to other zones, and steal theirs, for one owner's term.

    Args:
        record: The owner.
        state: The owner's state.
        context: The peers, the other boxes, and counters.
    """

    def __init__(self, record: OwnerRecord, state: OwnerState, context: OwnerContext) -> None:
        self._record = record
        self._state = state
        self._view = context.view
        self._network = context.network
        self._metrics = context.metrics
        self._has_changed = asyncio.Event()

    @property
    def other_owners(self) -> list[str]:
        """The boxes that own the other zones."""
        owners = [self._view.owner_of(zone) for zone in self._view.zones]
        return [owner.box for owner in owners if owner.zone != self._record.zone]

    def note_changed(self) -> None:
        """Note that what waits may have changed."""
        self._has_changed.set()

    async def run(self) -> None:
        """Offer what waits soon after it changes, until cancelled; an empty offer once."""
        was_nonempty = False
        while True:
            await self._has_changed.wait()
            self._has_changed.clear()
            groups = self._state.offer(monotonic_ms())
            if groups or was_nonempty:
                message = WaitingGroups(self._record, groups)
                for box in self.other_owners:
                    self._network.send(box, message, _OFFER_TTL_MS)
            was_nonempty = bool(groups)
            await asyncio.sleep(_OFFER_INTERVAL_MIN_S)

    async def steal(self, action: StealAction) -> None:
        """Ask another zone's owner for runs that wait there."""
        owner = self._view.owner_of(action.zone)
        message = StealRuns(self._record.zone, action.group, len(action.reservations))
        granted = 0
        try:
            reply: StealReply = await self._network.request(owner.box, message, _STEAL_TIMEOUT_MS)
            granted = reply.runs
        except PeerUnreachableError:
            # Runs that were given all the same are delivered here without a reservation.
            self._metrics.count("claims.unanswered")
        self._metrics.count("runs.claimed", granted)
        self._state.note_stolen(action, granted)
