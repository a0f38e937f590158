# SPDX-License-Identifier: MIT
"""Dispatches messages for a zone's owner to this box's current term, if it has one.

Owns nothing. A box that does not own its zone refuses submissions and steal requests, and answers a
cancel with "may have started".
"""

from __future__ import annotations

from collections.abc import Callable

from foldloom.clock import monotonic_ms
from foldloom.peers.wire import PeerNetwork
from foldloom.seed_discovery.fleet.messages import HeartbeatAck
from foldloom.seed_discovery.fleet.view import FleetView
from foldloom.seed_discovery.owners.messages import (
    CancelJob,
    Cancelled,
    StealReply,
    StealRuns,
    SubmitReply,
    SubmitRuns,
    SubmitStatus,
    WaitingGroups,
)
from foldloom.seed_discovery.owners.zone_owner import ZoneOwner


class OwnerDispatch:
    """Dispatches messages to the owner.

    Args:
        network: The peers.
        view: The other boxes.
        owner: Returns this box's current term as owner, or ``None``.
    """

    def __init__(
        self, network: PeerNetwork, view: FleetView, owner: Callable[[], ZoneOwner | None]
    ) -> None:
        self._view = view
        self._owner = owner
        network.on(HeartbeatAck, self._on_heartbeat_ack)
        network.on(SubmitRuns, self._on_submit)
        network.on(CancelJob, self._on_cancel)
        network.on(WaitingGroups, self._on_waiting)
        network.on(StealRuns, self._on_steal)

    def _on_submit(self, sender: str, message: SubmitRuns) -> SubmitReply:
        owner = self._owner()
        if owner is None:
            return SubmitReply(SubmitStatus.NOT_OWNER, "not the owner")
        return owner.submit(sender, message)

    def _on_cancel(self, sender: str, message: CancelJob) -> Cancelled:
        owner = self._owner()
        if owner is None:
            return Cancelled()
        return owner.cancel(sender, message)

    def _on_waiting(self, _sender: str, message: WaitingGroups) -> None:
        owner = self._owner()
        self._view.note_owner(message.owner)
        if owner is not None:
            owner.handle_offer(message)

    def _on_steal(self, _sender: str, message: StealRuns) -> StealReply:
        owner = self._owner()
        if owner is None:
            return StealReply(0)
        return owner.answer_steal(message)

    def _on_heartbeat_ack(self, sender: str, ack: HeartbeatAck) -> None:
        owner = self._owner()
        if owner is not None:
            self._view.note_box(ack.record, monotonic_ms())
            owner.handle_heartbeat_ack(sender, ack)
