# SPDX-License-Identifier: MIT
"""When a controller's log is replaced by a snapshot, and the one task that does it.

Owns whether a snapshot is being written. Relies on the log, which keeps the entries behind the
snapshot, and on what is applied for the snapshot itself (Ongaro and Ousterhout, 2014, section 7).
"""

from __future__ import annotations

from typing import Protocol

from foldloom.controllers.applied import AppliedState
from foldloom.controllers.log import ReplicatedLog
from foldloom.logs import CONTROLLER_LOG
from foldloom.tasks import TaskSet

# Entries and bytes of the log at which it is replaced by a snapshot, so that a restart replays
# little, and the disk of 128 MB of the users' controllers is never near full.
_SNAPSHOT_ENTRIES = 200
# The same in bytes of the log.
_SNAPSHOT_LOG_BYTES = 8 * 1024 * 1024


class CompactedController(Protocol):
    """A controller as its compaction sees it."""

    log: ReplicatedLog
    applied: AppliedState

    @property
    def log_bytes(self) -> int:
        """The log file's size in bytes."""

    def fail(self, error: OSError) -> None:
        """Take no part until the data folder can be opened again."""


class Compaction:
    """Replace a controller's log by a snapshot whenever it has grown.

    Args:
        controller: The controller.
        tasks: Takes the task that writes a snapshot.
    """

    def __init__(self, controller: CompactedController, tasks: TaskSet) -> None:
        self._controller = controller
        self._tasks = tasks
        self._is_running = False

    @property
    def _is_compaction_due(self) -> bool:
        if self._controller.log.entry_count > _SNAPSHOT_ENTRIES:
            return True
        return self._controller.log_bytes > _SNAPSHOT_LOG_BYTES

    def run_if_due(self) -> None:
        """Begin to write a snapshot if the log is long, unless one is being written."""
        if self._is_running or not self._is_compaction_due:
            return
        self._is_running = True
        self._tasks.spawn(self._compact())

    async def _compact(self) -> None:
        log, snapshot = self._controller.log, self._controller.applied.snapshot
        try:
            await log.compact(snapshot)
            CONTROLLER_LOG.info("Snapshot up to entry {}.", snapshot.last_index)
        except OSError as error:
            # The log may have been opened again since; then this was about the one before.
            if log is self._controller.log:
                self._controller.fail(error)
        finally:
            self._is_running = False
