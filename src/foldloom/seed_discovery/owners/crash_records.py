# SPDX-License-Identifier: MIT
"""The tasks under which endpoints have crashed in one owner's term.

Owns their counts, until the task has ended once or the time is over for which a caller may send its
job again. Relies on the owner's state for what was on an endpoint that crashed. Another owner knows
what the entry box of the job tells it.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import NamedTuple

from foldloom.seed_discovery.jobs.spec import TaskId
from foldloom.seed_discovery.scheduling.crashes import CrashCount, Isolation, isolation_for

# Milliseconds after its last crash for which a task is remembered: its caller may send it again.
CRASH_RECORD_TTL_MS = 60_000.0

_NO_CRASHES = CrashCount()


class _CrashRecord(NamedTuple):
    """What is known of one task, and when its last crash was noted."""

    crashes: CrashCount
    noted_ms: float


class CrashRecords:
    """The counts, those that were noted longest ago first."""

    def __init__(self) -> None:
        self._by_task: dict[TaskId, _CrashRecord] = {}
        self._isolations: dict[TaskId, Isolation] = {}

    @property
    def isolations(self) -> Mapping[TaskId, Isolation]:
        """How the tasks are kept apart under which an endpoint has crashed."""
        return self._isolations

    def count_of(self, task: TaskId) -> CrashCount:
        """Return how many endpoints have crashed under *task*."""
        record = self._by_task.get(task)
        return _NO_CRASHES if record is None else record.crashes

    def note_crash(self, tasks: Collection[TaskId], has_other_runs: bool, now_ms: float) -> None:
        """Note that an endpoint has crashed with *tasks* on it, and maybe with others."""
        ran_alone = len(tasks) == 1 and not has_other_runs
        for task in tasks:
            self._store(task, self.count_of(task).incremented(ran_alone), now_ms)

    def learn(self, task: TaskId, count: CrashCount, now_ms: float) -> None:
        """Learn from the box of a job what another owner has counted."""
        if count.crashes:
            self._store(task, self.count_of(task).merged(count), now_ms)

    def clear(self, task: TaskId) -> None:
        """Forget the crashes of a task that has ended by itself: it did not cause them."""
        self._by_task.pop(task, None)
        self._isolations.pop(task, None)

    def expire(self, now_ms: float) -> None:
        """Forget what was noted more than ``CRASH_RECORD_TTL_MS`` ago."""
        while self._by_task:
            task = next(iter(self._by_task))
            if now_ms - self._by_task[task].noted_ms < CRASH_RECORD_TTL_MS:
                return
            self.clear(task)

    def _store(self, task: TaskId, count: CrashCount, now_ms: float) -> None:
        self._by_task.pop(task, None)
        self._by_task[task] = _CrashRecord(count, now_ms)
        self._isolations[task] = isolation_for(count)
