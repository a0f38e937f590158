# SPDX-License-Identifier: MIT
"""Crash counts of tasks in one owner's term.

A count is removed when the task ends normally or after ``CRASH_RECORD_TTL_MS``. Other owners learn
it from the entry boxes (:mod:`foldloom.seed_discovery.owners.task_histories`).
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import NamedTuple

from foldloom.seed_discovery.jobs.spec import TaskId
from foldloom.seed_discovery.scheduling.crashes import CrashCount, Isolation, isolation_for

# Kept this long after the task's last crash, since its caller may submit it again.
CRASH_RECORD_TTL_MS = 60_000.0

_NO_CRASHES = CrashCount()


class _CrashRecord(NamedTuple):
    """A task's crash count and the time of its last update."""

    crashes: CrashCount
    noted_ms: float


class CrashRecords:
    """Crash counts and isolation by task, least recently updated first."""

    def __init__(self) -> None:
        self._by_task: dict[TaskId, _CrashRecord] = {}
        self._isolations: dict[TaskId, Isolation] = {}

    @property
    def isolations(self) -> Mapping[TaskId, Isolation]:
        """Isolation of the tasks with recorded crashes."""
        return self._isolations

    @property
    def counts(self) -> dict[TaskId, CrashCount]:
        """The counts, the least recently updated first."""
        return {task: record.crashes for task, record in self._by_task.items()}

    def count_of(self, task: TaskId) -> CrashCount:
        """Return the number of endpoint crashes during runs of *task*."""
        record = self._by_task.get(task)
        return _NO_CRASHES if record is None else record.crashes

    def note_crash(self, tasks: Collection[TaskId], has_other_runs: bool, now_ms: float) -> None:
        """Count a crash of an endpoint with *tasks*, and with other runs if *has_other_runs*."""
        ran_alone = len(tasks) == 1 and not has_other_runs
        for task in tasks:
            self._store(task, self.count_of(task).incremented(ran_alone), now_ms)

    def merge(self, task: TaskId, count: CrashCount, now_ms: float) -> None:
        """Merge the count that the job's entry box received from another owner."""
        if count.crashes:
            self._store(task, self.count_of(task).merged(count), now_ms)

    def clear(self, task: TaskId) -> None:
        """Remove the count of *task*, which has ended normally."""
        self._by_task.pop(task, None)
        self._isolations.pop(task, None)

    def expire(self, now_ms: float) -> None:
        """Remove counts last updated more than ``CRASH_RECORD_TTL_MS`` ago."""
        while self._by_task:
            task = next(iter(self._by_task))
            if now_ms - self._by_task[task].noted_ms < CRASH_RECORD_TTL_MS:
                return
            self.clear(task)

    def _store(self, task: TaskId, count: CrashCount, now_ms: float) -> None:
        self._by_task.pop(task, None)
        self._by_task[task] = _CrashRecord(count, now_ms)
        self._isolations[task] = isolation_for(count)
