# SPDX-License-Identifier: MIT
"""Queue of runs waiting for capacity, by group."""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

from foldloom.seed_discovery.jobs.spec import TaskId
from foldloom.seed_discovery.scheduling.estimates import Estimates
from foldloom.seed_discovery.scheduling.groups import RunGroup
from foldloom.seed_discovery.scheduling.ranking import rank, speed_min
from foldloom.seed_discovery.scheduling.remote_groups import GroupId, GroupSummary, group_of
from foldloom.seed_discovery.scheduling.runs import Run


class QueueState(NamedTuple):
    """Length and age of a queue.

    Args:
        queued_runs: Number of queued runs.
        queued_groups: Number of groups with queued runs.
        oldest_ms: Time since the arrival of the oldest job with queued runs; 0 if there is none.
    """

    queued_runs: int
    queued_groups: int
    oldest_ms: int


class RunQueue:
    """The groups with any run at this owner, and their queued runs.

    Args:
        estimates: Estimates of task durations.
    """

    def __init__(self, estimates: Estimates) -> None:
        self._estimates = estimates
        self._groups: dict[GroupId, RunGroup] = {}
        self._queued_count = 0

    def __len__(self) -> int:
        return self._queued_count

    def __contains__(self, task: TaskId) -> bool:
        group = self._groups.get(group_of(task))
        return group is not None and task in group.queued

    @property
    def groups(self) -> list[RunGroup]:
        """The groups with queued runs."""
        return [group for group in self._groups.values() if group.queued]

    @property
    def cpu_milli(self) -> int:
        """CPU demand of all queued runs, in thousandths of a core."""
        return sum(len(group.queued) * group.spec.demand.cpu_milli for group in self.groups)

    def state(self, now_ms: float) -> QueueState:
        """Return the length and age of the queue."""
        groups = self.groups
        arrived_ms = min((group.spec.arrived_ms for group in groups), default=now_ms)
        return QueueState(self._queued_count, len(groups), int(now_ms - arrived_ms))

    def get(self, key: GroupId) -> RunGroup | None:
        """Return the group *key*, or ``None`` if it has no runs here."""
        return self._groups.get(key)

    def group(self, run: Run) -> RunGroup:
        """Return the group of *run*, created on first use."""
        key = group_of(run.task)
        known = self._groups.get(key)
        if known is None:
            expected_ms = self._estimates.expected_ms(run.spec.queue, run.spec.estimate_ms)
            known = RunGroup(run.spec, expected_ms)
            self._groups[key] = known
        return known

    def add(self, run: Run) -> None:
        """Queue *run*; no effect if it is queued already."""
        group = self.group(run)
        if run.task not in group.queued:
            group.queued[run.task] = run
            self._queued_count += 1

    def remove(self, task: TaskId) -> None:
        """Remove the run of *task* from the queue, if present."""
        group = self._groups.get(group_of(task))
        if group is not None and group.queued.pop(task, None) is not None:
            self._queued_count -= 1

    def remove_group(self, key: GroupId) -> None:
        """Remove a group that has no runs left."""
        group = self._groups.pop(key, None)
        if group is not None:
            self._queued_count -= len(group.queued)

    def summaries(
        self, now_ms: float, limit: int, excluded: Collection[TaskId] = ()
    ) -> list[GroupSummary]:
        """Return summaries of the first *limit* queued groups in serving order.

        Runs of *excluded* tasks do not count as waiting.
        """
        waiting = {key: _count_waiting(group, excluded) for key, group in self._groups.items()}
        ranked = sorted(
            (rank(group, now_ms), key) for key, group in self._groups.items() if waiting[key]
        )
        summaries = []
        for group_rank, key in ranked[:limit]:
            group = self._groups[key]
            summary = GroupSummary(
                key,
                group.spec.service,
                group.spec.demand,
                group.spec.placement,
                group_rank.tier,
                group_rank.level,
                int(group_rank.start_deadline_ms - now_ms),
                waiting[key],
                int(group.queued_cpu_ms),
                speed_min(group, now_ms),
            )
            summaries.append(summary)
        return summaries


def _count_waiting(group: RunGroup, excluded: Collection[TaskId]) -> int:
    if not excluded:
        return len(group.queued)
    return sum(task not in excluded for task in group.queued)
