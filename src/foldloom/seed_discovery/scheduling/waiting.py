# SPDX-License-Identifier: MIT
"""Runs that wait for room, by group.

Owns the groups of which any run is here, waiting or not.
"""

from __future__ import annotations

from foldloom.seed_discovery.jobs.spec import TaskId
from foldloom.seed_discovery.scheduling.estimates import Estimates
from foldloom.seed_discovery.scheduling.groups import RunGroup
from foldloom.seed_discovery.scheduling.ranking import rank, speed_min
from foldloom.seed_discovery.scheduling.runs import Run
from foldloom.seed_discovery.scheduling.sharing import GroupId, GroupSummary, group_of


class WaitingRuns:
    """The groups that have runs here, waiting or not, and the runs of them that wait.

    Args:
        estimates: How long tasks take.
    """

    def __init__(self, estimates: Estimates) -> None:
        self._estimates = estimates
        self._groups: dict[GroupId, RunGroup] = {}
        self._waiting_count = 0

    def __len__(self) -> int:
        return self._waiting_count

    def __contains__(self, task: TaskId) -> bool:
        group = self._groups.get(group_of(task))
        return group is not None and task in group.waiting

    @property
    def groups(self) -> list[RunGroup]:
        """The groups with runs that wait."""
        return [group for group in self._groups.values() if group.waiting]

    @property
    def cpu_milli(self) -> int:
        """How much processor all that wait ask for, in thousandths of cores."""
        return sum(len(group.waiting) * group.spec.demand.cpu_milli for group in self.groups)

    def get(self, key: GroupId) -> RunGroup | None:
        """Return the group *key*, if any run of it is here."""
        return self._groups.get(key)

    def group(self, run: Run) -> RunGroup:
        """Return the group of *run*, a new one if it is the first of its group."""
        key = group_of(run.task)
        known = self._groups.get(key)
        if known is None:
            expected_ms = self._estimates.expected_ms(run.spec.queue, run.spec.estimate_ms)
            known = RunGroup(run.spec, expected_ms)
            self._groups[key] = known
        return known

    def add(self, run: Run) -> None:
        """Queue *run*."""
        group = self.group(run)
        if run.task not in group.waiting:
            group.waiting[run.task] = run
            self._waiting_count += 1

    def remove(self, task: TaskId) -> None:
        """Remove a run, if it waits."""
        group = self._groups.get(group_of(task))
        if group is not None and group.waiting.pop(task, None) is not None:
            self._waiting_count -= 1

    def forget(self, key: GroupId) -> None:
        """Forget a group of which nothing is here any more."""
        group = self._groups.pop(key, None)
        if group is not None:
            self._waiting_count -= len(group.waiting)

    def summaries(self, now_ms: float, limit: int) -> list[GroupSummary]:
        """Return the first groups in order, for the owners of other zones."""
        ranked = sorted((rank(group, now_ms), key) for key, group in self._waiting_items())
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
                len(group.waiting),
                int(group.waiting_cpu_ms),
                speed_min(group, now_ms),
            )
            summaries.append(summary)
        return summaries

    def _waiting_items(self) -> list[tuple[GroupId, RunGroup]]:
        return [(key, group) for key, group in self._groups.items() if group.waiting]
