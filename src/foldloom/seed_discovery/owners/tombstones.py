# SPDX-License-Identifier: MIT
"""Tombstones of tasks without a present run at their owner.

A tombstone prevents a delayed or duplicate message from starting the task again, and keeps its last
attempt number for a later start.
"""

from __future__ import annotations

from typing import NamedTuple

from foldloom.seed_discovery.endpoints.calls import EndedRun, EndKind
from foldloom.seed_discovery.jobs.spec import TaskId
from foldloom.seed_discovery.owners.messages import EndCause, RunEnd
from foldloom.seed_discovery.scheduling.runs import HolderId, Run

# No message, order or lease outlives the longest expected request deadline, 2.8 s; twice that plus
# a margin.
TOMBSTONE_TTL_MS = 6_000.0

CAUSE_OF_KIND = {
    EndKind.DONE: EndCause.DONE,
    EndKind.FAILED: EndCause.FAILED,
    EndKind.STOPPED: EndCause.STOPPED,
    EndKind.LAPSED: EndCause.LAPSED,
    EndKind.BROKEN: EndCause.FAILED,
    EndKind.ALONE: EndCause.FAILED,
}


class Tombstone(NamedTuple):
    """Record of a task's last run.

    Args:
        attempt: The last attempt.
        ended_ms: When it ended or was dropped; own monotonic clock.
        end: Its end, if an endpoint reported it before any box submitted the task.
        deliveries: The newest delivery by each box.
    """

    attempt: int
    ended_ms: float
    end: RunEnd | None
    deliveries: dict[HolderId, int]

    def is_duplicate(self, holder: HolderId, delivery: int) -> bool:
        """Return whether *delivery* is a duplicate of one whose runs have ended."""
        return 0 < delivery <= self.deliveries.get(holder, 0)


class Tombstones:
    """The tombstones of one owner, oldest first."""

    def __init__(self) -> None:
        self._by_task: dict[TaskId, Tombstone] = {}

    def get(self, task: TaskId) -> Tombstone | None:
        """Return the tombstone of *task*, or ``None``."""
        return self._by_task.get(task)

    def add(self, run: Run, now_ms: float) -> None:
        """Add a tombstone for a run that is removed."""
        previous = self._by_task.pop(run.task, None)
        deliveries = {} if previous is None else previous.deliveries
        self._by_task[run.task] = Tombstone(run.attempt, now_ms, None, deliveries | run.holders)

    def note_delivery(self, task: TaskId, holder: HolderId, delivery: int) -> None:
        """Record a delivery of *task* that did not start a run."""
        tombstone = self._by_task.get(task)
        if tombstone is not None:
            known = tombstone.deliveries.get(holder, 0)
            tombstone.deliveries[holder] = max(delivery, known)

    def add_orphaned(self, end: EndedRun, endpoint: str, now_ms: float) -> None:
        """Add a tombstone for the end of an orphaned run; a box may submit the task later."""
        task, attempt = end.run_id
        tombstone = self._by_task.get(task)
        if tombstone is not None and tombstone.attempt >= attempt:
            return
        run_end = RunEnd(end.run_id, CAUSE_OF_KIND[end.kind], endpoint, 0, end.checkpoint)
        self._by_task.pop(task, None)
        self._by_task[task] = Tombstone(attempt, now_ms, run_end, {})

    def expire(self, now_ms: float) -> None:
        """Remove tombstones older than ``TOMBSTONE_TTL_MS``."""
        while self._by_task:
            task = next(iter(self._by_task))
            if now_ms - self._by_task[task].ended_ms < TOMBSTONE_TTL_MS:
                break
            del self._by_task[task]
