# SPDX-License-Identifier: MIT
"""What is committed and applied on one controller, and who counts among the controllers by it.

Owns the replicated state, how far it is committed and applied, and the table of controllers. Relies
on the log. Whoever needs to know of a newer configuration or document is called at once, in order.
"""

from __future__ import annotations

from collections.abc import Callable

from foldloom.controllers.commands import Answer, FoundCommand, encode_command
from foldloom.controllers.config import Config
from foldloom.controllers.controller_table import ControllerTable
from foldloom.controllers.log import ReplicatedLog
from foldloom.controllers.records import Snapshot
from foldloom.controllers.state import ChangeSet, Publication, ReplicatedState


class AppliedState:
    """The state after all applied entries; at first what the log's snapshot holds.

    Args:
        log: The controller's log, as opened.
        initial: The configuration at version 0.
        on_config: Called with each newer configuration and what led to it.
        on_publication: Called with each newer published document.
    """

    def __init__(
        self,
        log: ReplicatedLog,
        initial: Config,
        on_config: Callable[[Config, list[ChangeSet]], None],
        on_publication: Callable[[Publication], None],
    ) -> None:
        self._log = log
        self._initial = initial
        self._on_config = on_config
        self._on_publication = on_publication
        self._state = ReplicatedState(initial)
        self._table = ControllerTable(log, initial)
        self._commit_index = 0
        self._index = 0

    @property
    def state(self) -> ReplicatedState:
        """The state after all applied entries."""
        return self._state

    @property
    def commit_index(self) -> int:
        """The index up to which entries are committed, as far as known here."""
        return self._commit_index

    @property
    def controllers(self) -> dict[str, str]:
        """The controllers that count, by the own log, and their data folders' ids."""
        return self._table.newest(self._state, self._index)

    @property
    def snapshot(self) -> Snapshot:
        """The state as a snapshot, to replace the log up to the last applied entry."""
        return Snapshot(self._index, self._log.term_at(self._index) or 0, self._state.dump())

    def initial_payload(self) -> bytes:
        """Return what a leader begins its term with: nothing, unless the system is new."""
        if self._state.is_founded or self._log.last_index:
            return b""
        boxes = self._initial.boxes["current"]
        return encode_command(FoundCommand(boxes, self._initial.controllers))

    def load(self, snapshot: Snapshot) -> None:
        """Replace the state by that of *snapshot*, unless more is applied here."""
        if snapshot.last_index <= self._index:
            return
        self._state.load(snapshot.state)
        self._index = snapshot.last_index
        self._commit_index = max(self._commit_index, snapshot.last_index)
        self._on_config(self._state.config, [])
        self._on_publication(self._state.publication)

    def record_accepted(self, prev_index: int) -> None:
        """Note that a leader's entries after *prev_index* were accepted into the log."""
        self._table.record_accepted(prev_index)

    def commit(self, index: int, resolve: Callable[[int, Answer], None]) -> None:
        """Commit and apply the entries up to *index*.

        Args:
            index: The last entry that is committed.
            resolve: Called with each entry's index and what it came to.
        """
        self._commit_index = max(self._commit_index, index)
        version = self._state.config.version
        published = self._state.publication.version
        while self._index < min(self._commit_index, self._log.last_index):
            entry = self._log.entry(self._index + 1)
            answer = self._state.apply(entry.payload)
            self._index = entry.log_index
            resolve(entry.log_index, answer)
        self._table.record_committed(self._commit_index)
        if self._state.config.version != version:
            self._on_config(self._state.config, self._state.changes_since(version))
        if self._state.publication.version != published:
            self._on_publication(self._state.publication)
