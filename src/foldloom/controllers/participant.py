# SPDX-License-Identifier: MIT
"""Protocols of a controller as used by its parts, which must not import it."""

from __future__ import annotations

import asyncio
from typing import Protocol

from foldloom.controllers.applied import AppliedState
from foldloom.controllers.leader_contact import LeaderContact
from foldloom.controllers.log import ReplicatedLog
from foldloom.peers.wire import PeerNetwork


class Participant(Protocol):
    """A controller, as used by leaders and followers alike."""

    network: PeerNetwork
    box: str
    election_timeout_ms: int
    log: ReplicatedLog

    @property
    def controllers(self) -> dict[str, str]:
        """The voters, with their storage ids."""

    @property
    def quorum_size(self) -> int:
        """The number of voters in a majority."""

    @property
    def storage_id(self) -> str:
        """The id of this controller's data folder."""

    @property
    def is_first(self) -> bool:
        """Whether an operator formatted this data folder."""

    @property
    def may_vote(self) -> bool:
        """Whether this controller is a voter with its current data folder."""

    def is_voter(self, box: str, storage_id: str, is_first: bool) -> bool:
        """Return whether *box* is a voter with this data folder."""

    def observe_term(self, term: int) -> None:
        """Adopt a peer's newer *term*."""

    def fail(self, error: OSError) -> None:
        """Stop participating until the data folder is reopened."""


class Voter(Participant, Protocol):
    """A controller that votes and may start an election."""

    contact: LeaderContact
    state_lock: asyncio.Lock

    @property
    def leader(self) -> str:
        """The leader's box, or an empty string if unknown."""

    @property
    def is_leading(self) -> bool:
        """Whether this controller considers itself the leader."""

    @property
    def is_failed(self) -> bool:
        """Whether the disk failed and the data folder is not reopened yet."""

    def lead(self) -> None:
        """Become leader in the current term."""


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
        """Whether the disk failed and the data folder is not reopened yet."""

    async def adopt_term(self, term: int) -> None:
        """Adopt *term* durably and step down if it is newer."""

    def follow(self, leader: str) -> None:
        """Accept *leader* as the leader of the current term and restart the election timer."""

    def commit(self, index: int) -> None:
        """Commit and apply the entries up to *index*."""


class StoppingLeader(Participant, Protocol):
    """A controller that is about to stop and may be the leader."""

    @property
    def is_leading(self) -> bool:
        """Whether this controller considers itself the leader."""

    def successor(self) -> str:
        """Return the voter that is ready to take over leadership, or an empty string."""

    def step_down(self) -> None:
        """Stop leading."""
