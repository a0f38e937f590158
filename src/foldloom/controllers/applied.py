# SPDX-License-Identifier: MIT
"""The committed and applied state of one controller, and the voters that follow from it.

Owns the replicated state, the commit index, the applied index and the table of controllers.
Callbacks for newer configurations and documents run synchronously, in order.
"""

from __future__ import annotations

from collections.abc import Callable

from foldloom.controllers.commands import Answer, BootstrapCommand, encode_command
from foldloom.controllers.config import Config
from foldloom.controllers.controller_table import ControllerTable
from foldloom.controllers.log import ReplicatedLog
from foldloom.controllers.records import Snapshot
from foldloom.controllers.state import ChangeSet, Publication, ReplicatedState


class AppliedState:
    """The state after all applied entries; initially that of the log's snapshot.

    Args:
        log: The controller's log, as opened.
        initial: The configuration at version 0.
        on_config: Called with each newer configuration and the changes since the last.
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
        self._applied_index = 0

    @property
    def state(self) -> ReplicatedState:
        """The state after all applied entries."""
        return self._state

    @property
    def commit_index(self) -> int:
        """The highest index known to be committed."""
        return self._commit_index

    @property
    def controllers(self) -> dict[str, str]:
        """The voters by this controller's log, with their storage ids."""
        return self._table.newest(self._state, self._applied_index)

    @property
    def snapshot(self) -> Snapshot:
        """A snapshot of the state, to replace the log up to the last applied entry."""
        return Snapshot(
            self._applied_index, self._log.term_at(self._applied_index) or 0, self._state.dump()
        )

    def initial_payload(self) -> bytes:
        """Return the payload of a term's first entry: empty unless the system is new."""
        if self._state.is_founded or self._log.last_index:
            return b""
        boxes = self._initial.boxes["current"]
        return encode_command(BootstrapCommand(boxes, self._initial.controllers))

    def load(self, snapshot: Snapshot) -> None:
        """Replace the state by that of *snapshot* unless more entries are applied here."""
        if snapshot.last_index <= self._applied_index:
            return
        self._state.load(snapshot.state)
        self._applied_index = snapshot.last_index
        self._commit_index = max(self._commit_index, snapshot.last_index)
        self._on_config(self._state.config, [])
        self._on_publication(self._state.publication)

    def record_accepted(self, prev_index: int) -> None:
        """Record that a leader's entries after *prev_index* were accepted into the log."""
        self._table.record_accepted(prev_index)

    def commit(self, index: int, resolve: Callable[[int, Answer], None]) -> None:
        """Commit and apply the entries up to *index*.

        Args:
            index: The last committed entry.
            resolve: Called with each applied entry's index and answer.
        """
        self._commit_index = max(self._commit_index, index)
        version = self._state.config.version
        published = self._state.publication.version
        while self._applied_index < min(self._commit_index, self._log.last_index):
            entry = self._log.entry(self._applied_index + 1)
            answer = self._state.apply(entry.payload)
            self._applied_index = entry.log_index
            resolve(entry.log_index, answer)
        self._table.record_committed(self._commit_index)
        if self._state.config.version != version:
            self._on_config(self._state.config, self._state.changes_since(version))
        if self._state.publication.version != published:
            self._on_publication(self._state.publication)
