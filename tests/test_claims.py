# SPDX-License-Identifier: MIT
"""Guards against two claims granted for one submission."""

from __future__ import annotations

from foldloom.static_peers.claims.messages import Claim, ClaimReply, CopiedClaim, Vote
from foldloom.static_peers.claims.replicas import ReplicaSets
from foldloom.static_peers.claims.table import ClaimTable
from foldloom.static_peers.claims.votes import can_still_win, is_won

_DIGEST = "ab" * 16
_X = Claim(_DIGEST, "x1", 1, 1)
_Y = Claim(_DIGEST, "y1", 1, 1)
_SETS = ReplicaSets(0, (("a1", "b1", "c1"),))


def _table(claims_max: int = 10) -> ClaimTable:
    return ClaimTable(1_000, claims_max)


def _vote(life: int, known: dict[str, int], vote: Vote = Vote.GRANTED) -> ClaimReply:
    return ClaimReply(vote, life, known, [])


class TestClaimTable:
    """Claim table of one replica."""

    def test_first_claim_is_granted_and_held(self) -> None:
        """The first claim is granted, also on retransmission; a second one is refused."""
        table = _table()
        assert table.decide_vote("s", _X, 0).vote is Vote.GRANTED
        assert table.decide_vote("s", _X, 0).vote is Vote.GRANTED
        other = table.decide_vote("s", _Y, 0)
        assert (other.vote, other.conflicting_claims) == (Vote.HELD, [_X])

    def test_conflicting_copies_are_all_kept(self) -> None:
        """With two conflicting copies neither claim is granted until the other is withdrawn."""
        table = _table()
        for claim in (_X, _Y):
            table.merge(CopiedClaim("s", claim, 900), 0)
        assert table.decide_vote("s", _X, 0).vote is Vote.HELD
        assert table.decide_vote("s", _Y, 0).vote is Vote.HELD
        table.release("s", _Y, 0)
        assert table.decide_vote("s", _X, 0).vote is Vote.GRANTED

    def test_late_withdrawal_leaves_the_newer_attempt(self) -> None:
        """Withdrawal of an earlier attempt does not release a later one."""
        table = _table()
        newer = _X._replace(attempt=2)
        table.decide_vote("s", newer, 0)
        table.release("s", _X, 0)
        assert table.claims_of("s") == [newer]
        assert table.decide_vote("s", _Y, 0).vote is Vote.HELD

    def test_request_after_its_own_withdrawal(self) -> None:
        """A claim request that arrives after its withdrawal is refused."""
        table = _table()
        table.release("s", _X, 0)
        assert table.decide_vote("s", _X, 0).vote is Vote.WITHDRAWN
        assert table.decide_vote("s", _X._replace(attempt=2), 0).vote is Vote.GRANTED

    def test_copy_of_a_withdrawn_claim_is_not_taken(self) -> None:
        """A copy does not restore a withdrawn claim."""
        table = _table()
        table.release("s", _X, 0)
        table.merge(CopiedClaim("s", _X, 900), 0)
        assert table.claims_of("s") == []

    def test_expiry_and_bound(self) -> None:
        """A claim expires at its retention time, not before; a full table refuses new claims."""
        table = _table(claims_max=1)
        table.decide_vote("s", _X, 0)
        assert table.decide_vote("t", _X, 0).vote is Vote.FULL
        assert table.expire(999) == 0
        assert table.expire(1_000) == 1
        assert table.decide_vote("t", _X, 1_000).vote is Vote.GRANTED


class TestVotes:
    """Counting of votes."""

    def test_majority(self) -> None:
        """Two of three votes win; one does not."""
        votes = {"a1": _vote(1, {}), "b1": _vote(1, {})}
        assert is_won(_SETS, votes, lambda _box: 0)
        assert not is_won(_SETS, {"a1": votes["a1"]}, lambda _box: 0)

    def test_vote_of_earlier_incarnation_is_invalid(self) -> None:
        """A vote is invalid once another voter or this box knows a newer incarnation of it."""
        votes = {"a1": _vote(1, {"b1": 1}), "b1": _vote(1, {"a1": 2})}
        assert not is_won(_SETS, votes, lambda _box: 0)
        fresh = {"a1": _vote(1, {}), "b1": _vote(1, {})}
        assert not is_won(_SETS, fresh, {"a1": 2, "b1": 0}.__getitem__)

    def test_can_still_win(self) -> None:
        """Two refusals of three rule out a majority."""
        refused = _vote(1, {}, Vote.HELD)
        assert can_still_win(_SETS, {"a1": refused})
        assert not can_still_win(_SETS, {"a1": refused, "b1": refused})
