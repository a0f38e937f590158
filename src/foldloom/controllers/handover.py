# SPDX-License-Identifier: MIT
"""Leadership transfer before a planned stop of the leader.

As in Raft (Ongaro's dissertation, 2014, section 3.10), the successor receives the rest of the log
and then starts an election immediately.
"""

from __future__ import annotations

import asyncio

from foldloom.clock import monotonic_ms
from foldloom.controllers.messages import StandNow
from foldloom.controllers.participant import StoppingLeader
from foldloom.logs import CONTROLLER_LOG

_POLL_INTERVAL_S = 0.01


async def transfer_leadership(controller: StoppingLeader) -> None:
    """Transfer leadership if *controller* is the leader, within one election timeout.

    Proposals are accepted until the successor is up to date, so the wait for it is bounded.
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
    """Return a voter that holds the whole log, or '' if there is none by *deadline_ms*."""
    while controller.is_leading and controller.quorum_size > 1:
        successor = controller.successor()
        if successor or monotonic_ms() >= deadline_ms:
            return successor
        await asyncio.sleep(_POLL_INTERVAL_S)
    return ""
