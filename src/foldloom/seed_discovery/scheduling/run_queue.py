# SPDX-License-Identifier: MIT
"""Queue of runs waiting for capacity, by group."""

from __future__ import annotations

from collections.abc import Collection, Iterator
from typing import NamedTuple

from foldloom.seed_discovery.jobs.spec import TaskId
from foldloom.seed_discovery.scheduling.estimates import Estimates
from foldloom.seed_discovery.scheduling.groups import RunGroup
from foldloom.seed_discovery.scheduling.ranking import Rank, rank, speed_min
from foldloom.seed_discovery.scheduling.remote_groups import GroupId, GroupSummary, group_of
from foldloom.seed_discovery.scheduling.runs import Run
from foldloom.seed_discovery.scheduling.serving_order import ServingOrder


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
        self._order = ServingOrder()
        self._queued_count = 0
        self._cpu_milli = 0

    def __len__(self) -> int:
        return self._queued_count

    def __contains__(self, task: TaskId) -> bool:
        group = self._groups.get(group_of(task))
        return group is not None and task in group.queued

    @property
    def cpu_milli(self) -> int:
        """CPU demand of all queued runs, in thousandths of a core."""
        return self._cpu_milli

    def state(self, now_ms: float) -> QueueState:
        """Return the length and age of the queue."""
        groups = self._order.groups
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
        if run.task in group.queued:
            return
        if not group.queued:
            self._order.add(group)
        group.queued[run.task] = run
        self._note_count(group, 1)

    def remove(self, task: TaskId) -> None:
        """Remove the run of *task* from the queue, if present."""
        group = self._groups.get(group_of(task))
        if group is None or group.queued.pop(task, None) is None:
            return
        self._note_count(group, -1)
        if not group.queued:
            self._order.discard(group)

    def remove_group(self, key: GroupId) -> None:
        """Remove a group that has no runs left."""
        group = self._groups.pop(key, None)
        if group is not None and group.queued:
            self._note_count(group, -len(group.queued))
            self._order.discard(group)

    def note_done(self, run: Run, work_ms: float) -> None:
        """Record the duration of a finished run, in milliseconds on an endpoint of speed 1."""
        group = self.group(run)
        group.note_done(work_ms)
        self._order.note_changed(group)

    def order(self, now_ms: float) -> ServingOrder:
        """Return the groups with queued runs in serving order at *now_ms*."""
        self._order.update(now_ms)
        return self._order

    def groups_up_to(self, last: Rank, now_ms: float) -> Iterator[RunGroup]:
        """Iterate over the queued groups with rank *last* or lower, in serving order."""
        return self.order(now_ms).up_to(last)

    def unattainable(self, now_ms: float) -> list[RunGroup]:
        """Return the queued groups whose jobs can no longer complete in time."""
        return self.order(now_ms).unattainable()

    def summaries(
        self, now_ms: float, limit: int, excluded: Collection[TaskId] = ()
    ) -> list[GroupSummary]:
        """Return summaries of the first *limit* queued groups in serving order.

        Runs of *excluded* tasks do not count as waiting.
        """
        summaries: list[GroupSummary] = []
        for group in self.order(now_ms):
            if len(summaries) == limit:
                break
            waiting = _count_waiting(group, excluded)
            if not waiting:
                continue
            group_rank = rank(group, now_ms)
            summary = GroupSummary(
                group_of(next(iter(group.queued))),
                group.spec.service,
                group.spec.demand,
                group.spec.placement,
                group_rank.tier,
                group_rank.level,
                int(group_rank.start_deadline_ms - now_ms),
                waiting,
                int(group.queued_cpu_ms),
                speed_min(group, now_ms),
            )
            summaries.append(summary)
        return summaries

    def _note_count(self, group: RunGroup, change: int) -> None:
        self._queued_count += change
        self._cpu_milli += change * group.spec.demand.cpu_milli


def _count_waiting(group: RunGroup, excluded: Collection[TaskId]) -> int:
    if not excluded:
        return len(group.queued)
    return sum(task not in excluded for task in group.queued)
