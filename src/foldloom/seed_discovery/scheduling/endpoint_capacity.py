# SPDX-License-Identifier: MIT
"""Allocations and reservations of one endpoint's capacity."""

from __future__ import annotations

from typing import NamedTuple

from foldloom.seed_discovery.jobs.spec import Demand, TaskId

_ZERO_DEMAND = Demand(0, 0, 0)


def add_demand(left: Demand, right: Demand) -> Demand:
    """Return the sum of two demands."""
    return Demand(
        left.cpu_milli + right.cpu_milli,
        left.memory_mb + right.memory_mb,
        left.gpus + right.gpus,
    )


def subtract_demand(left: Demand, right: Demand) -> Demand:
    """Return *left* minus *right*."""
    return Demand(
        left.cpu_milli - right.cpu_milli,
        left.memory_mb - right.memory_mb,
        left.gpus - right.gpus,
    )


def fits(demand: Demand, free: Demand) -> bool:
    """Return whether *free* covers *demand* in every resource."""
    return (
        demand.cpu_milli <= free.cpu_milli
        and demand.memory_mb <= free.memory_mb
        and demand.gpus <= free.gpus
    )


class CapacityReservation(NamedTuple):
    """Capacity reserved until ``until_ms``."""

    demand: Demand
    until_ms: float


class EndpointCapacity:
    """An endpoint's capacity, allocations and reservations.

    Args:
        capacity: The total capacity.
    """

    def __init__(self, capacity: Demand) -> None:
        self._capacity = capacity
        self._allocated: dict[TaskId, Demand] = {}
        self._reservations_by_number: dict[int, CapacityReservation] = {}
        self._free = capacity

    @property
    def capacity(self) -> Demand:
        """The total capacity."""
        return self._capacity

    @property
    def free(self) -> Demand:
        """Capacity neither allocated nor reserved; negative if overcommitted."""
        return self._free

    @property
    def tasks(self) -> list[TaskId]:
        """The tasks with an allocation."""
        return list(self._allocated)

    def set_capacity(self, capacity: Demand) -> None:
        """Change the total capacity; allocations and reservations stay."""
        self._free = add_demand(subtract_demand(self._free, self._capacity), capacity)
        self._capacity = capacity

    def allocate(self, task: TaskId, demand: Demand) -> None:
        """Allocate capacity to *task*; no effect if it already has an allocation."""
        if task in self._allocated:
            return
        self._allocated[task] = demand
        self._free = subtract_demand(self._free, demand)

    def release(self, task: TaskId) -> None:
        """Release the allocation of *task*, if any."""
        self._free = add_demand(self._free, self._allocated.pop(task, _ZERO_DEMAND))

    def reserve(self, number: int, demand: Demand, until_ms: float) -> None:
        """Reserve capacity for a run to be stolen, under the caller's *number*."""
        self._reservations_by_number[number] = CapacityReservation(demand, until_ms)
        self._free = subtract_demand(self._free, demand)

    def cancel_reservation(self, number: int) -> None:
        """Cancel the reservation *number*, if it exists."""
        reserved = self._reservations_by_number.pop(number, None)
        if reserved is not None:
            self._free = add_demand(self._free, reserved.demand)

    def expire_reservations(self, now_ms: float) -> None:
        """Cancel expired reservations."""
        for number, reserved in list(self._reservations_by_number.items()):
            if now_ms >= reserved.until_ms:
                self.cancel_reservation(number)

    def allocated_count(self, job_id: str, step: int) -> int:
        """Return the number of a step's tasks with an allocation."""
        return sum(1 for task in self._allocated if task.job_id == job_id and task.step == step)
