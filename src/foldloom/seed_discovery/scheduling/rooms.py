# SPDX-License-Identifier: MIT
"""How much of an endpoint is taken, and kept for runs that are to come. Owns both."""

from __future__ import annotations

from typing import NamedTuple

from foldloom.seed_discovery.jobs.spec import Demand, TaskId

_NOTHING = Demand(0, 0, 0)


def plus(left: Demand, right: Demand) -> Demand:
    """Return both together."""
    return Demand(
        left.cpu_milli + right.cpu_milli,
        left.memory_mb + right.memory_mb,
        left.gpus + right.gpus,
    )


def minus(left: Demand, right: Demand) -> Demand:
    """Return *left* without *right*."""
    return Demand(
        left.cpu_milli - right.cpu_milli,
        left.memory_mb - right.memory_mb,
        left.gpus - right.gpus,
    )


def fits(demand: Demand, free: Demand) -> bool:
    """Return whether *demand* finds room in *free*."""
    return (
        demand.cpu_milli <= free.cpu_milli
        and demand.memory_mb <= free.memory_mb
        and demand.gpus <= free.gpus
    )


class Reserved(NamedTuple):
    """Room that is kept until ``until_ms``."""

    demand: Demand
    until_ms: float


class Room:
    """One endpoint's capacity and what is charged to it.

    Args:
        capacity: All of it.
    """

    def __init__(self, capacity: Demand) -> None:
        self._capacity = capacity
        self._charged: dict[TaskId, Demand] = {}
        self._reserved: dict[int, Reserved] = {}
        self._free = capacity

    @property
    def capacity(self) -> Demand:
        """All of it."""
        return self._capacity

    @property
    def free(self) -> Demand:
        """What is not charged; negative where more was charged than there is."""
        return self._free

    @property
    def tasks(self) -> list[TaskId]:
        """The tasks that are charged."""
        return list(self._charged)

    def set_capacity(self, capacity: Demand) -> None:
        """Change the capacity; what is charged stays."""
        self._free = plus(minus(self._free, self._capacity), capacity)
        self._capacity = capacity

    def charge(self, task: TaskId, demand: Demand) -> None:
        """Charge room for *task*; a second time changes nothing."""
        if task in self._charged:
            return
        self._charged[task] = demand
        self._free = minus(self._free, demand)

    def release(self, task: TaskId) -> None:
        """Release the room of *task*, if it has any."""
        self._free = plus(self._free, self._charged.pop(task, _NOTHING))

    def reserve(self, number: int, demand: Demand, until_ms: float) -> None:
        """Keep room for a run that is stolen elsewhere, under a *number* of the caller's."""
        self._reserved[number] = Reserved(demand, until_ms)
        self._free = minus(self._free, demand)

    def unreserve(self, number: int) -> None:
        """Release the reservation *number*, if there is one."""
        reserved = self._reserved.pop(number, None)
        if reserved is not None:
            self._free = plus(self._free, reserved.demand)

    def unreserve_expired(self, now_ms: float) -> None:
        """Release reservations that were not used in time."""
        for number, reserved in list(self._reserved.items()):
            if now_ms >= reserved.until_ms:
                self.unreserve(number)

    def count_of(self, job_id: str, step: int) -> int:
        """Return how many tasks of a job's step are charged."""
        return sum(1 for task in self._charged if task.job_id == job_id and task.step == step)
