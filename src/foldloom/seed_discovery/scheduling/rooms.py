# SPDX-License-Identifier: MIT
"""How much of an endpoint is taken, and kept for runs that are to come. Owns both."""

from __future__ import annotations

from typing import NamedTuple

from foldloom.seed_discovery.jobs.spec import Demand, TaskId

_ZERO_DEMAND = Demand(0, 0, 0)


def add_demand(left: Demand, right: Demand) -> Demand:
    """Return both together."""
    return Demand(
        left.cpu_milli + right.cpu_milli,
        left.memory_mb + right.memory_mb,
        left.gpus + right.gpus,
    )


def subtract_demand(left: Demand, right: Demand) -> Demand:
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


class CapacityReservation(NamedTuple):
    """Room that is kept until ``until_ms``."""

    demand: Demand
    until_ms: float


class EndpointCapacity:
    """One endpoint's capacity and what is charged to it.

    Args:
        capacity: All of it.
    """

    def __init__(self, capacity: Demand) -> None:
        self._capacity = capacity
        self._allocated: dict[TaskId, Demand] = {}
        self._reservations_by_number: dict[int, CapacityReservation] = {}
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
        return list(self._allocated)

    def set_capacity(self, capacity: Demand) -> None:
        """Change the capacity; what is charged stays."""
        self._free = add_demand(subtract_demand(self._free, self._capacity), capacity)
        self._capacity = capacity

    def charge(self, task: TaskId, demand: Demand) -> None:
        """Charge room for *task*; a second time changes nothing."""
        if task in self._allocated:
            return
        self._allocated[task] = demand
        self._free = subtract_demand(self._free, demand)

    def release(self, task: TaskId) -> None:
        """Release the room of *task*, if it has any."""
        self._free = add_demand(self._free, self._allocated.pop(task, _ZERO_DEMAND))

    def reserve(self, number: int, demand: Demand, until_ms: float) -> None:
        """Keep room for a run that is stolen elsewhere, under a *number* of the caller's."""
        self._reservations_by_number[number] = CapacityReservation(demand, until_ms)
        self._free = subtract_demand(self._free, demand)

    def cancel_reservation(self, number: int) -> None:
        """Release the reservation *number*, if there is one."""
        reserved = self._reservations_by_number.pop(number, None)
        if reserved is not None:
            self._free = add_demand(self._free, reserved.demand)

    def unreserve_expired(self, now_ms: float) -> None:
        """Release reservations that were not used in time."""
        for number, reserved in list(self._reservations_by_number.items()):
            if now_ms >= reserved.until_ms:
                self.cancel_reservation(number)

    def count_of(self, job_id: str, step: int) -> int:
        """Return how many tasks of a job's step are charged."""
        return sum(1 for task in self._allocated if task.job_id == job_id and task.step == step)
