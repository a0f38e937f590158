# SPDX-License-Identifier: MIT
"""The voters according to one controller's own log.

As in Raft (Ongaro's dissertation, 2014, section 4.1), the newest table in the log applies, whether
committed or not. The commit index is unknown after a start, so the table after all log entries
applies until an entry of the current term is committed.
"""

from __future__ import annotations

from foldloom.controllers.config import Config
from foldloom.controllers.log import ReplicatedLog
from foldloom.controllers.members import VoterTable, newest_table
from foldloom.controllers.state import ReplicatedState


class ControllerTable:
    """The voters and their storage ids.

    Args:
        log: The controller's log, as opened.
        initial: The configuration at version 0.
    """

    def __init__(self, log: ReplicatedLog, initial: Config) -> None:
        self._log = log
        self._initial = initial
        self._opened_index = log.last_index
        self._opened_table = self._table_of_whole_log()
        self._cache_key: tuple[int, int, int] | None = None
        self._cached_table: VoterTable = {}

    def newest(self, state: ReplicatedState, applied_index: int) -> VoterTable:
        """Return the newest table.

        Args:
            state: The state after the applied entries.
            applied_index: The index of the last applied entry.
        """
        key = (applied_index, self._log.last_index, self._log.last_term)
        if key != self._cache_key:
            self._cache_key = key
            self._cached_table = self._compute_newest(state, applied_index)
        return self._cached_table

    def record_committed(self, index: int) -> None:
        """Record that the entries up to *index* are committed."""
        if self._log.term_at(index) == self._log.term:
            self._opened_index = 0

    def record_accepted(self, prev_index: int) -> None:
        """Record that a leader's entries after *prev_index* were accepted into the log."""
        if prev_index >= self._opened_index:
            return
        # Entries that the opened table was computed from may have been replaced.
        self._opened_index = self._log.last_index
        self._opened_table = self._table_of_whole_log()
        self._cache_key = None

    def _compute_newest(self, state: ReplicatedState, applied_index: int) -> VoterTable:
        if self._opened_index:
            base, first = self._opened_table, self._opened_index + 1
        else:
            base, first = state.config.controllers, applied_index + 1
        if first > self._log.last_index:
            return dict(base)
        entries = self._log.entries_from(first, self._log.last_index - first + 1)
        is_founded = state.is_founded or bool(self._opened_index)
        return newest_table(base, is_founded, (entry.payload for entry in entries))

    def _table_of_whole_log(self) -> VoterTable:
        """Return the table after all log entries, committed or not."""
        log = self._log
        state = ReplicatedState(self._initial)
        if log.snapshot.last_index:
            state.load(log.snapshot.state)
        for entry in log.entries_from(log.snapshot.last_index + 1, log.entry_count):
            state.apply(entry.payload)
        return state.config.controllers
