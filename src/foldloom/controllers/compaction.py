# SPDX-License-Identifier: MIT
"""Log compaction: replaces a controller's log by a snapshot once it is long enough.

The log keeps the entries after the snapshot (Ongaro and Ousterhout, 2014, section 7).
"""

from __future__ import annotations

from typing import Protocol

from foldloom.controllers.applied import AppliedState
from foldloom.controllers.log import ReplicatedLog
from foldloom.logs import CONTROLLER_LOG
from foldloom.tasks import TaskSet

# Entries after which a snapshot is taken; limits the replay at a restart.
_SNAPSHOT_ENTRIES = 200
# Size of the log after which a snapshot is taken; limits its disk space.
_SNAPSHOT_LOG_BYTES = 8 * 1024 * 1024


class CompactedController(Protocol):
    """The part of a controller that compaction uses."""

    log: ReplicatedLog
    applied: AppliedState

    @property
    def log_bytes(self) -> int:
        """The log file's size in bytes."""

    def fail(self, error: OSError) -> None:
        """Stop participating until the data folder is reopened."""


class Compaction:
    """Compacts a controller's log when it exceeds its limits.

    Args:
        controller: The controller.
        tasks: Runs the compaction task.
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
        """Start a compaction if the log exceeds its limits and none is running."""
        if self._is_running or not self._is_compaction_due:
            return
        self._is_running = True
        self._tasks.spawn(self._compact())

    async def _compact(self) -> None:
        log, snapshot = self._controller.log, self._controller.applied.snapshot
        try:
            await log.compact(snapshot)
            CONTROLLER_LOG.info("Log compacted up to index {}.", snapshot.last_index)
        except OSError as error:
            # If the log was reopened in the meantime, the error concerns the previous one.
            if log is self._controller.log:
                self._controller.fail(error)
        finally:
            self._is_running = False
