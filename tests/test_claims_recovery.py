# SPDX-License-Identifier: MIT
"""Conditions under which a restarted claim replica votes again."""

from __future__ import annotations

import asyncio
from typing import Any

from expression import Ok

from foldloom.controllers.commands import Answer
from foldloom.exceptions import PeerUnreachableError
from foldloom.static_peers.claims.messages import CopiedClaim, CopyReply
from foldloom.static_peers.claims.recovery import Recovery
from foldloom.static_peers.claims.replicas import ReplicaSets
from foldloom.static_peers.claims.table import ClaimTable

_BOXES: Any = {"epoch": 0, "current": {"a1": "a", "b1": "b", "c1": "c"}, "next": None, "dead": []}
_SETS = ReplicaSets(0, (("a1", "b1", "c1"),))
_RETENTION_MS = 60_000
_WAIT_S = 0.1


class _Peers:
    """The other replicas; only those in *serving* answer a copy request."""

    incarnation = 7

    def __init__(self, *serving: str, is_whole: bool = True) -> None:
        self._serving = serving
        self._is_whole = is_whole

    def known_incarnation(self, _box: str) -> int:
        """Return the same incarnation for each box."""
        return 1

    async def request(self, box: str, _message: object, _timeout_ms: float) -> CopyReply:
        """Return an empty copy."""
        if box not in self._serving:
            raise PeerUnreachableError(box)
        claims: list[CopiedClaim] = []
        return CopyReply(self._is_whole, claims, 0)


class _Controllers:
    """Controllers with or without a recorded previous incarnation."""

    def __init__(self, previous_incarnation: int) -> None:
        self._previous_incarnation = previous_incarnation

    async def propose(self, _command: object, _timeout_ms: int) -> Any:
        """Record the incarnation."""
        return Ok(Answer(200, 1, number=self._previous_incarnation))


async def _recovered(peers: Any, previous_incarnation: int = 5) -> Recovery:
    """Return the recovery of a1 after it has run for a while."""
    controllers: Any = _Controllers(previous_incarnation)
    table = ClaimTable(_RETENTION_MS, 10)
    recovery = Recovery("a1", peers, controllers, table, lambda: _BOXES, _RETENTION_MS)
    running = asyncio.create_task(recovery.run())
    await asyncio.sleep(_WAIT_S)
    running.cancel()
    return recovery


class TestVotingAfterRestart:
    """A replica votes only after recovering the claims that it may have granted."""

    def test_first_life(self) -> None:
        """The first incarnation has no earlier claims and votes at once."""
        assert asyncio.run(_recovered(_Peers(), previous_incarnation=0)).may_vote(_SETS)

    def test_not_before_both_others_are_copied(self) -> None:
        """One copy is not enough: the other replica may be the only holder of a claim."""
        assert not asyncio.run(_recovered(_Peers())).may_vote(_SETS)
        assert not asyncio.run(_recovered(_Peers("b1"))).may_vote(_SETS)
        assert asyncio.run(_recovered(_Peers("b1", "c1"))).may_vote(_SETS)

    def test_a_copy_of_one_without_its_memory_does_not_count(self) -> None:
        """Replicas that lost their claims together can't recover from each other."""
        peers = _Peers("b1", "c1", is_whole=False)
        assert not asyncio.run(_recovered(peers)).may_vote(_SETS)
