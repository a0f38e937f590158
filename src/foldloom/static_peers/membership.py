# SPDX-License-Identifier: MIT
"""Membership: heartbeats between all boxes, and the successors of stopped boxes.

Owns the latest heartbeat of each peer. A peer is live if its last heartbeat is recent.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from foldloom.clock import monotonic_ms
from foldloom.peers.messages import register
from foldloom.peers.wire import PeerNetwork
from foldloom.settings import Settings

# Maximum number of successors remembered; exceeds the planned stops within the retention time.
_SUCCESSORS_MAX = 1_000


class ShardLoad(NamedTuple):
    """Load of one lease shard.

    Args:
        shard: The shard's name.
        free_slots: Number of slots available now.
        queued: Number of queued tasks.
        wait_ms: Expected queueing time of a new task.
    """

    shard: str
    free_slots: int
    queued: int
    wait_ms: float


class Heartbeat(NamedTuple):
    """Periodic message of a live box to every peer.

    Args:
        config_version: The configuration version in effect on the sender.
        is_stopping: Whether a planned stop has begun.
        can_vote: Whether the sender's claim replica has recovered.
        loads: Loads of the shards managed by the sender.
        successor: At a planned stop, the box that holds the sender's responses.
        is_confirmed_current: Whether the sender has passed a read barrier since it started.
        list_epoch: The newest box list epoch that the sender acknowledges.
    """

    config_version: int
    is_stopping: bool
    can_vote: bool
    loads: list[ShardLoad]
    successor: str = ""
    is_confirmed_current: bool = False
    list_epoch: int = 0


class Successor(NamedTuple):
    """A stopped incarnation of a box, and the box that holds its responses."""

    box: str
    incarnation: int
    successor: str


class KnownSuccessors(NamedTuple):
    """All known successors, sent to a peer at the first heartbeat of its incarnation."""

    successors: list[Successor]


register(1, Heartbeat)
register(2, KnownSuccessors, counted_as="KnownHeirs")


class PeerState(NamedTuple):
    """The last heartbeat of a peer.

    Args:
        seen_ms: Arrival time on this box's monotonic clock.
        incarnation: The sender's incarnation at arrival.
        heartbeat: The message.
    """

    seen_ms: float
    incarnation: int
    heartbeat: Heartbeat


class Membership:
    """Sends heartbeats to the peers and stores theirs.

    Args:
        settings: This box's settings.
        network: Messages to and from the peers.
        next_heartbeat: Returns this box's next heartbeat.
    """

    def __init__(
        self, settings: Settings, network: PeerNetwork, next_heartbeat: Callable[[], Heartbeat]
    ) -> None:
        self._settings = settings
        self._network = network
        self._next_heartbeat = next_heartbeat
        self._states: dict[str, PeerState] = {}
        self._successors: dict[tuple[str, int], str] = {}
        network.on(Heartbeat, self._on_heartbeat)
        network.on(KnownSuccessors, self._on_successors)

    @property
    def states(self) -> dict[str, PeerState]:
        """The last state of every peer that has sent a heartbeat, by box."""
        return dict(self._states)

    def is_live(self, box: str) -> bool:
        """Return whether *box* has sent a heartbeat within ``peer_silent_ms``."""
        if box == self._settings.box:
            return True
        state = self._states.get(box)
        if state is None:
            return False
        return monotonic_ms() - state.seen_ms < self._settings.timings.peer_silent_ms

    def is_serving(self, box: str) -> bool:
        """Return whether *box* is live and not in a planned stop."""
        if not self.is_live(box):
            return False
        if box == self._settings.box:
            return not self._next_heartbeat().is_stopping
        return not self._states[box].heartbeat.is_stopping

    def successor_of(self, box: str, incarnation: int) -> str:
        """Return the box that holds the responses of a stopped incarnation of *box*, or ''."""
        return self._successors.get((box, incarnation), "")

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        interval_s = self._settings.timings.heartbeat_ms / 1_000
        while True:
            self.send_heartbeat()
            await asyncio.sleep(interval_s)

    def send_heartbeat(self) -> None:
        """Send a heartbeat to every peer now."""
        heartbeat = self._next_heartbeat()
        ttl_ms = self._settings.timings.peer_silent_ms
        for box in self._network.peer_names:
            self._network.send(box, heartbeat, ttl_ms)

    def _on_heartbeat(self, sender: str, heartbeat: Heartbeat) -> None:
        incarnation = self._network.known_incarnation(sender)
        previous = self._states.get(sender)
        if self._successors and (previous is None or previous.incarnation < incarnation):
            successors = [
                Successor(box, stopped_incarnation, successor)
                for (box, stopped_incarnation), successor in self._successors.items()
            ]
            self._network.send(sender, KnownSuccessors(successors))
        self._states[sender] = PeerState(monotonic_ms(), incarnation, heartbeat)
        if heartbeat.successor:
            self._record_successor(Successor(sender, incarnation, heartbeat.successor))

    def _on_successors(self, _sender: str, message: KnownSuccessors) -> None:
        for successor in message.successors:
            self._record_successor(successor)

    def _record_successor(self, successor: Successor) -> None:
        self._successors[successor.box, successor.incarnation] = successor.successor
        while len(self._successors) > _SUCCESSORS_MAX:
            del self._successors[next(iter(self._successors))]
