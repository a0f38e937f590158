# SPDX-License-Identifier: MIT
"""The endpoints' lagging usage reports, polled for the policies that decide by them.

Owns the newest reports. Relies on the adapter; a report that can't be had leaves the one before.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from foldloom.controllers.config import Config
from foldloom.static_peers.endpoints.adapter import EndpointAdapter

# Seconds between two polls of an endpoint: the platform's reports lag by as much.
_POLL_INTERVAL_S = 0.5


class UsageReports:
    """Poll ``GET /v1/usage`` of every endpoint.

    Args:
        adapter: The way to endpoints.
        config: Returns the configuration in force.
    """

    def __init__(self, adapter: EndpointAdapter, config: Callable[[], Config]) -> None:
        self._adapter = adapter
        self._config = config
        self._running: dict[str, int] = {}

    @property
    def running(self) -> dict[str, int]:
        """Running tasks by endpoint, as last reported."""
        return self._running

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            endpoints = self._config().endpoints
            requests = [
                self._adapter.usage(endpoint["endpoint"]) for endpoint in endpoints.values()
            ]
            reports = await asyncio.gather(*requests)
            for name, running in zip(endpoints, reports, strict=True):
                if running is not None:
                    self._running[name] = running
            await asyncio.sleep(_POLL_INTERVAL_S)
