# SPDX-License-Identifier: MIT
"""Which boxes are live: heartbeats between all boxes, and what they carry.

Owns the newest heartbeat of each box. Relies on messages alone: a box is live while its heartbeats
arrive.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from foldloom.clock import monotonic_ms
from foldloom.peers.messages import register
from foldloom.peers.wire import PeerNetwork
from foldloom.settings import Settings

# Lives whose answers went to another box that are known: above the 93 restarts a day to design for,
# over the retention.
_SUCCESSORS_MAX = 1_000


class ShardLoad(NamedTuple):
    """How loaded one lease shard is.

    Args:
        shard: The shard's name.
        free_slots: Slots that could be handed out now.
        queued: Tasks that wait.
        wait_ms: The expected wait of a new task.
    """

    shard: str
    free_slots: int
    queued: int
    wait_ms: float


class Heartbeat(NamedTuple):
    """A box says that it lives.

    Args:
        config_version: The configuration version in force there.
        is_stopping: Whether a planned stop began.
        can_vote: Whether its claim replica has recovered.
        loads: The shards whose lease manager it is.
        successor: At a planned stop, the box that holds its answers.
        is_confirmed_current: Whether it passed a read barrier since it started.
        list_epoch: The newest epoch of the box list that it acknowledges.
    """

    config_version: int
    is_stopping: bool
    can_vote: bool
    loads: list[ShardLoad]
    successor: str = ""
    is_confirmed_current: bool = False
    list_epoch: int = 0


class Successor(NamedTuple):
    """A stopped life of a box, and the box that holds its answers."""

    box: str
    incarnation: int
    successor: str


class KnownSuccessors(NamedTuple):
    """What a box that just started is sent: it may be one whose earlier life has a successor."""

    successors: list[Successor]


register(1, Heartbeat)
register(2, KnownSuccessors, counted_as="KnownHeirs")


class PeerState(NamedTuple):
    """What the last heartbeat of a peer said.

    Args:
        seen_ms: Own monotonic clock at its arrival.
        incarnation: The sender's incarnation then.
        heartbeat: The message.
    """

    seen_ms: float
    incarnation: int
    heartbeat: Heartbeat


class Membership:
    """Send heartbeats and remember those of the peers.

    Args:
        settings: This box's settings.
        network: The peers.
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
        """The last state of every peer in contact, by box."""
        return dict(self._states)

    def is_live(self, box: str) -> bool:
        """Return whether *box* has sent a heartbeat lately."""
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
        """Return who holds the answers of a stopped incarnation of *box*, or ''."""
        return self._successors.get((box, incarnation), "")

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        interval_s = self._settings.timings.heartbeat_ms / 1_000
        while True:
            self.send_heartbeat()
            await asyncio.sleep(interval_s)

    def send_heartbeat(self) -> None:
        """Send one heartbeat to every peer now."""
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
