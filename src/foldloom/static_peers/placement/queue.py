# SPDX-License-Identifier: MIT
"""Queue of slot requests at a lease manager, indexed by customer and service."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from foldloom.static_peers.placement.messages import SlotRequest
from foldloom.static_peers.placement.shares import RoundRobin

Key = tuple[str, int]


class PendingRequest:
    """A request with tasks that still wait for slots.

    Args:
        coordinator: The requesting box.
        request: The request.
    """

    __slots__ = ("coordinator", "has_slow", "left", "request")

    def __init__(self, coordinator: str, request: SlotRequest) -> None:
        self.coordinator = coordinator
        self.request = request
        self.left = request.tasks
        self.has_slow = False

    @property
    def key(self) -> Key:
        """The coordinator and its request id."""
        return self.coordinator, self.request.request_id


class RequestQueue:
    """Slot requests: round robin between customers, first come first served within a customer.

    Args:
        quota_of: Returns a customer's weight.
    """

    def __init__(self, quota_of: Callable[[str], int]) -> None:
        self._pending: dict[Key, PendingRequest] = {}
        self._by_customer: dict[str, dict[Key, PendingRequest]] = {}
        self._by_service: dict[str, dict[Key, PendingRequest]] = {}
        self._tasks_of_customer: dict[str, int] = {}
        self._tasks_of_service: dict[str, int] = {}
        self._round_robin = RoundRobin(quota_of)

    def __bool__(self) -> bool:
        """Return whether the queue has a request."""
        return bool(self._pending)

    def __contains__(self, key: Key) -> bool:
        """Return whether the request *key* is queued."""
        return key in self._pending

    @property
    def tasks(self) -> int:
        """Number of queued tasks."""
        return sum(self._tasks_of_service.values())

    @property
    def customers(self) -> set[str]:
        """The customers with queued requests."""
        return set(self._by_customer)

    @property
    def service_count(self) -> int:
        """Number of services with queued requests."""
        return len(self._by_service)

    @property
    def coordinators(self) -> set[str]:
        """The boxes with queued requests."""
        return {coordinator for coordinator, _ in self._pending}

    def tasks_of_customer(self, customer: str) -> int:
        """Return the number of queued tasks of *customer*."""
        return self._tasks_of_customer.get(customer, 0)

    def tasks_of_service(self, service: str) -> int:
        """Return the number of queued tasks of *service*."""
        return self._tasks_of_service.get(service, 0)

    def in_round_robin_order(self, is_full: Callable[[str], bool]) -> Iterator[PendingRequest]:
        """Yield requests, customer by customer in round-robin order, oldest first.

        Args:
            is_full: Returns whether a customer may run no further task; it is left out.
        """
        for customer in self._round_robin.order():
            if not is_full(customer):
                yield from self._by_customer[customer].values()

    def of_service(self, service: str) -> Iterator[PendingRequest]:
        """Yield the requests of *service*, oldest first."""
        yield from self._by_service.get(service, {}).values()

    def newest_of(self, service: str) -> PendingRequest:
        """Return the newest request of *service*, which must have one."""
        return next(reversed(self._by_service[service].values()))

    def add(self, pending: PendingRequest) -> None:
        """Queue a request."""
        customer, service = pending.request.customer, pending.request.service
        self._pending[pending.key] = pending
        self._by_customer.setdefault(customer, {})[pending.key] = pending
        self._by_service.setdefault(service, {})[pending.key] = pending
        self._count(pending, pending.left)
        self._round_robin.add(customer)

    def grant_one(self, pending: PendingRequest) -> None:
        """Remove one task of a request from the queue and charge it to the customer."""
        self._round_robin.charge(pending.request.customer)
        pending.left -= 1
        self._count(pending, -1)
        if pending.left == 0:
            self.drop(pending.key)

    def drop(self, key: Key) -> None:
        """Remove a request if it is queued."""
        pending = self._pending.pop(key, None)
        if pending is None:
            return
        customer, service = pending.request.customer, pending.request.service
        self._count(pending, -pending.left)
        del self._by_customer[customer][key], self._by_service[service][key]
        if not self._by_service[service]:
            del self._by_service[service], self._tasks_of_service[service]
        if not self._by_customer[customer]:
            del self._by_customer[customer], self._tasks_of_customer[customer]
            self._round_robin.remove(customer)

    def drop_requests_of(self, coordinator: str) -> None:
        """Remove every request of *coordinator*."""
        for key in [key for key in self._pending if key[0] == coordinator]:
            self.drop(key)

    def _count(self, pending: PendingRequest, delta: int) -> None:
        customer, service = pending.request.customer, pending.request.service
        self._tasks_of_customer[customer] = self._tasks_of_customer.get(customer, 0) + delta
        self._tasks_of_service[service] = self._tasks_of_service.get(service, 0) + delta
