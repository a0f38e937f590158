# SPDX-License-Identifier: MIT
"""A restarted claim replica votes only if it can't lack a valid claim."""

from __future__ import annotations

import asyncio
from typing import Any

from expression import Error, Ok, Result

from foldloom.controllers.commands import Answer
from foldloom.static_peers.claims.messages import Claim, CopiedClaim, CopyReply, Vote
from foldloom.static_peers.claims.recovery import Recovery
from foldloom.static_peers.claims.replicas import ReplicaSets
from foldloom.static_peers.claims.table import ClaimTable
from foldloom.verdicts import Problem, not_run

_BOXES: Any = {"epoch": 0, "current": {"a1": "a", "b1": "b", "c1": "c"}, "next": None, "dead": []}
_SETS = ReplicaSets(0, (("a1", "b1", "c1"),))
_ALONE = ReplicaSets(0, (("a1",),))
_RETENTION_MS = 60_000
# Seconds for a recovery: above the pause between two rounds of copies.
_WAIT_S = 0.4
_DIGEST = "ab" * 16


class _Peers:
    """The other replicas, with complete and empty claim tables.

    Args:
        incarnation: Incarnation of the requesting box.
        fails: Whether requests raise an unexpected exception.
    """

    def __init__(self, incarnation: int, fails: bool = False) -> None:
        self.incarnation = incarnation
        self._fails = fails

    def known_incarnation(self, _box: str) -> int:
        """Return the same incarnation for each box."""
        return 1

    async def request(self, _box: str, _message: object, _timeout_ms: float) -> CopyReply:
        """Return an empty copy."""
        if self._fails:
            raise ValueError("a copy that can't be read")
        return CopyReply(True, [], 0)


class _Controllers:
    """Controllers that record incarnations while they have a quorum."""

    def __init__(self) -> None:
        self.has_quorum = True
        self._newest = 0

    async def propose(self, command: Any, _timeout_ms: int) -> Result[Answer, Problem]:
        """Record an incarnation and return the previous one."""
        if not self.has_quorum:
            await asyncio.sleep(_WAIT_S)
            return Error(not_run("no-quorum"))
        before, self._newest = self._newest, command.incarnation
        return Ok(Answer(200, 1, number=before))


async def _recovered(peers: Any, controllers: Any, retention_ms: int = _RETENTION_MS) -> Recovery:
    """Return the recovery of an incarnation of a1 after it has run for a while."""
    table = ClaimTable(retention_ms, 10)
    recovery = Recovery("a1", peers, controllers, table, lambda: _BOXES, retention_ms)
    running = asyncio.create_task(recovery.run())
    await asyncio.sleep(_WAIT_S)
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    return recovery


class TestRecordedIncarnations:
    """No incarnation takes itself for the first one after another has voted."""

    def test_unrecorded_incarnation_does_not_vote(self) -> None:
        """An unrecorded incarnation must not vote, even after copying from all replicas."""

        async def play() -> None:
            controllers = _Controllers()
            controllers.has_quorum = False
            first = await _recovered(_Peers(1), controllers)
            controllers.has_quorum = True
            second = await _recovered(_Peers(2, fails=True), controllers)
            assert not (first.may_vote(_SETS) and second.may_vote(_SETS))

        asyncio.run(play())

    def test_recorded_incarnation_votes_after_copies(self) -> None:
        """A recorded incarnation votes after copying, if the previous one is recorded too."""

        async def play() -> None:
            controllers = _Controllers()
            await _recovered(_Peers(1), controllers)
            second = await _recovered(_Peers(2), controllers)
            assert second.may_vote(_SETS)
            assert second.is_whole

        asyncio.run(play())


class TestCopying:
    """Replicas that can't copy."""

    def test_unexpected_exception_while_copying(self) -> None:
        """An unexpected exception while copying neither stops the recovery nor permits a vote."""

        async def play() -> None:
            controllers = _Controllers()
            await _recovered(_Peers(1), controllers)
            second = await _recovered(_Peers(2, fails=True), controllers)
            assert not second.may_vote(_SETS)
            assert not second.is_whole

        asyncio.run(play())

    def test_sole_replica_waits_for_retention(self) -> None:
        """The sole replica of a submission votes only after its lost claims have expired."""

        async def play() -> None:
            controllers = _Controllers()
            first = await _recovered(_Peers(1), controllers)
            assert first.may_vote(_ALONE)
            second = await _recovered(_Peers(2), controllers)
            assert second.may_vote(_SETS)
            assert not second.may_vote(_ALONE)
            third = await _recovered(_Peers(3), controllers, retention_ms=1)
            assert third.may_vote(_ALONE)

        asyncio.run(play())


class TestExpiry:
    """Separate expiry of each claim of a submission."""

    def test_a_copy_outlives_an_older_claim(self) -> None:
        """Expiry of one claim does not drop a conflicting copy that expires later."""
        table = ClaimTable(100, 10)
        withdrawn, held = Claim(_DIGEST, "x1", 1, 1), Claim(_DIGEST, "y1", 1, 1)
        table.decide_vote("s", withdrawn, 0)
        table.merge(CopiedClaim("s", held, 90), 50)
        table.expire(100)
        assert table.claims_of("s") == [held]
        assert table.decide_vote("s", Claim(_DIGEST, "z1", 1, 1), 101).vote is Vote.HELD
        table.expire(140)
        assert not table.claims_of("s")
