# SPDX-License-Identifier: MIT
"""Proposals to a controller and linearizable reads; only the leader accepts them."""

from __future__ import annotations

from typing import Protocol

from foldloom.controllers.commands import Answer
from foldloom.controllers.leader_contact import LeaderContact
from foldloom.controllers.leadership import Leadership
from foldloom.controllers.state import ReplicatedState
from foldloom.exceptions import NotLeaderError, PeerUnreachableError
from foldloom.time_limits import SuspendAwareTimeout

# Timeout of a commit, including several elections.
_PROPOSE_TIMEOUT_MS = 5_000


class Proposer(Protocol):
    """A controller that may be the leader."""

    contact: LeaderContact

    @property
    def leadership(self) -> Leadership | None:
        """The current term as leader, or ``None``."""

    @property
    def state(self) -> ReplicatedState:
        """The state after all applied entries."""


async def propose(controller: Proposer, payload: bytes) -> Answer:
    """Commit *payload* if *controller* is the leader, and return its answer.

    Raises:
        NotLeaderError: It is not the leader, and nothing was appended.
        PeerUnreachableError: The payload was appended and may still be committed.
    """
    leadership = _leadership_of(controller)
    try:
        async with SuspendAwareTimeout(_PROPOSE_TIMEOUT_MS):
            return await leadership.propose(payload)
    except (TimeoutError, NotLeaderError):
        raise PeerUnreachableError("not confirmed by a majority; it may still commit") from None


async def newest_version(controller: Proposer) -> int:
    """Return the newest confirmed version.

    Raises:
        NotLeaderError: Leadership was not confirmed by a majority.
    """
    await _leadership_of(controller).barrier()
    return controller.state.config.version


def _leadership_of(controller: Proposer) -> Leadership:
    if controller.leadership is None:
        raise NotLeaderError(controller.contact.leader)
    return controller.leadership
