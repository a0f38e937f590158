# SPDX-License-Identifier: MIT
"""Changes proposed to a controller, and reads that must be of the newest state.

Owns nothing. Both are for the leader alone; one that does not lead raises who does, if known.
"""

from __future__ import annotations

from typing import Protocol

from foldloom.controllers.commands import Answer
from foldloom.controllers.leader_contact import LeaderContact
from foldloom.controllers.leadership import Leadership
from foldloom.controllers.state import ReplicatedState
from foldloom.exceptions import NotLeaderError, PeerUnreachableError
from foldloom.time_limits import TimeLimit

# Milliseconds for a commit: above several elections.
_PROPOSE_TIMEOUT_MS = 5_000


class Proposer(Protocol):
    """A controller that may lead."""

    contact: LeaderContact

    @property
    def leadership(self) -> Leadership | None:
        """The present term of leading, if any."""

    @property
    def state(self) -> ReplicatedState:
        """The state after all applied entries."""


async def propose(controller: Proposer, payload: bytes) -> Answer:
    """Commit *payload* if *controller* leads, and return its answer.

    Raises:
        NotLeaderError: It does not lead: nothing was appended.
        PeerUnreachableError: It was appended and may still be committed.
    """
    leadership = _leadership_of(controller)
    try:
        async with TimeLimit(_PROPOSE_TIMEOUT_MS):
            return await leadership.propose(payload)
    except (TimeoutError, NotLeaderError):
        raise PeerUnreachableError("no majority confirmed it; it may still be") from None


async def newest_version(controller: Proposer) -> int:
    """Return the newest confirmed version.

    Raises:
        NotLeaderError: This controller does not lead, or can't show it.
    """
    await _leadership_of(controller).barrier()
    return controller.state.config.version


def _leadership_of(controller: Proposer) -> Leadership:
    if controller.leadership is None:
        raise NotLeaderError(controller.contact.leader)
    return controller.leadership
