# SPDX-License-Identifier: MIT
"""The leader finalizes a joint box list after all old boxes have acknowledged it.

The list is final one retention time after the acknowledgments, which arrive in heartbeats. Each
leader restarts the wait.
"""

from __future__ import annotations

import asyncio

from foldloom.clock import monotonic_ms
from foldloom.controllers.commands import BoxesSettledCommand, encode_command
from foldloom.controllers.controller import Controller
from foldloom.controllers.proposals import propose
from foldloom.exceptions import NotLeaderError, PeerUnreachableError
from foldloom.logs import CONTROLLER_LOG
from foldloom.settings import Settings
from foldloom.static_peers.membership import Membership

# Interval between checks of the box list; equals the default heartbeat_ms.
_CHECK_INTERVAL_S = 0.25


class JointBoxListFinalizer:
    """Finalizes joint box lists while this controller is the leader.

    Args:
        settings: This box's settings.
        controller: This box's controller.
        membership: The latest heartbeats of the boxes.
    """

    def __init__(self, settings: Settings, controller: Controller, membership: Membership) -> None:
        self._settings = settings
        self._controller = controller
        self._membership = membership
        self._acknowledged_since: tuple[int, float] | None = None

    async def run(self) -> None:
        """Finalize joint box lists until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            boxes = self._controller.state.config.boxes
            if not self._controller.is_leading or boxes["next"] is None:
                self._acknowledged_since = None
                continue
            if not self._can_finalize(boxes["epoch"]):
                continue
            try:
                await propose(self._controller, encode_command(BoxesSettledCommand(boxes["epoch"])))
                CONTROLLER_LOG.info("The box list of epoch {} has settled.", boxes["epoch"])
            except (NotLeaderError, PeerUnreachableError):
                # Retried: leadership may have changed, or the command may already be logged.
                continue

    def _can_finalize(self, epoch: int) -> bool:
        """Return whether all old boxes acknowledged *epoch* at least one retention time ago.

        A new leader restarts the wait: finalizing late is safe, finalizing early is not.
        """
        boxes = self._controller.state.config.boxes
        others = set(boxes["current"]) - set(boxes["dead"]) - {self._settings.box}
        states = self._membership.states
        if any(box not in states or states[box].heartbeat.list_epoch < epoch for box in others):
            self._acknowledged_since = None
            return False
        if self._acknowledged_since is None or self._acknowledged_since[0] != epoch:
            self._acknowledged_since = (epoch, monotonic_ms())
        return monotonic_ms() - self._acknowledged_since[1] >= self._settings.retention_ms
