# SPDX-License-Identifier: MIT
"""What a policy sees of a shard's endpoints: free slots, and each service's endpoints by speed.

Owns the free slots and the views, which are worked out anew at each tick. Relies on bounds, leases,
learned speeds and on which endpoints are left out.
"""

from __future__ import annotations

from collections.abc import Sequence

from foldloom.static_peers.placement.bounds import Bounds
from foldloom.static_peers.placement.ejection import Ejection
from foldloom.static_peers.placement.leases import LeaseTable
from foldloom.static_peers.placement.policies import View
from foldloom.static_peers.placement.speeds import SpeedTable


class ViewTable:
    """The views of one shard.

    Args:
        bounds: What the configuration allows.
        leases: The leases that are out.
        speeds: The learned speeds.
        ejection: Which endpoints are left out.
    """

    def __init__(
        self, bounds: Bounds, leases: LeaseTable, speeds: SpeedTable, ejection: Ejection
    ) -> None:
        self._bounds = bounds
        self._leases = leases
        self._speeds = speeds
        self._ejection = ejection
        self._endpoints_of: dict[str, list[str]] = {}
        self._free: dict[str, int] = {}
        self._views: dict[str, View] = {}
        self._sizes: dict[str, list[float]] = {}
        self._rates: dict[str, float] = {}

    @property
    def free_slots(self) -> int:
        """How many slots no lease holds, on endpoints that get work."""
        return sum(self._free.values())

    def has_free_slot(self, endpoint: str) -> bool:
        """Return whether *endpoint* has a slot that no lease holds."""
        return bool(self._free.get(endpoint))

    def view_of(self, service: str) -> View | None:
        """Return the endpoints of *service* by speed."""
        return self._views.get(service)

    def sizes_of(self, service: str) -> Sequence[float]:
        """Return the learned sizes of the tasks of *service*."""
        return self._sizes.get(service, ())

    def rate_of(self, service: str) -> float:
        """Return how many tasks of *service* the shard can finish a millisecond."""
        return self._rates.get(service, 0.0)

    def peer_mean_ms(self, service: str, endpoint: str) -> float:
        """Return the median service time of the endpoints of *service*."""
        view = self._views.get(service)
        if view is None or not view.endpoints:
            return self._speeds.mean_ms(service, endpoint)
        return view.mean_ms[view.endpoints[len(view.endpoints) // 2]]

    def follow(self, endpoints_of: dict[str, list[str]], usable: set[str]) -> None:
        """Use other endpoints.

        Args:
            endpoints_of: The shard's endpoints by service.
            usable: Those that get work.
        """
        self._endpoints_of = endpoints_of
        self._free = {endpoint: self._free_slots_of(endpoint, 0.0) for endpoint in usable}
        self._refresh_views()

    def refresh(self, now_ms: float) -> None:
        """Work out the free slots and the views anew."""
        for endpoint in self._free:
            self._free[endpoint] = self._free_slots_of(endpoint, now_ms)
        self._refresh_views()

    def refresh_free(self, endpoint: str, now_ms: float) -> None:
        """Count the free slots of *endpoint* anew."""
        if endpoint in self._free:
            self._free[endpoint] = self._free_slots_of(endpoint, now_ms)

    def _refresh_views(self) -> None:
        """Order each service's endpoints by speed anew."""
        for service, names in self._endpoints_of.items():
            means = {
                name: self._speeds.mean_ms(service, name) for name in names if name in self._free
            }
            order = sorted(means, key=lambda one: (means[one], one))
            self._views[service] = View(order, means, self._free, self._leases.busy)
            self._sizes[service] = self._speeds.sizes(service)
            self._rates[service] = self._service_rate(service)

    def _free_slots_of(self, endpoint: str, now_ms: float) -> int:
        """Return the free slots of *endpoint*; an ejected one has one if it may be probed."""
        slots = self._bounds.slots_of(endpoint)
        busy = self._leases.busy.get(endpoint, 0)
        if self._ejection.is_ejected(endpoint):
            may_probe = bool(slots) and self._ejection.may_probe(endpoint, now_ms)
            return 1 if may_probe and not busy else 0
        return max(0, slots - busy)

    def _service_rate(self, service: str) -> float:
        return sum(
            self._bounds.slots_of(endpoint) / mean_ms
            for endpoint, mean_ms in self._views[service].mean_ms.items()
            if not self._ejection.is_ejected(endpoint)
        )
