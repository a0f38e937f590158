# SPDX-License-Identifier: MIT
"""The leader ends a joint box list once every old box knows of it and a window has passed.

Owns when the present joint list was first seen by this leader. Relies on heartbeats for what the
other boxes know; counted anew by each leader.
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

# Seconds between two checks whether a joint box list can settle: one heartbeat (250 ms).
_CHECK_INTERVAL_S = 0.25


class BoxListSettler:
    """Watch a joint box list while this controller leads.

    Args:
        settings: This box's settings.
        controller: The controller.
        membership: What the boxes' heartbeats say.
    """

    def __init__(self, settings: Settings, controller: Controller, membership: Membership) -> None:
        self._settings = settings
        self._controller = controller
        self._membership = membership
        self._acknowledged_since: tuple[int, float] | None = None

    async def run(self) -> None:
        """End joint lists until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            boxes = self._controller.state.config.boxes
            if not self._controller.is_leading or boxes["next"] is None:
                self._acknowledged_since = None
                continue
            if not self._can_settle(boxes["epoch"]):
                continue
            try:
                await propose(self._controller, encode_command(BoxesSettledCommand(boxes["epoch"])))
                CONTROLLER_LOG.info("The box list of epoch {} is settled.", boxes["epoch"])
            except (NotLeaderError, PeerUnreachableError):
                # Looked at again: another controller may lead, or the command may be in its log.
                continue

    def _can_settle(self, epoch: int) -> bool:
        """Return whether all old boxes have known *epoch* for a whole retention time.

        Counted anew by each leader: too late is safe, too early is not.
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
