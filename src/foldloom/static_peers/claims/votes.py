# SPDX-License-Identifier: MIT
"""How votes on a claim are counted.

Owns nothing: decisions only. Relies on the replicas of a submission.
"""

from __future__ import annotations

from collections.abc import Callable

from foldloom.static_peers.claims.messages import ClaimReply, Vote
from foldloom.static_peers.claims.replicas import ReplicaSets


def is_won(
    replicas: ReplicaSets, replies: dict[str, ClaimReply], known_life: Callable[[str], int]
) -> bool:
    """Return whether *replies* give the claim: a majority of votes that are all still alive.

    A vote dies with its voter's memory: it does not count once another voter, or this box
    (*known_life*), knows of a newer life of its voter.
    """
    granted = {box: reply for box, reply in replies.items() if reply.vote is Vote.GRANTED}
    valid = {
        box
        for box, reply in granted.items()
        if _newest_incarnation(box, granted, known_life) <= reply.incarnation
    }
    return replicas.is_majority(valid)


def can_still_win(replicas: ReplicaSets, replies: dict[str, ClaimReply]) -> bool:
    """Return whether the replicas that did not refuse can still be a majority."""
    not_granted = {box for box, reply in replies.items() if reply.vote is not Vote.GRANTED}
    return replicas.is_majority(set(replicas.boxes) - not_granted)


def _newest_incarnation(
    box: str, granted: dict[str, ClaimReply], known_life: Callable[[str], int]
) -> int:
    known_by_voters = [reply.known.get(box, 0) for other, reply in granted.items() if other != box]
    return max(known_life(box), *known_by_voters, 0)
