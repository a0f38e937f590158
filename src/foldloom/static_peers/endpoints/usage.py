# SPDX-License-Identifier: MIT
"""Poll the endpoints' usage reports for the placement policies that use them.

The reports lag behind the actual usage. A failed poll keeps the endpoint's last report.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from foldloom.controllers.config import Config
from foldloom.static_peers.endpoints.adapter import EndpointAdapter

_POLL_INTERVAL_S = 0.5


class UsageReports:
    """Polls ``GET /v1/usage`` of every endpoint.

    Args:
        adapter: Client for the endpoints.
        config: Returns the configuration in effect.
    """

    def __init__(self, adapter: EndpointAdapter, config: Callable[[], Config]) -> None:
        self._adapter = adapter
        self._config = config
        self._running: dict[str, int] = {}

    @property
    def running(self) -> dict[str, int]:
        """Number of running tasks by endpoint, as last reported."""
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
