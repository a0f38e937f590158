# SPDX-License-Identifier: MIT
"""Runs that wait for room, in the order in which they should get it."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterator
from typing import NamedTuple

from foldloom.jobs.spec import TaskId
from foldloom.scheduling.runs import Run


class _Place(NamedTuple):
    """A run's place in the order."""

    priority: int
    arrival: int
    task: TaskId


class WaitingRuns:
    """Runs by priority, then by the arrival of their job's step."""

    def __init__(self) -> None:
        self._order: list[_Place] = []
        self._places: dict[TaskId, _Place] = {}
        self._runs: dict[TaskId, Run] = {}
        self._arrivals: dict[str, int] = {}
        self._next_arrival = 0
        self._cpu_milli = 0

    def __len__(self) -> int:
        return len(self._order)

    def __contains__(self, task: TaskId) -> bool:
        return task in self._places

    @property
    def cpu_milli(self) -> int:
        """How much processor all of them ask for, in thousandths of cores."""
        return self._cpu_milli

    def __iter__(self) -> Iterator[Run]:
        """Go through a copy, so that runs may be taken out meanwhile."""
        for place in list(self._order):
            yield self._runs[place.task]

    def add(self, run: Run) -> None:
        """Put *run* among those of its job, behind what came before."""
        if run.task in self._places:
            return
        job_id = run.spec.job_id
        if job_id not in self._arrivals:
            self._next_arrival += 1
            self._arrivals[job_id] = self._next_arrival
        place = _Place(run.spec.priority, self._arrivals[job_id], run.task)
        self._places[run.task] = place
        self._runs[run.task] = run
        self._cpu_milli += run.spec.demand.cpu_milli
        insort(self._order, place)

    def remove(self, task: TaskId) -> None:
        """Take a run out, if it waits."""
        place = self._places.pop(task, None)
        if place is None:
            return
        del self._order[bisect_left(self._order, place)]
        self._cpu_milli -= self._runs.pop(task).spec.demand.cpu_milli

    def forget_job(self, job_id: str) -> None:
        """Forget when a job arrived; it comes again behind all others."""
        self._arrivals.pop(job_id, None)
