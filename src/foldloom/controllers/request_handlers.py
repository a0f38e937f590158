# SPDX-License-Identifier: MIT
"""Handlers of other boxes' requests: proposals, read barriers, readmission.

A controller that is not the leader replies with the leader's name.
"""

from __future__ import annotations

from typing import Protocol

from foldloom.controllers.messages import (
    BarrierReply,
    Propose,
    ProposeReply,
    ReadBarrier,
    Readmit,
)
from foldloom.controllers.proposals import Proposer, newest_version, propose
from foldloom.exceptions import NotLeaderError, PeerUnreachableError
from foldloom.peers.wire import PeerNetwork


class RequestTarget(Proposer, Protocol):
    """A controller as used by the handlers."""

    network: PeerNetwork
    box: str

    @property
    def leader(self) -> str:
        """The leader's box, or an empty string if unknown."""


class RequestHandlers:
    """Handles the requests of other boxes to one controller.

    Args:
        controller: The controller.
    """

    def __init__(self, controller: RequestTarget) -> None:
        self._controller = controller
        controller.network.on(Propose, self._on_propose)
        controller.network.on(ReadBarrier, self._on_barrier)
        controller.network.on(Readmit, self._on_readmit)

    async def _on_propose(self, _sender: str, message: Propose) -> ProposeReply:
        try:
            answer = await propose(self._controller, message.payload)
        except NotLeaderError as error:
            return ProposeReply(None, False, error.leader)
        except PeerUnreachableError:
            # Appended, and may still be committed.
            return ProposeReply(None, True, self._controller.leader)
        return ProposeReply(answer, False, self._controller.box)

    async def _on_barrier(self, _sender: str, _message: ReadBarrier) -> BarrierReply:
        try:
            version = await newest_version(self._controller)
        except NotLeaderError as error:
            return BarrierReply(False, 0, error.leader)
        return BarrierReply(True, version, self._controller.box)

    def _on_readmit(self, sender: str, message: Readmit) -> None:
        if self._controller.leadership is not None:
            self._controller.leadership.handle_readmit(sender, message.storage_id)
