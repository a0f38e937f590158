# SPDX-License-Identifier: MIT
"""Guards against applying the wrong table of voters from a controller's own log."""

from __future__ import annotations

import asyncio
from pathlib import Path

from foldloom.controllers.commands import (
    BootstrapCommand,
    Command,
    ControllerJoinCommand,
    ControllerLeaveCommand,
    encode_command,
)
from foldloom.controllers.config import empty_config
from foldloom.controllers.controller_table import ControllerTable
from foldloom.controllers.log import ReplicatedLog
from foldloom.controllers.records import Entry
from foldloom.controllers.state import ReplicatedState
from foldloom.controllers.storage import LogStorage, format_folder

_EMPTY = empty_config({}, {})
_FOUND = BootstrapCommand({}, {"c1": "s1", "c2": "s2"})
_JOIN = ControllerJoinCommand("c3", "s3")
_LEAVE = ControllerLeaveCommand("c1")


def open_log(folder: Path, *commands: Command) -> ReplicatedLog:
    """Return a log of term 1, reopened with an entry for each of *commands*."""
    format_folder(str(folder), is_first=True)
    storage = LogStorage(str(folder), 0)
    log = ReplicatedLog(storage, storage.open())

    async def write() -> None:
        await log.save_term_vote(1, "c1")
        for command in commands:
            log.add(encode_command(command))
        await log.flush()

    asyncio.run(write())
    log.close()
    storage = LogStorage(str(folder), 0)
    return ReplicatedLog(storage, storage.open())


class TestControllerTable:
    """The newest table in the log applies, whether committed or not."""

    def test_every_entry_counts_after_a_start(self, tmp_path: Path) -> None:
        """The commit index is unknown after a start, so the whole log determines the table."""
        table = ControllerTable(open_log(tmp_path, _FOUND, _JOIN), _EMPTY)
        state = ReplicatedState(_EMPTY)
        assert table.newest(state, 0) == {"c1": "s1", "c2": "s2", "c3": "s3"}

    def test_an_entry_counts_before_it_is_committed(self, tmp_path: Path) -> None:
        """A change applies as soon as it is in the log."""
        log = open_log(tmp_path, _FOUND)
        table = ControllerTable(log, _EMPTY)
        state = ReplicatedState(_EMPTY)
        assert set(table.newest(state, 0)) == {"c1", "c2"}
        log.add(encode_command(_JOIN))
        assert set(table.newest(state, 0)) == {"c1", "c2", "c3"}

    def test_replaced_entries(self, tmp_path: Path) -> None:
        """Entries that a leader replaced no longer affect the table."""
        log = open_log(tmp_path, _FOUND, _JOIN)
        table = ControllerTable(log, _EMPTY)
        asyncio.run(log.accept([Entry(2, 2, encode_command(_LEAVE))]))
        table.record_accepted(1)
        assert set(table.newest(ReplicatedState(_EMPTY), 0)) == {"c2"}

    def test_the_applied_state_counts_once_a_term_has_committed(self, tmp_path: Path) -> None:
        """Once an entry of the term is committed, the applied state is the base of the table."""
        log = open_log(tmp_path, _FOUND, _JOIN)
        table = ControllerTable(log, _EMPTY)
        state = ReplicatedState(_EMPTY)
        state.apply(encode_command(_FOUND))
        table.record_committed(2)
        assert set(table.newest(state, 1)) == {"c1", "c2", "c3"}
        assert set(table.newest(state, 2)) == {"c1", "c2"}
