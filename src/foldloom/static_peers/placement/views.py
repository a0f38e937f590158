# SPDX-License-Identifier: MIT
"""Per-service views of a shard's endpoints for the placement policies.

Free slots and views are recomputed on each tick.
"""

from __future__ import annotations

from collections.abc import Sequence

from foldloom.static_peers.placement.config_limits import ConfigLimits
from foldloom.static_peers.placement.ejection import Ejection
from foldloom.static_peers.placement.leases import LeaseTable
from foldloom.static_peers.placement.policies import View
from foldloom.static_peers.placement.service_times import ServiceTimes


class ViewTable:
    """The views of one shard.

    Args:
        config_limits: Limits of the configuration.
        leases: The active leases.
        service_times: Learned service times.
        ejection: Ejection state of the endpoints.
    """

    def __init__(
        self,
        config_limits: ConfigLimits,
        leases: LeaseTable,
        service_times: ServiceTimes,
        ejection: Ejection,
    ) -> None:
        self._config_limits = config_limits
        self._leases = leases
        self._service_times = service_times
        self._ejection = ejection
        self._endpoints_of: dict[str, list[str]] = {}
        self._free: dict[str, int] = {}
        self._views: dict[str, View] = {}
        self._sizes: dict[str, list[float]] = {}
        self._rates: dict[str, float] = {}

    @property
    def free_slots(self) -> int:
        """Unleased slots on the endpoints eligible for placement."""
        return sum(self._free.values())

    def has_free_slot(self, endpoint: str) -> bool:
        """Return whether *endpoint* has an unleased slot."""
        return bool(self._free.get(endpoint))

    def view_of(self, service: str) -> View | None:
        """Return the view of *service*, fastest endpoint first."""
        return self._views.get(service)

    def sizes_of(self, service: str) -> Sequence[float]:
        """Return the learned task sizes of *service*."""
        return self._sizes.get(service, ())

    def rate_of(self, service: str) -> float:
        """Return the tasks of *service* that the shard can complete per millisecond."""
        return self._rates.get(service, 0.0)

    def peer_median_ms(self, service: str, endpoint: str) -> float:
        """Return the median of the endpoints' mean service times of *service*."""
        view = self._views.get(service)
        if view is None or not view.endpoints:
            return self._service_times.mean_ms(service, endpoint)
        return view.mean_ms[view.endpoints[len(view.endpoints) // 2]]

    def set_endpoints(self, endpoints_of: dict[str, list[str]], eligible: set[str]) -> None:
        """Set the endpoints.

        Args:
            endpoints_of: The shard's endpoints by service.
            eligible: The endpoints eligible for placement.
        """
        self._endpoints_of = endpoints_of
        self._free = {endpoint: self._free_slots_of(endpoint, 0.0) for endpoint in eligible}
        self._refresh_views()

    def refresh(self, now_ms: float) -> None:
        """Recompute the free slots and the views."""
        for endpoint in self._free:
            self._free[endpoint] = self._free_slots_of(endpoint, now_ms)
        self._refresh_views()

    def refresh_free(self, endpoint: str, now_ms: float) -> None:
        """Recompute the free slots of *endpoint*."""
        if endpoint in self._free:
            self._free[endpoint] = self._free_slots_of(endpoint, now_ms)

    def _refresh_views(self) -> None:
        """Rebuild each service's view, ordered by speed."""
        for service, names in self._endpoints_of.items():
            means = {
                name: self._service_times.mean_ms(service, name)
                for name in names
                if name in self._free
            }
            order = sorted(means, key=lambda name: (means[name], name))
            self._views[service] = View(order, means, self._free, self._leases.busy)
            self._sizes[service] = self._service_times.sizes(service)
            self._rates[service] = self._service_rate(service)

    def _free_slots_of(self, endpoint: str, now_ms: float) -> int:
        """Return the free slots of *endpoint*; an ejected endpoint has at most one, for a probe."""
        slots = self._config_limits.slots_of(endpoint)
        busy = self._leases.busy.get(endpoint, 0)
        if self._ejection.is_ejected(endpoint):
            may_probe = bool(slots) and self._ejection.may_probe(endpoint, now_ms)
            return 1 if may_probe and not busy else 0
        return max(0, slots - busy)

    def _service_rate(self, service: str) -> float:
        return sum(
            self._config_limits.slots_of(endpoint) / mean_ms
            for endpoint, mean_ms in self._views[service].mean_ms.items()
            if not self._ejection.is_ejected(endpoint)
        )
