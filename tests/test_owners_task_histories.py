# SPDX-License-Identifier: MIT
"""Crash counts that entry boxes keep for the next owner of a task."""

from __future__ import annotations

from foldloom.seed_discovery.jobs.spec import TaskId
from foldloom.seed_discovery.owners.crash_records import CRASH_RECORD_TTL_MS
from foldloom.seed_discovery.owners.messages import TaskCrashes
from foldloom.seed_discovery.owners.task_histories import TaskHistories
from foldloom.seed_discovery.scheduling.crashes import CrashCount
from test_owners_state import submission

_TASK = TaskId("0" * 16, 0, 0, 1)


def _delivered(histories: TaskHistories, now_ms: float) -> list[CrashCount]:
    return [order.crashes for order in histories.annotate(submission(2), now_ms).orders]


class TestCrashCounts:
    """An owner's count is delivered with the task, as long as an owner would keep it."""

    def test_is_delivered_with_its_task(self) -> None:
        """The step's other tasks have no count."""
        histories = TaskHistories()
        histories.note_crashes(TaskCrashes(_TASK, CrashCount(1, 1)), 0.0)
        assert _delivered(histories, 1.0) == [CrashCount(), CrashCount(1, 1)]

    def test_the_larger_one_counts(self) -> None:
        """A late report, or one of an owner that knows fewer crashes, lowers no count."""
        histories = TaskHistories()
        histories.note_crashes(TaskCrashes(_TASK, CrashCount(2, 1)), 0.0)
        histories.note_crashes(TaskCrashes(_TASK, CrashCount(1, 0)), 1.0)
        assert _delivered(histories, 2.0)[1] == CrashCount(2, 1)

    def test_normal_end(self) -> None:
        """A task that has ended normally starts without a count."""
        histories = TaskHistories()
        histories.note_crashes(TaskCrashes(_TASK, CrashCount(2, 1)), 0.0)
        histories.note_crashes(TaskCrashes(_TASK, CrashCount()), 1.0)
        assert _delivered(histories, 2.0)[1] == CrashCount()

    def test_expiry(self) -> None:
        """Counts do not accumulate."""
        histories = TaskHistories()
        histories.note_crashes(TaskCrashes(_TASK, CrashCount(2, 1)), 0.0)
        assert _delivered(histories, CRASH_RECORD_TTL_MS)[1] == CrashCount()
