# SPDX-License-Identifier: MIT
"""What the parts of a controller need of it: elections, leading, following, a planned stop.

Owns nothing: protocols, so that no part imports the controller, which makes them.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from foldloom.controllers.applied import AppliedState
from foldloom.controllers.leader_contact import LeaderContact
from foldloom.controllers.log import ReplicatedLog
from foldloom.peers.wire import PeerNetwork


class Participant(Protocol):
    """A controller as both see it."""

    network: PeerNetwork
    box: str
    election_timeout_ms: int
    log: ReplicatedLog

    @property
    def controllers(self) -> dict[str, str]:
        """The controllers that count, and their data folders' ids."""

    @property
    def quorum_size(self) -> int:
        """How many controllers are more than half."""

    @property
    def storage_id(self) -> str:
        """This data folder's id."""

    @property
    def is_first(self) -> bool:
        """Whether an operator formatted this data folder."""

    @property
    def may_vote(self) -> bool:
        """Whether this controller's memory counts."""

    def is_voter(self, box: str, storage_id: str, is_first: bool) -> bool:
        """Return whether the configuration counts *box* with this data folder."""

    def observe_term(self, term: int) -> None:
        """Adopt a newer *term* that a peer is in."""

    def fail(self, error: OSError) -> None:
        """Take no part until the data folder can be opened again."""


class Voter(Participant, Protocol):
    """A controller that may stand for election, and votes."""

    contact: LeaderContact
    state_lock: asyncio.Lock

    @property
    def leader(self) -> str:
        """The leader's box as far as known, or an empty string."""

    @property
    def is_leading(self) -> bool:
        """Whether this controller leads, as far as it knows."""

    @property
    def is_failed(self) -> bool:
        """Whether the disk failed: this controller takes no part."""

    def lead(self) -> None:
        """Begin to lead in the present term."""


class Leader(Participant, Protocol):
    """A controller that leads."""

    applied: AppliedState

    def commit(self, index: int) -> None:
        """Commit and apply the entries up to *index*."""

    def step_down(self) -> None:
        """Stop leading."""


class Replica(Participant, Protocol):
    """A controller that follows a leader."""

    applied: AppliedState
    contact: LeaderContact
    state_lock: asyncio.Lock

    @property
    def is_failed(self) -> bool:
        """Whether the disk failed: this controller takes no part."""

    async def adopt_term(self, term: int) -> None:
        """Adopt *term* durably if it is newer, and stop leading."""

    def follow(self, leader: str) -> None:
        """Note that *leader* leads in the present term, and is in contact."""

    def commit(self, index: int) -> None:
        """Commit and apply the entries up to *index*."""


class StoppingLeader(Participant, Protocol):
    """A controller that may lead and is about to stop."""

    @property
    def is_leading(self) -> bool:
        """Whether this controller leads, as far as it knows."""

    def successor(self) -> str:
        """Return the controller that could lead at once in this leader's place, or ''."""

    def step_down(self) -> None:
        """Stop leading."""
