# SPDX-License-Identifier: MIT
"""What this node knows of the others: controllers, entry nodes by zone, owners of zones."""

from __future__ import annotations

from typing import NamedTuple

from foldloom.fleet.messages import JoinReply, NodeRecord, OwnerRecord
from foldloom.settings import ENTRY

_FORGET_MS = 20_000.0
_LIST_KEPT_MS = 10_000.0


class _ControllerList(NamedTuple):
    """Which controllers one of them named, and when."""

    controllers: tuple[str, ...]
    told_ms: float


class FleetView:
    """Nodes and owners, as controllers and other nodes tell of them.

    What was told stays known while the controllers are silent: a zone goes on without them.

    Args:
        own: This node.
        seeds: Addresses of some controllers.
    """

    def __init__(self, own: NodeRecord, seeds: list[str]) -> None:
        self._own = own
        self._seeds = list(seeds)
        self._lists: dict[str, _ControllerList] = {}
        self._nodes: dict[str, NodeRecord] = {}
        self._told_ms: dict[str, float] = {}
        self._owners: dict[str, OwnerRecord] = {}

    @property
    def own(self) -> NodeRecord:
        """This node."""
        return self._own

    @property
    def controllers(self) -> list[str]:
        """All controllers known, this node excluded; the seeds until others are known."""
        told = [node for known in self._lists.values() for node in known.controllers]
        known = dict.fromkeys([*told, *self._seeds])
        return [node for node in known if node != self._own.node]

    @property
    def is_informed(self) -> bool:
        """Whether any controller has told of the others."""
        return bool(self._lists)

    def set_seeds(self, seeds: list[str]) -> None:
        """Take new seeds from the settings."""
        self._seeds = list(seeds)

    def set_leaving(self) -> None:
        """Note that a planned stop of this node began."""
        self._own = self._own._replace(is_leaving=True)

    def entries_of(self, zone: str) -> list[str]:
        """Return the entry nodes of *zone*, this one included, in a fixed order."""
        nodes = [
            record.node
            for record in [*self._nodes.values(), self._own]
            if record.zone == zone and record.role == ENTRY
        ]
        return sorted(set(nodes))

    @property
    def entries(self) -> list[str]:
        """The entry nodes of all zones, this one included, in a fixed order."""
        nodes = [
            record.node for record in [*self._nodes.values(), self._own] if record.role == ENTRY
        ]
        return sorted(set(nodes))

    def is_leaving(self, node: str) -> bool:
        """Return whether a planned stop of *node* began, as far as known."""
        record = self._own if node == self._own.node else self._nodes.get(node)
        return record is not None and record.is_leaving

    def owner_of(self, zone: str) -> OwnerRecord:
        """Return the owner of *zone* with the highest token heard of."""
        return self._owners.get(zone, OwnerRecord(zone))

    @property
    def zones(self) -> list[str]:
        """The zones whose owner is known."""
        return sorted(self._owners)

    def hear_owner(self, owner: OwnerRecord) -> None:
        """Note an owner, unless a higher token is known."""
        if owner.token > self.owner_of(owner.zone).token:
            self._owners[owner.zone] = owner

    def hear_node(self, record: NodeRecord, now_ms: float) -> None:
        """Note a node that spoke for itself or that a controller told of."""
        if record.node == self._own.node:
            return
        known = self._nodes.get(record.node)
        if known is not None and known.life == record.life and known.is_leaving:
            record = record._replace(is_leaving=True)
        self._nodes[record.node] = record
        self._told_ms[record.node] = now_ms

    def hear_controller(self, sender: str, reply: JoinReply, now_ms: float) -> list[str]:
        """Take what *sender* knows; return the nodes that are known no longer."""
        self._lists[sender] = _ControllerList(tuple(reply.controllers), now_ms)
        for node, known in list(self._lists.items()):
            if now_ms - known.told_ms > _LIST_KEPT_MS:
                del self._lists[node]
        for record in reply.nodes:
            self.hear_node(record, now_ms)
        for owner in reply.owners:
            self.hear_owner(owner)
        lost = [node for node, told in self._told_ms.items() if now_ms - told > _FORGET_MS]
        for node in lost:
            del self._told_ms[node], self._nodes[node]
        return lost
