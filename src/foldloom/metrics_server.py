# SPDX-License-Identifier: MIT
"""HTTP server for a box's metrics, on its own address.

If the address is in use, the error is logged and the box runs without the server.
"""

from __future__ import annotations

import asyncio
import importlib

from aiohttp import web

from foldloom.logs import ENTRY_LOG
from foldloom.metrics import Metrics

METRICS_PATH = "/metrics"
# For an incomplete scrape when the box stops; aiohttp waits twice, and takes 0 for no timeout.
_SHUTDOWN_TIMEOUT_S = 0.1
_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class MetricsServer:
    """Serves a box's metrics.

    Args:
        metrics: Metrics of the box.
        address: ``IP:port`` to listen on; empty disables the server.
    """

    def __init__(self, metrics: Metrics, address: str) -> None:
        self._metrics = metrics
        self._address = address
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Start listening, unless there is no address or it is in use."""
        if not self._address:
            return
        self._runner = web.ServerRunner(
            web.Server(self._handle), shutdown_timeout=_SHUTDOWN_TIMEOUT_S
        )
        await self._runner.setup()
        host, _, port = self._address.rpartition(":")
        try:
            await web.TCPSite(self._runner, host, int(port)).start()
        except OSError as error:
            # Metrics are optional: the box runs without them.
            ENTRY_LOG.event("metrics.not_served", address=self._address, reason=str(error))

    async def stop(self) -> None:
        """Stop listening, and abort scrapes that are incomplete or not read."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        if request.path != METRICS_PATH:
            return web.Response(status=404)
        body = await asyncio.to_thread(_render, self._metrics)
        return web.Response(body=body, headers={"Content-Type": _CONTENT_TYPE})


def _render(metrics: Metrics) -> bytes:
    # Imported on the first scrape and off the event loop: prometheus_client is slow to import, and
    # boxes that are never scraped save its memory.
    exposition = importlib.import_module("foldloom.exposition")
    text: bytes = exposition.metrics_text(metrics)
    return text
