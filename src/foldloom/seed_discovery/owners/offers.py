# SPDX-License-Identifier: MIT
"""Work stealing messages to other owners: offers of queued groups and requests for theirs."""

from __future__ import annotations

import asyncio

from foldloom.clock import monotonic_ms
from foldloom.exceptions import PeerUnreachableError
from foldloom.seed_discovery.fleet.messages import OwnerRecord
from foldloom.seed_discovery.owners.actions import StealAction
from foldloom.seed_discovery.owners.context import OwnerContext
from foldloom.seed_discovery.owners.messages import StealReply, StealRuns, WaitingGroups
from foldloom.seed_discovery.owners.state import OwnerState

# Below RESERVATION_TTL_MS, for which capacity is reserved for the stolen runs.
_STEAL_TIMEOUT_MS = 30
# A third of REMOTE_VIEW_TTL_MS, for which the receiver acts on an offer.
_OFFER_TTL_MS = 100
# Bounds the message rate between zones; well below the time that jobs can wait and be in time.
_OFFER_INTERVAL_MIN_S = 0.01


class OfferSender:
    """Sends offers and steal requests in one owner's term.

    Args:
        record: The owner.
        state: The owner's state.
        context: Network, view of the fleet, and metrics.
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
        """Schedule an offer: the queue may have changed."""
        self._has_changed.set()

    async def run(self) -> None:
        """Send offers after queue changes until cancelled; skip repeated empty offers."""
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
        """Request runs from another zone's owner."""
        owner = self._view.owner_of(action.zone)
        message = StealRuns(self._record.zone, action.group, len(action.reservations))
        granted = 0
        try:
            reply: StealReply = await self._network.request(owner.box, message, _STEAL_TIMEOUT_MS)
            granted = reply.runs
        except PeerUnreachableError:
            # Runs granted all the same are submitted here without a reservation.
            self._metrics.count("claims.unanswered")
        self._metrics.count("runs.claimed", granted)
        self._state.handle_steal_reply(action, granted)
