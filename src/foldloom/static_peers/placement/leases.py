# SPDX-License-Identifier: MIT
"""The leases of one shard's slots, and how many each endpoint, customer and service holds.

Owns the leases and their counts; decides nothing. The shard says when a lease begins and ends.
"""

from __future__ import annotations

from typing import NamedTuple

from foldloom.static_peers.placement.messages import HeldSlot


class Lease(NamedTuple):
    """A slot that a coordinator holds.

    Args:
        lease_id: Unique among all lease managers.
        endpoint: Whose slot it is.
        service: What the task asks for.
        customer: For whom it runs.
        coordinator: The box that holds it.
        since_ms: When the slot was granted, by the lease manager's steady clock.
        renewed_ms: When the coordinator last renewed it, by the same clock.
    """

    lease_id: int
    endpoint: str
    service: str
    customer: str
    coordinator: str
    since_ms: float
    renewed_ms: float


def reported_lease(held: HeldSlot, coordinator: str, now_ms: float) -> Lease:
    """Return the lease that *coordinator* reports to a new lease manager."""
    since_ms = now_ms - held.age_ms
    return Lease(
        held.lease_id, held.endpoint, held.service, held.customer, coordinator, since_ms, now_ms
    )


class LeaseTable:
    """The leases that are out."""

    def __init__(self) -> None:
        self._leases: dict[int, Lease] = {}
        self._busy: dict[str, int] = {}
        self._by_customer: dict[str, int] = {}
        self._by_service: dict[str, int] = {}

    @property
    def busy(self) -> dict[str, int]:
        """How many leases each endpoint has; it changes with the table."""
        return self._busy

    def __len__(self) -> int:
        """Return how many leases are out."""
        return len(self._leases)

    def get(self, lease_id: int) -> Lease | None:
        """Return a lease that is out."""
        return self._leases.get(lease_id)

    def present(self) -> list[Lease]:
        """Return the leases that are out, as of now."""
        return list(self._leases.values())

    def running_of_customer(self, customer: str) -> int:
        """Return how many leases a customer has."""
        return self._by_customer.get(customer, 0)

    def running_of_service(self, service: str) -> int:
        """Return how many leases a service has."""
        return self._by_service.get(service, 0)

    def renew(self, lease_id: int, now_ms: float) -> bool:
        """Renew a lease; return whether it is out."""
        lease = self._leases.get(lease_id)
        if lease is None:
            return False
        self._leases[lease_id] = lease._replace(renewed_ms=now_ms)
        return True

    def add(self, lease: Lease) -> None:
        """Note a lease that begins."""
        self._leases[lease.lease_id] = lease
        self._count(lease, 1)

    def remove(self, lease: Lease) -> None:
        """Note a lease that ends."""
        del self._leases[lease.lease_id]
        self._count(lease, -1)

    def _count(self, lease: Lease, delta: int) -> None:
        self._busy[lease.endpoint] = self._busy.get(lease.endpoint, 0) + delta
        self._by_customer[lease.customer] = self._by_customer.get(lease.customer, 0) + delta
        self._by_service[lease.service] = self._by_service.get(lease.service, 0) + delta
