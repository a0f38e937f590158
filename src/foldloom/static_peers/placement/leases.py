# SPDX-License-Identifier: MIT
"""The leases of one shard, with counts per endpoint, customer and service.

The shard decides when a lease begins and ends.
"""

from __future__ import annotations

from typing import NamedTuple

from foldloom.static_peers.placement.messages import HeldSlot


class Lease(NamedTuple):
    """A slot held by a coordinator.

    Args:
        lease_id: Unique among all lease managers.
        endpoint: The endpoint that owns the slot.
        service: The requested service.
        customer: The customer whose quota is charged.
        coordinator: The box that holds the lease.
        since_ms: Time of the grant, on the lease manager's monotonic clock.
        renewed_ms: Time of the last renewal, on the same clock.
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
    """The active leases."""

    def __init__(self) -> None:
        self._leases: dict[int, Lease] = {}
        self._busy: dict[str, int] = {}
        self._by_customer: dict[str, int] = {}
        self._by_service: dict[str, int] = {}

    @property
    def busy(self) -> dict[str, int]:
        """Active leases per endpoint, as a live view of the table."""
        return self._busy

    def __len__(self) -> int:
        """Return the number of active leases."""
        return len(self._leases)

    def get(self, lease_id: int) -> Lease | None:
        """Return an active lease, or ``None``."""
        return self._leases.get(lease_id)

    def present(self) -> list[Lease]:
        """Return a copy of the active leases."""
        return list(self._leases.values())

    def running_of_customer(self, customer: str) -> int:
        """Return the number of active leases of *customer*."""
        return self._by_customer.get(customer, 0)

    def running_of_service(self, service: str) -> int:
        """Return the number of active leases of *service*."""
        return self._by_service.get(service, 0)

    def renew(self, lease_id: int, now_ms: float) -> bool:
        """Renew a lease; return ``False`` if it is not active."""
        lease = self._leases.get(lease_id)
        if lease is None:
            return False
        self._leases[lease_id] = lease._replace(renewed_ms=now_ms)
        return True

    def add(self, lease: Lease) -> None:
        """Add a lease."""
        self._leases[lease.lease_id] = lease
        self._count(lease, 1)

    def remove(self, lease: Lease) -> None:
        """Remove a lease."""
        del self._leases[lease.lease_id]
        self._count(lease, -1)

    def _count(self, lease: Lease, delta: int) -> None:
        self._busy[lease.endpoint] = self._busy.get(lease.endpoint, 0) + delta
        self._by_customer[lease.customer] = self._by_customer.get(lease.customer, 0) + delta
        self._by_service[lease.service] = self._by_service.get(lease.service, 0) + delta
