# SPDX-License-Identifier: MIT
"""What other boxes ask of a controller: commit a command, name the newest version, count a voter.

Owns nothing but the handlers. Relies on its controller: one that does not lead names who does.
"""

from __future__ import annotations

from typing import Protocol

from foldloom.controllers.commands import Answer
from foldloom.controllers.leadership import Leadership
from foldloom.controllers.messages import (
    BarrierReply,
    Propose,
    ProposeReply,
    ReadBarrier,
    Readmit,
)
from foldloom.exceptions import NotLeaderError, PeerUnreachableError
from foldloom.peers.wire import PeerNetwork


class Proposer(Protocol):
    """A controller as its callers see it."""

    network: PeerNetwork
    box: str

    @property
    def leader(self) -> str:
        """The leader's box as far as known, or an empty string."""

    @property
    def leadership(self) -> Leadership | None:
        """The present term of leading, if any."""

    async def propose(self, payload: bytes) -> Answer:
        """Commit *payload* if this controller leads, and return its answer."""

    async def barrier(self) -> int:
        """Return the newest confirmed version, if this controller leads."""


class Requests:
    """Other boxes' requests, as one controller answers them.

    Args:
        controller: The controller.
    """

    def __init__(self, controller: Proposer) -> None:
        self._controller = controller
        controller.network.on(Propose, self._on_propose)
        controller.network.on(ReadBarrier, self._on_barrier)
        controller.network.on(Readmit, self._on_readmit)

    async def _on_propose(self, _sender: str, message: Propose) -> ProposeReply:
        try:
            answer = await self._controller.propose(message.payload)
        except NotLeaderError as error:
            return ProposeReply(None, False, error.leader)
        except PeerUnreachableError:
            # It was appended and may still be committed.
            return ProposeReply(None, True, self._controller.leader)
        return ProposeReply(answer, False, self._controller.box)

    async def _on_barrier(self, _sender: str, _message: ReadBarrier) -> BarrierReply:
        try:
            return BarrierReply(True, await self._controller.barrier(), self._controller.box)
        except NotLeaderError as error:
            return BarrierReply(False, 0, error.leader)

    def _on_readmit(self, sender: str, message: Readmit) -> None:
        if self._controller.leadership is not None:
            self._controller.leadership.admit(sender, message.storage_id)
