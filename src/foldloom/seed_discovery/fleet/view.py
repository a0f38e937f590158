# SPDX-License-Identifier: MIT
"""This box's view of the fleet: controllers, entry boxes by zone, and zone owners.

In memory only. Fed by join replies, messages from other boxes and owners' heartbeats; entries
remain valid while the controllers are unreachable.
"""

from __future__ import annotations

from typing import NamedTuple

from foldloom.seed_discovery.fleet.messages import BoxRecord, JoinReply, OwnerRecord
from foldloom.settings import ENTRY

# Time without news after which a box is removed. Longer than any partition from the controllers
# that a zone must survive (10 s).
_BOX_EXPIRY_MS = 20_000.0
# Far above the default join interval, below the time until an address is reused.
_CONTROLLER_LIST_TTL_MS = 10_000.0


class _ControllerList(NamedTuple):
    """The controllers listed in one controller's last reply, and its time of arrival."""

    controllers: tuple[str, ...]
    received_ms: float


class FleetView:
    """Known boxes and zone owners; kept while the controllers are unreachable.

    Args:
        own: This box.
        seeds: Addresses of some controllers.
    """

    def __init__(self, own: BoxRecord, seeds: list[str]) -> None:
        self._own = own
        self._seeds = list(seeds)
        self._controller_lists: dict[str, _ControllerList] = {}
        self._boxes: dict[str, BoxRecord] = {}
        self._boxes_received_ms: dict[str, float] = {}
        self._owners: dict[str, OwnerRecord] = {}

    @property
    def own(self) -> BoxRecord:
        """This box."""
        return self._own

    @property
    def controllers(self) -> list[str]:
        """All known controllers and the seeds, without this box."""
        listed = [box for known in self._controller_lists.values() for box in known.controllers]
        known = dict.fromkeys([*listed, *self._seeds])
        return [box for box in known if box != self._own.box]

    @property
    def has_controller_reply(self) -> bool:
        """Whether a controller has answered a join."""
        return bool(self._controller_lists)

    def set_seeds(self, seeds: list[str]) -> None:
        """Replace the seeds."""
        self._seeds = list(seeds)

    def set_leaving(self) -> None:
        """Mark this box as being in a planned stop."""
        self._own = self._own._replace(is_leaving=True)

    def entry_boxes_in(self, zone: str) -> list[str]:
        """Return the entry boxes of *zone*, sorted, including this box if it is one."""
        boxes = [
            record.box
            for record in [*self._boxes.values(), self._own]
            if record.zone == zone and record.role == ENTRY
        ]
        return sorted(set(boxes))

    @property
    def entries(self) -> list[str]:
        """The entry boxes of all zones, sorted, including this box if it is one."""
        boxes = [
            record.box for record in [*self._boxes.values(), self._own] if record.role == ENTRY
        ]
        return sorted(set(boxes))

    def is_leaving(self, box: str) -> bool:
        """Return whether *box* is known to be in a planned stop."""
        record = self._own if box == self._own.box else self._boxes.get(box)
        return record is not None and record.is_leaving

    def owner_of(self, zone: str) -> OwnerRecord:
        """Return the owner of *zone* with the highest known token."""
        return self._owners.get(zone, OwnerRecord(zone))

    @property
    def zones(self) -> list[str]:
        """The zones with a known owner, sorted."""
        return sorted(self._owners)

    def note_owner(self, owner: OwnerRecord) -> None:
        """Record an owner if its token is higher than the known one."""
        if owner.token > self.owner_of(owner.zone).token:
            self._owners[owner.zone] = owner

    def note_box(self, record: BoxRecord, now_ms: float) -> None:
        """Record a box that sent a message or is listed by a controller."""
        if record.box == self._own.box:
            return
        known = self._boxes.get(record.box)
        if known is not None and known.incarnation == record.incarnation and known.is_leaving:
            record = record._replace(is_leaving=True)
        self._boxes[record.box] = record
        self._boxes_received_ms[record.box] = now_ms

    def note_controller(self, sender: str, reply: JoinReply, now_ms: float) -> list[str]:
        """Apply the join reply of controller *sender*; return the boxes that have expired."""
        self._controller_lists[sender] = _ControllerList(tuple(reply.controllers), now_ms)
        for box, known in list(self._controller_lists.items()):
            if now_ms - known.received_ms > _CONTROLLER_LIST_TTL_MS:
                del self._controller_lists[box]
        for record in reply.boxes:
            self.note_box(record, now_ms)
        for owner in reply.owners:
            self.note_owner(owner)
        expired = [
            box
            for box, received_ms in self._boxes_received_ms.items()
            if now_ms - received_ms > _BOX_EXPIRY_MS
        ]
        for box in expired:
            del self._boxes_received_ms[box], self._boxes[box]
        return expired
