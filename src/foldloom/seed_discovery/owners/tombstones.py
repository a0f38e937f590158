# SPDX-License-Identifier: MIT
"""Tombstones of tasks that an owner knows no run of any more.

Owns what is remembered of them for some seconds. A tombstone keeps a late or repeated message
from starting a task again, and lets a later start count on from the attempts before it.
"""

from __future__ import annotations

from typing import NamedTuple

from foldloom.seed_discovery.endpoints.calls import EndedRun, EndKind
from foldloom.seed_discovery.jobs.spec import TaskId
from foldloom.seed_discovery.owners.messages import EndCause, RunEnd
from foldloom.seed_discovery.scheduling.runs import HolderId, Run

# Milliseconds: no message, order or lease lives longer than the longest of the users'
# deadlines, 2.8 s, and twice that leaves a margin.
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
    """What is remembered of a task.

    Args:
        attempt: Its last start.
        ended_ms: When that ended or was dropped; own monotonic clock.
        end: How it ended, if an endpoint listed the end before any box asked for the task.
        deliveries: Each box's newest delivery of it.
    """

    attempt: int
    ended_ms: float
    end: RunEnd | None
    deliveries: dict[HolderId, int]

    def covers(self, holder: HolderId, delivery: int) -> bool:
        """Return whether a delivery is a late copy of one whose runs are over."""
        return 0 < delivery <= self.deliveries.get(holder, 0)


class Tombstones:
    """The tombstones of one owner, the oldest first."""

    def __init__(self) -> None:
        self._by_task: dict[TaskId, Tombstone] = {}

    def get(self, task: TaskId) -> Tombstone | None:
        """Return the tombstone of *task*, if it is remembered."""
        return self._by_task.get(task)

    def add(self, run: Run, now_ms: float) -> None:
        """Remember a run that is known no more."""
        previous = self._by_task.pop(run.task, None)
        deliveries = {} if previous is None else previous.deliveries
        self._by_task[run.task] = Tombstone(run.attempt, now_ms, None, deliveries | run.holders)

    def add_orphaned(self, end: EndedRun, endpoint: str, now_ms: float) -> None:
        """Remember an end that no run waits for; a box may ask for the task later."""
        task, attempt = end.run_id
        tombstone = self._by_task.get(task)
        if tombstone is not None and tombstone.attempt >= attempt:
            return
        run_end = RunEnd(end.run_id, CAUSE_OF_KIND[end.how], endpoint, 0, end.checkpoint)
        self._by_task.pop(task, None)
        self._by_task[task] = Tombstone(attempt, now_ms, run_end, {})

    def expire(self, now_ms: float) -> None:
        """Forget what is older than ``TOMBSTONE_TTL_MS``."""
        while self._by_task:
            task = next(iter(self._by_task))
            if now_ms - self._by_task[task].ended_ms < TOMBSTONE_TTL_MS:
                break
            del self._by_task[task]
