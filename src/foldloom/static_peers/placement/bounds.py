# SPDX-License-Identifier: MIT
"""What the configuration in force allows: customers' quotas, tasks at a time, slots.

Owns nothing but the configuration that it was given last. A customer that the configuration does
not name has a quota of 1 and no bound; a service or endpoint that it does not name gets nothing.
"""

from __future__ import annotations

from foldloom.controllers.config import Config


class Bounds:
    """The bounds of the configuration in force; before there is one, nothing is served."""

    def __init__(self) -> None:
        self._config: Config | None = None

    def follow(self, config: Config) -> None:
        """Use a newer configuration."""
        self._config = config

    def quota_of(self, customer: str) -> int:
        """Return the customer's quota: its share beside the others', at least 1."""
        if self._config is None or customer not in self._config.customers:
            return 1
        return self._config.customers[customer]["quota"]

    def is_customer_full(self, customer: str, running: int) -> bool:
        """Return whether a customer with *running* tasks may start no more."""
        if self._config is None or customer not in self._config.customers:
            return False
        limit = self._config.customers[customer]["concurrency_max"]
        return bool(limit) and running >= limit

    def is_service_full(self, service: str, running: int) -> bool:
        """Return whether a service with *running* tasks may start no more."""
        if self._config is None or service not in self._config.services:
            return True
        limit = self._config.services[service]["concurrency_max"]
        return bool(limit) and running >= limit

    def slots_of(self, endpoint: str) -> int:
        """Return how many tasks *endpoint* runs at a time."""
        if self._config is None or endpoint not in self._config.endpoints:
            return 0
        return self._config.endpoints[endpoint]["slots"]
