# SPDX-License-Identifier: MIT
"""A controller that does not count asks to be counted: after lost memory, or as a newcomer.

Owns nothing. Relies on the leader, which takes it in once that is safe (``Leadership.admit``).
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from foldloom.controllers.messages import Readmit
from foldloom.controllers.participant import Voter

# Seconds between two requests to be counted again: small against an election.
_READMIT_INTERVAL_S = 0.2
# Election time-outs without a leader after which a controller asks whether it still counts: above
# one election.
_LEADER_SILENT_ELECTION_TIMEOUTS = 2


async def request_readmission(
    controller: Voter, known_controllers: Callable[[], list[str]]
) -> None:
    """Ask while *controller* is not counted, or its leader is silent, until cancelled.

    One that was replaced while it was away counts itself still; only the leader's silence
    shows it.

    Args:
        controller: The controller.
        contacts: Returns the controllers that may know the leader.
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
