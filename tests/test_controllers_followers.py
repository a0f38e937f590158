# SPDX-License-Identifier: MIT
"""Guards against wrong conclusions of a leader from its followers' replies."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from foldloom.controllers.followers import FollowerTable
from foldloom.controllers.messages import AppendReply

_FOLDERS = {"c1": "s1", "c2": "s2", "c3": "s3"}


def _table(durable_index: int = 9, commit_index: int = 0) -> FollowerTable:
    """Return the follower table of leader c1, which holds 9 entries, with c2 and c3."""
    controller: Any = SimpleNamespace(
        box="c1",
        may_vote=True,
        quorum_size=2,
        controllers=_FOLDERS,
        is_voter=lambda box, storage_id, _is_first: _FOLDERS.get(box) == storage_id,
        log=SimpleNamespace(last_index=9, durable_index=durable_index),
        applied=SimpleNamespace(commit_index=commit_index),
    )
    table = FollowerTable(controller)
    table.add("c2")
    table.add("c3")
    return table


def _reply(match_index: int, storage_id: str, is_ok: bool = True) -> AppendReply:
    return AppendReply(1, is_ok, match_index, storage_id, False)


class TestQuorumMatchIndex:
    """The index up to which a majority holds the log durably."""

    @pytest.mark.parametrize(
        ("own", "others", "agreed"),
        [(9, (7, 0), 7), (9, (7, 8), 8), (5, (7, 8), 7), (5, (0, 0), 0)],
    )
    def test_middle_of_three(self, own: int, others: tuple[int, int], agreed: int) -> None:
        """The leader's own log is included up to its durable index."""
        table = _table(durable_index=own)
        table.record_reply("c2", _reply(others[0], "s2"), 1.0)
        table.record_reply("c3", _reply(others[1], "s3"), 1.0)
        assert table.quorum_match_index() == agreed

    def test_another_data_folder_does_not_count(self) -> None:
        """A controller that lost its data is not part of a majority until it is readmitted."""
        table = _table()
        table.record_reply("c2", _reply(9, "new"), 1.0)
        assert table.quorum_match_index() == 0


class TestAnswers:
    """Replication progress and responsiveness of followers."""

    def test_refused_append_steps_back(self) -> None:
        """After a rejected append the next one starts at the follower's hint or earlier."""
        table = _table()
        assert table.next_index("c2") == 10
        table.record_reply("c2", _reply(4, "s2", is_ok=False), 1.0)
        assert table.next_index("c2") == 5
        table.record_reply("c2", _reply(9, "s2", is_ok=False), 1.0)
        assert table.next_index("c2") == 4

    def test_majority_since(self) -> None:
        """The leader and one reply are a majority of three."""
        table = _table()
        table.record_reply("c2", _reply(9, "s2"), 5.0)
        assert table.has_quorum_since(5.0)
        assert not table.has_quorum_since(6.0)
        assert table.unresponsive_since(5.0) == ["c3"]

    def test_successor_holds_the_whole_log(self) -> None:
        """The successor holds the whole log and has the most recent reply."""
        table = _table()
        table.record_reply("c2", _reply(8, "s2"), 7.0)
        assert table.successor() == ""
        table.record_reply("c3", _reply(9, "s3"), 5.0)
        assert table.successor() == "c3"
        table.record_reply("c2", _reply(9, "s2"), 7.0)
        assert table.successor() == "c2"

    def test_holding_what_is_committed(self) -> None:
        """Committed entries are recognized only in the data folder that the request names."""
        table = _table(commit_index=6)
        table.record_reply("c2", _reply(6, "s2"), 1.0)
        assert table.holds_committed("c2", "s2")
        assert not table.holds_committed("c2", "new")
        assert not table.holds_committed("c3", "s3")
