# SPDX-License-Identifier: MIT
"""Requests of a non-voter to become a voter, after data loss or as a new controller.

The leader decides (``Leadership.handle_readmit``).
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from foldloom.controllers.messages import Readmit
from foldloom.controllers.participant import Voter

_READMIT_INTERVAL_S = 0.2
# After this many election timeouts without a leader, a voter requests readmission.
_LEADER_SILENT_ELECTION_TIMEOUTS = 2


async def request_readmission(
    controller: Voter, known_controllers: Callable[[], list[str]]
) -> None:
    """Send requests while *controller* is no voter or has no leader, until cancelled.

    A controller that was replaced during its absence is still a voter by its own log; the missing
    leader is its only sign of the change.

    Args:
        controller: The controller.
        known_controllers: Returns the controllers to contact when no leader is known.
    """
    silent_max_ms = _LEADER_SILENT_ELECTION_TIMEOUTS * controller.election_timeout_ms
    while True:
        await asyncio.sleep(_READMIT_INTERVAL_S)
        has_leader = controller.contact.silent_ms < silent_max_ms
        is_following = controller.may_vote and has_leader
        if controller.is_failed or controller.is_leading or is_following:
            continue
        leader = controller.contact.leader
        targets = [leader] if leader and has_leader else known_controllers()
        for box in targets:
            controller.network.send(box, Readmit(controller.storage_id))
