# SPDX-License-Identifier: MIT
"""Guards against lease counts that differ from the active leases."""

from __future__ import annotations

from foldloom.static_peers.placement.leases import Lease, LeaseTable


def lease(lease_id: int, endpoint: str = "w1", customer: str = "red") -> Lease:
    """Return a lease of the service ``route``."""
    return Lease(lease_id, endpoint, "route", customer, "a1", 1.0, 1.0)


class TestLeaseTable:
    """Active leases and their counts."""

    def test_counts(self) -> None:
        """Counts per endpoint, customer and service follow the active leases."""
        table = LeaseTable()
        table.add(lease(1))
        table.add(lease(2, endpoint="w2"))
        table.add(lease(3, customer="blue"))
        table.remove(lease(1))
        assert len(table) == 2
        assert table.busy == {"w1": 1, "w2": 1}
        assert table.running_of_customer("red") == 1
        assert table.running_of_customer("blue") == 1
        assert table.running_of_service("route") == 2
        assert table.get(1) is None

    def test_unknown_names(self) -> None:
        """A customer or service without a lease has none running."""
        table = LeaseTable()
        assert table.running_of_customer("red") == 0
        assert table.running_of_service("route") == 0

    def test_renew(self) -> None:
        """A renewal updates its time and leaves the counts unchanged."""
        table = LeaseTable()
        table.add(lease(1))
        assert table.renew(1, 50.0)
        (renewed,) = table.present()
        assert (renewed.since_ms, renewed.renewed_ms) == (1.0, 50.0)
        assert table.busy == {"w1": 1}

    def test_renew_unknown(self) -> None:
        """A lease that is not active can't be renewed."""
        assert not LeaseTable().renew(1, 50.0)
