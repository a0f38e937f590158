# SPDX-License-Identifier: MIT
"""How long an election takes while one controller of three is gone.

Each of its two rounds waited for the reply of the controller that was gone, 300 ms each with the
default time-outs, also when the other one had voted at once. Found as a planned stop of the leader
after which another led only 0.41 s later, of which the disks took 0.15 s.
"""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

from foldloom.controllers.election import Elections
from foldloom.controllers.messages import RequestVote, VoteReply
from foldloom.exceptions import PeerUnreachableError
from models.virtual_time import VirtualTimeLoop, run_in_virtual_time

_TIMEOUT_MS = 600
# Seconds within which two that answer at once must have a leader: far below one time-out of a vote.
_AT_ONCE_S = 0.1


class _FakeNetwork:
    """Two other controllers: b votes at once as it is told to, c is gone."""

    def __init__(self, is_granted: bool, term: int) -> None:
        self._is_granted = is_granted
        self._term = term
        self.asked: list[tuple[str, bool]] = []

    def on(self, kind: type, handler: Any) -> None:
        """Register nothing."""

    async def request(self, box: str, request: RequestVote, timeout_ms: float) -> VoteReply:
        """Answer for b, and run into the time-out for c."""
        self.asked.append((box, request.is_trial))
        if box == "b":
            return VoteReply(self._term, self._is_granted, "folder-b", True)
        await asyncio.sleep(timeout_ms / 1_000)
        raise PeerUnreachableError(box)


class _Candidate(SimpleNamespace):
    """A controller of three whose leader is gone."""

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
        """Count both."""
        return True

    def observe_term(self, term: int) -> None:
        """Note a newer term."""
        self.observed_term = term

    def lead(self) -> None:
        """Note that it leads."""
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


class TestOneIsGone:
    """Two of three controllers are up."""

    def test_a_majority_is_enough(self) -> None:
        """The candidate leads as soon as the other one has voted in both rounds."""
        candidate = _run_election(True, 1, _AT_ONCE_S)
        assert candidate.is_leader
        assert sorted(candidate.network.asked) == [
            ("b", False),
            ("b", True),
            ("c", False),
            ("c", True),
        ]

    def test_one_that_votes_for_nobody(self) -> None:
        """Without the other one's vote the one that is gone is waited for, and nobody leads."""
        assert not _run_election(False, 1, 1.0).is_leader

    def test_a_newer_term(self) -> None:
        """A reply of a newer term ends the election at once."""
        candidate = _run_election(False, 9, _AT_ONCE_S)
        assert (candidate.is_leader, candidate.observed_term) == (False, 9)
