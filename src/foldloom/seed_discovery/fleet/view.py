# SPDX-License-Identifier: MIT
"""What this box knows of the others: controllers, entry boxes by zone, owners of zones.

Owns that knowledge, in memory. It comes from controllers' replies, from boxes that spoke for
themselves, and from owners' heartbeats; it outlives silent controllers.
"""

from __future__ import annotations

from typing import NamedTuple

from foldloom.seed_discovery.fleet.messages import BoxRecord, JoinReply, OwnerRecord
from foldloom.settings import ENTRY

# Milliseconds after which a box that nobody mentions is forgotten: far above the longest cuts on
# the users' bench (10 s), since a zone goes on without controllers.
_BOX_EXPIRY_MS = 20_000.0
# Milliseconds for which a controller's list of controllers counts: far above the interval between
# joins (250 ms), below the time in which an address is used again.
_CONTROLLER_LIST_TTL_MS = 10_000.0


class _ControllerList(NamedTuple):
    """Which controllers one of them named, and when."""

    controllers: tuple[str, ...]
    received_ms: float


class FleetView:
    """Boxes and owners, as known from controllers and other boxes.

    What is known stays known while the controllers are silent: a zone goes on without them.

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
        """All controllers known, this box excluded; the seeds until others are known."""
        listed = [box for known in self._controller_lists.values() for box in known.controllers]
        known = dict.fromkeys([*listed, *self._seeds])
        return [box for box in known if box != self._own.box]

    @property
    def is_informed(self) -> bool:
        """Whether any controller has answered yet."""
        return bool(self._controller_lists)

    def set_seeds(self, seeds: list[str]) -> None:
        """Use new seeds from the settings."""
        self._seeds = list(seeds)

    def set_leaving(self) -> None:
        """Note that a planned stop of this box began."""
        self._own = self._own._replace(is_leaving=True)

    def entries_of(self, zone: str) -> list[str]:
        """Return the entry boxes of *zone*, this one included, in a fixed order."""
        boxes = [
            record.box
            for record in [*self._boxes.values(), self._own]
            if record.zone == zone and record.role == ENTRY
        ]
        return sorted(set(boxes))

    @property
    def entries(self) -> list[str]:
        """The entry boxes of all zones, this one included, in a fixed order."""
        boxes = [
            record.box for record in [*self._boxes.values(), self._own] if record.role == ENTRY
        ]
        return sorted(set(boxes))

    def is_leaving(self, box: str) -> bool:
        """Return whether a planned stop of *box* began, as far as known."""
        record = self._own if box == self._own.box else self._boxes.get(box)
        return record is not None and record.is_leaving

    def owner_of(self, zone: str) -> OwnerRecord:
        """Return the owner of *zone* with the highest token known."""
        return self._owners.get(zone, OwnerRecord(zone))

    @property
    def zones(self) -> list[str]:
        """The zones whose owner is known."""
        return sorted(self._owners)

    def note_owner(self, owner: OwnerRecord) -> None:
        """Note an owner, unless a higher token is known."""
        if owner.token > self.owner_of(owner.zone).token:
            self._owners[owner.zone] = owner

    def note_box(self, record: BoxRecord, now_ms: float) -> None:
        """Note a box that sent a message or that a controller named."""
        if record.box == self._own.box:
            return
        known = self._boxes.get(record.box)
        if known is not None and known.life == record.life and known.is_leaving:
            record = record._replace(is_leaving=True)
        self._boxes[record.box] = record
        self._boxes_received_ms[record.box] = now_ms

    def note_controller(self, sender: str, reply: JoinReply, now_ms: float) -> list[str]:
        """Note what controller *sender* knows; return the boxes that are known no longer."""
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
