# SPDX-License-Identifier: MIT
"""A planned stop of the leader: another controller leads first.

Owns nothing. As in Raft's leadership transfer (Ongaro's dissertation, 2014, section 3.10), the
successor gets the end of the log, and then stands for election at once.
"""

from __future__ import annotations

import asyncio

from foldloom.clock import monotonic_ms
from foldloom.controllers.messages import StandNow
from foldloom.controllers.participant import StoppingLeader
from foldloom.logs import CONTROLLER_LOG

# Seconds between two checks whether another controller could lead, or leads: small against an
# election.
_POLL_INTERVAL_S = 0.01


async def transfer_leadership(controller: StoppingLeader) -> None:
    """Have another controller lead if *controller* does; take at most one election time-out.

    New proposals are taken until the successor is up to date, so the wait for it is bounded.
    """
    deadline_ms = monotonic_ms() + controller.election_timeout_ms
    successor = await _await_successor(controller, deadline_ms)
    if not successor:
        return
    term = controller.log.term
    controller.step_down()
    controller.network.send(successor, StandNow(term))
    while controller.log.term == term and monotonic_ms() < deadline_ms:
        await asyncio.sleep(_POLL_INTERVAL_S)
    CONTROLLER_LOG.event("leader.handed_over", to=successor)


async def _await_successor(controller: StoppingLeader, deadline_ms: float) -> str:
    """Return a controller that holds the whole log, or '' if none does by *deadline_ms*."""
    while controller.is_leading and controller.quorum_size > 1:
        successor = controller.successor()
        if successor or monotonic_ms() >= deadline_ms:
            return successor
        await asyncio.sleep(_POLL_INTERVAL_S)
    return ""
