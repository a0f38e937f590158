# SPDX-License-Identifier: MIT
"""Counting of votes on a claim."""

from __future__ import annotations

from collections.abc import Callable

from foldloom.static_peers.claims.messages import ClaimReply, Vote
from foldloom.static_peers.claims.replicas import ReplicaSets


def is_won(
    replicas: ReplicaSets,
    replies: dict[str, ClaimReply],
    known_incarnation_of: Callable[[str], int],
) -> bool:
    """Return whether *replies* contain a majority of valid votes.

    A vote is valid unless another voter, or this box (*known_incarnation_of*), has a newer
    incarnation of its voter on record, which has lost the claims of the earlier one.
    """
    granted = {box: reply for box, reply in replies.items() if reply.vote is Vote.GRANTED}
    valid = {
        box
        for box, reply in granted.items()
        if _newest_incarnation(box, granted, known_incarnation_of) <= reply.incarnation
    }
    return replicas.is_majority(valid)


def can_still_win(replicas: ReplicaSets, replies: dict[str, ClaimReply]) -> bool:
    """Return whether the replicas that have not refused can form a majority."""
    not_granted = {box for box, reply in replies.items() if reply.vote is not Vote.GRANTED}
    return replicas.is_majority(set(replicas.boxes) - not_granted)


def _newest_incarnation(
    box: str, granted: dict[str, ClaimReply], known_incarnation_of: Callable[[str], int]
) -> int:
    known_by_voters = [reply.known.get(box, 0) for other, reply in granted.items() if other != box]
    return max(known_incarnation_of(box), *known_by_voters, 0)
