# SPDX-License-Identifier: MIT
"""Messages between controllers, and of other boxes to them.

Owns the numbers of these messages, which are never used again. Relies on the codec of
:mod:`foldloom.peers.messages`.
"""

from __future__ import annotations

from typing import NamedTuple

from foldloom.controllers.commands import Answer
from foldloom.controllers.records import Entry, Snapshot
from foldloom.controllers.state import ChangeSet
from foldloom.peers.messages import register


class RequestVote(NamedTuple):
    """A candidate asks for a vote, or whether it would get one (``is_trial``).

    With ``is_handover`` the leader asked it to stand, so a recent contact with it does not count.
    """

    term: int
    last_index: int
    last_term: int
    is_trial: bool
    is_handover: bool = False


class VoteReply(NamedTuple):
    """The answer, with the voter's newest term and data folder."""

    term: int
    is_granted: bool
    storage_id: str
    is_first: bool


class Append(NamedTuple):
    """The leader sends entries after ``prev_index``; none is a heartbeat."""

    term: int
    prev_index: int
    prev_term: int
    entries: list[Entry]
    commit_index: int


class InstallSnapshot(NamedTuple):
    """The leader sends its whole state, since the entries are kept no longer."""

    term: int
    snapshot: Snapshot


class AppendReply(NamedTuple):
    """How far the follower's durable log agrees with the leader's.

    If not ``is_ok``, ``match_index`` is only a hint of where to try next.
    """

    term: int
    is_ok: bool
    match_index: int
    storage_id: str
    is_first: bool


class Propose(NamedTuple):
    """Any box hands a command to the leader."""

    payload: bytes


class ProposeReply(NamedTuple):
    """What came of a proposal.

    Args:
        answer: The command's answer, if it was committed.
        is_unknown: Whether it may still be committed although there is no answer.
        leader: Who leads, as far as known.
    """

    answer: Answer | None
    is_unknown: bool
    leader: str


class ReadBarrier(NamedTuple):
    """Any box asks for the newest confirmed version."""


class BarrierReply(NamedTuple):
    """The newest confirmed version; only true if ``is_current``."""

    is_current: bool
    version: int
    leader: str


class Readmit(NamedTuple):
    """A controller that lost its memory asks to be counted again."""

    storage_id: str


class StandNow(NamedTuple):
    """A leader that is being stopped asks a controller to lead in its place."""

    term: int


class ConfigPull(NamedTuple):
    """A box asks for what it misses after version ``have``."""

    have: int


class ConfigReply(NamedTuple):
    """The change sets after ``have``, or the whole configuration if they are kept no longer."""

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
