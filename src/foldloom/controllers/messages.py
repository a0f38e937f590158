# SPDX-License-Identifier: MIT
"""Messages between controllers, and from other boxes to controllers.

Message numbers are never reused. The codec is in :mod:`foldloom.peers.messages`.
"""

from __future__ import annotations

from typing import NamedTuple

from foldloom.controllers.commands import Answer
from foldloom.controllers.records import Entry, Snapshot
from foldloom.controllers.state import ChangeSet
from foldloom.peers.messages import register


class RequestVote(NamedTuple):
    """A candidate requests a vote, or a pre-vote (``is_trial``).

    With ``is_handover`` the candidate was selected by the leader, so recent contact with that
    leader is no reason to refuse.
    """

    term: int
    last_index: int
    last_term: int
    is_trial: bool
    is_handover: bool = False


class VoteReply(NamedTuple):
    """The reply to a vote request, with the voter's term and data folder."""

    term: int
    is_granted: bool
    storage_id: str
    is_first: bool


class Append(NamedTuple):
    """Entries after ``prev_index`` from the leader; without entries, a heartbeat."""

    term: int
    prev_index: int
    prev_term: int
    entries: list[Entry]
    commit_index: int


class InstallSnapshot(NamedTuple):
    """The leader's snapshot, sent if the entries that the follower lacks are compacted."""

    term: int
    snapshot: Snapshot


class AppendReply(NamedTuple):
    """The index up to which the follower's durable log matches the leader's.

    If not ``is_ok``, ``match_index`` is only a hint for the next attempt.
    """

    term: int
    is_ok: bool
    match_index: int
    storage_id: str
    is_first: bool


class Propose(NamedTuple):
    """A command from any box to the leader."""

    payload: bytes


class ProposeReply(NamedTuple):
    """The result of a proposal.

    Args:
        answer: The command's answer, if it was committed.
        is_unknown: Whether it may still be committed although there is no answer.
        leader: The leader, or an empty string if unknown.
    """

    answer: Answer | None
    is_unknown: bool
    leader: str


class ReadBarrier(NamedTuple):
    """A request for the newest confirmed version."""


class BarrierReply(NamedTuple):
    """The newest confirmed version; valid only if ``is_current``."""

    is_current: bool
    version: int
    leader: str


class Readmit(NamedTuple):
    """A request to become a voter, after data loss or as a new controller."""

    storage_id: str


class StandNow(NamedTuple):
    """Leadership transfer: the receiver starts an election immediately."""

    term: int


class ConfigPull(NamedTuple):
    """A request for the changes after version ``have``."""

    have: int


class ConfigReply(NamedTuple):
    """The change sets after ``have``, or the whole configuration if they are not available."""

    change_sets: list[ChangeSet]
    config: bytes


for _kind, _type in enumerate(
    (
        RequestVote,
        VoteReply,
        Append,
        InstallSnapshot,
        AppendReply,
        Propose,
        ProposeReply,
        ReadBarrier,
        BarrierReply,
        Readmit,
        ConfigPull,
        ConfigReply,
        StandNow,
    ),
    start=20,
):
    register(_kind, _type)
