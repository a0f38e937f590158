# SPDX-License-Identifier: MIT
"""Messages about claims. The coordinator of a claim is always the message's sender.

Owns the numbers of these messages, which are never used again. Relies on the codec of
:mod:`foldloom.peers.messages`.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from foldloom.peers.messages import register


class Claim(NamedTuple):
    """The right of one coordinator to start one submission.

    Args:
        digest: The content's digest.
        coordinator: The box that may start it.
        incarnation: That box's life.
        attempt: Rises with each new claim of the same submission by the same life.
    """

    digest: str
    coordinator: str
    incarnation: int
    attempt: int


class Vote(IntEnum):
    """A claim replica's answer to a claim."""

    GRANTED = 0
    HELD = 1
    NOT_VOTING = 2
    OTHER_LIST = 3
    WITHDRAWN = 4
    FULL = 5


class ClaimRequest(NamedTuple):
    """The sender asks for the claim of *submission* under the box list of *epoch*."""

    submission: str
    digest: str
    incarnation: int
    attempt: int
    epoch: int


class ClaimReply(NamedTuple):
    """A vote.

    Args:
        vote: The answer.
        incarnation: The voter's life.
        known: The newest lives that the voter knows of the submission's other replicas.
        holders: Other claims that stand in the way.
    """

    vote: Vote
    incarnation: int
    known: dict[str, int]
    holders: list[Claim]


class Withdraw(NamedTuple):
    """The sender, which started nothing, gives the claim back."""

    submission: str
    incarnation: int
    attempt: int


class ReleaseHeld(NamedTuple):
    """Notice, by any box, that a claim's own coordinator has withdrawn it."""

    submission: str
    coordinator: str
    incarnation: int
    attempt: int


class Lookup(NamedTuple):
    """Any box asks which claims a replica holds; nothing changes."""

    submission: str


class LookupReply(NamedTuple):
    """The claims that a replica holds, and whether its memory is whole."""

    can_vote: bool
    holders: list[Claim]


class CopyRequest(NamedTuple):
    """A restarted replica asks for the claims that it should hold, from *position* on."""

    position: int


class CopiedClaim(NamedTuple):
    """One claim of a copy and how long it is still to be kept, in milliseconds."""

    submission: str
    claim: Claim
    keep_ms: int


class CopyReply(NamedTuple):
    """A part of the copy.

    Args:
        is_whole_memory: Whether the server's own memory is whole; if not, it doesn't count.
        claims: The claims.
        next_position: Where to go on; 0 at the end.
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
