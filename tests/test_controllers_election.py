# SPDX-License-Identifier: MIT
"""An election must not wait for an unreachable controller once a majority has voted."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

from foldloom.controllers.election import Elections
from foldloom.controllers.messages import RequestVote, VoteReply
from foldloom.exceptions import PeerUnreachableError
from models.virtual_time import VirtualTimeLoop, run_in_virtual_time

_TIMEOUT_MS = 600
# Well below the timeout of one vote request.
_IMMEDIATE_MAX_S = 0.1


class _FakeNetwork:
    """Two peers: b replies immediately with the given vote, c is unreachable."""

    def __init__(self, is_granted: bool, term: int) -> None:
        self._is_granted = is_granted
        self._term = term
        self.asked: list[tuple[str, bool]] = []

    def on(self, kind: type, handler: Any) -> None:
        """Ignore the handler."""

    async def request(self, box: str, request: RequestVote, timeout_ms: float) -> VoteReply:
        """Reply for b; time out for c."""
        self.asked.append((box, request.is_trial))
        if box == "b":
            return VoteReply(self._term, self._is_granted, "folder-b", True)
        await asyncio.sleep(timeout_ms / 1_000)
        raise PeerUnreachableError(box)


class _Candidate(SimpleNamespace):
    """A controller of three whose leader is unreachable."""

    def __init__(self, network: _FakeNetwork) -> None:
        super().__init__(
            network=network,
            box="a",
            election_timeout_ms=_TIMEOUT_MS,
            log=SimpleNamespace(term=1, last_index=3, last_term=1, save_term_vote=self._save),
            state_lock=asyncio.Lock(),
            controllers={"a": "?", "b": "?", "c": "?"},
            quorum_size=2,
            leader="",
            contact=SimpleNamespace(silent_ms=1e9, clear_leader=lambda: None),
            is_leader=False,
            observed_term=0,
        )

    async def _save(self, term: int, _box: str) -> None:
        self.log.term = term

    def is_voter(self, _box: str, _storage_id: str, _is_first: bool) -> bool:
        """Accept every voter."""
        return True

    def observe_term(self, term: int) -> None:
        """Record a newer term."""
        self.observed_term = term

    def lead(self) -> None:
        """Record that it became leader."""
        self.is_leader = True


def _run_election(is_granted: bool, term: int, within_s: float) -> _Candidate:
    async def run() -> _Candidate:
        candidate = _Candidate(_FakeNetwork(is_granted, term))
        elections = Elections(candidate)  # type: ignore[arg-type]
        await asyncio.wait_for(elections.run_election(), within_s)
        assert asyncio.all_tasks() - {asyncio.current_task()} == set()
        return candidate

    candidate: _Candidate = run_in_virtual_time(run(), VirtualTimeLoop())
    return candidate


class TestUnreachableVoter:
    """Two of three controllers are reachable."""

    def test_a_majority_is_enough(self) -> None:
        """The candidate becomes leader as soon as the reachable peer grants both votes."""
        candidate = _run_election(True, 1, _IMMEDIATE_MAX_S)
        assert candidate.is_leader
        assert sorted(candidate.network.asked) == [
            ("b", False),
            ("b", True),
            ("c", False),
            ("c", True),
        ]

    def test_vote_denied(self) -> None:
        """Without the reachable peer's vote, no leader is elected."""
        assert not _run_election(False, 1, 1.0).is_leader

    def test_a_newer_term(self) -> None:
        """A reply with a newer term ends the election immediately."""
        candidate = _run_election(False, 9, _IMMEDIATE_MAX_S)
        assert (candidate.is_leader, candidate.observed_term) == (False, 9)
