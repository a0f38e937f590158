# SPDX-License-Identifier: MIT
"""Limits set by the configuration in effect: quotas, concurrency and slots.

A customer missing from the configuration has a quota of 1 and no concurrency limit; a missing
service or endpoint has no capacity.
"""

from __future__ import annotations

from foldloom.controllers.config import Config


class ConfigLimits:
    """Limits of the configuration in effect; without a configuration no service has capacity."""

    def __init__(self) -> None:
        self._config: Config | None = None

    def apply_config(self, config: Config) -> None:
        """Apply a configuration."""
        self._config = config

    def quota_of(self, customer: str) -> int:
        """Return the customer's weight in fair sharing, at least 1."""
        if self._config is None or customer not in self._config.customers:
            return 1
        return self._config.customers[customer]["quota"]

    def is_customer_full(self, customer: str, running: int) -> bool:
        """Return whether a customer with *running* tasks is at its concurrency limit."""
        if self._config is None or customer not in self._config.customers:
            return False
        limit = self._config.customers[customer]["concurrency_max"]
        return bool(limit) and running >= limit

    def is_service_full(self, service: str, running: int) -> bool:
        """Return whether a service with *running* tasks is at its concurrency limit."""
        if self._config is None or service not in self._config.services:
            return True
        limit = self._config.services[service]["concurrency_max"]
        return bool(limit) and running >= limit

    def slots_of(self, endpoint: str) -> int:
        """Return the number of slots of *endpoint*."""
        if self._config is None or endpoint not in self._config.endpoints:
            return 0
        return self._config.endpoints[endpoint]["slots"]
