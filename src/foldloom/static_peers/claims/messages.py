# SPDX-License-Identifier: MIT
"""Messages about claims. The coordinator of a requested claim is the message's sender.

Message numbers are never reused. The codec is :mod:`foldloom.peers.messages`.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from foldloom.peers.messages import register


class Claim(NamedTuple):
    """The exclusive right of one coordinator to start a submission.

    Args:
        digest: Digest of the submission's content.
        coordinator: The box that holds the claim.
        incarnation: Incarnation of that box.
        attempt: Increases with each new claim of the submission by the same incarnation.
    """

    digest: str
    coordinator: str
    incarnation: int
    attempt: int


class Vote(IntEnum):
    """A claim replica's response to a claim request."""

    GRANTED = 0
    HELD = 1
    NOT_VOTING = 2
    OTHER_LIST = 3
    WITHDRAWN = 4
    FULL = 5


class ClaimRequest(NamedTuple):
    """Request of the sender for the claim of *submission* under the box list of *epoch*."""

    submission: str
    digest: str
    incarnation: int
    attempt: int
    epoch: int


class ClaimReply(NamedTuple):
    """A vote.

    Args:
        vote: Whether the claim is granted, or why not.
        incarnation: Incarnation of the voter.
        known: For each other replica of the submission, the newest incarnation that the voter
            knows.
        holders: Conflicting claims.
    """

    vote: Vote
    incarnation: int
    known: dict[str, int]
    holders: list[Claim]


class Withdraw(NamedTuple):
    """The sender withdraws its claim; it has started no task."""

    submission: str
    incarnation: int
    attempt: int


class ReleaseHeld(NamedTuple):
    """Any box reports that a claim's coordinator has withdrawn it."""

    submission: str
    coordinator: str
    incarnation: int
    attempt: int


class Lookup(NamedTuple):
    """Read-only query for the claims that a replica holds."""

    submission: str


class LookupReply(NamedTuple):
    """The claims that a replica holds, and whether it may vote."""

    can_vote: bool
    holders: list[Claim]


class CopyRequest(NamedTuple):
    """Request of a restarted replica for its claims, from *position* on."""

    position: int


class CopiedClaim(NamedTuple):
    """A claim in a copy, with its remaining retention in milliseconds."""

    submission: str
    claim: Claim
    keep_ms: int


class CopyReply(NamedTuple):
    """One chunk of a copy.

    Args:
        is_whole_memory: Whether the server's own claims are complete; if not, the copy is invalid.
        claims: The claims.
        next_position: Start of the next chunk; 0 at the end.
    """

    is_whole_memory: bool
    claims: list[CopiedClaim]
    next_position: int


for _kind, _type in enumerate(
    (
        ClaimRequest,
        ClaimReply,
        Withdraw,
        ReleaseHeld,
        Lookup,
        LookupReply,
        CopyRequest,
        CopyReply,
    ),
    start=40,
):
    register(_kind, _type)
