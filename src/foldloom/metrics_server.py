# SPDX-License-Identifier: MIT
"""A box's figures on an address of their own.

Owns the listener on the metrics address. Relies on the metrics; an address in use is logged and
the box goes on.
"""

from __future__ import annotations

import asyncio
import importlib

from aiohttp import web

from foldloom.logs import ENTRY_LOG
from foldloom.metrics import Metrics

METRICS_PATH = "/metrics"
_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class MetricsServer:
    """Serve a box's figures.

    Args:
        metrics: The figures.
        address: ``IP:port``; an empty one serves nothing.
    """

    def __init__(self, metrics: Metrics, address: str) -> None:
        self._metrics = metrics
        self._address = address
        self._runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Listen, if there is an address and nobody else listens there."""
        if not self._address:
            return
        self._runner = web.ServerRunner(web.Server(self._handle), shutdown_timeout=0)
        await self._runner.setup()
        host, _, port = self._address.rpartition(":")
        try:
            await web.TCPSite(self._runner, host, int(port)).start()
        except OSError as error:
            # Figures are not worth a box.
            ENTRY_LOG.event("metrics.not_served", address=self._address, reason=str(error))

    async def stop(self) -> None:
        """Listen no more."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        if request.path != METRICS_PATH:
            return web.Response(status=404)
        body = await asyncio.to_thread(_render, self._metrics)
        return web.Response(body=body, headers={"Content-Type": _CONTENT_TYPE})


def _render(metrics: Metrics) -> bytes:
    # Imported when first asked for, and off the loop: the library takes 14 MB and 0.17 s, which
    # a box that nobody asks should not pay.
    exposition = importlib.import_module("foldloom.exposition")
    text: bytes = exposition.metrics_text(metrics)
    return text
