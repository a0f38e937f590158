# SPDX-License-Identifier: MIT
"""Serves one or more endpoint stand-ins that count starts and fail on demand.

A task's payload is ``{"ms": N, "fault": NAME}``; it takes N ms at full speed. ``GET /starts``
returns the number of starts per task; ``POST /control`` sets ``speed`` and ``refuse``.
"""

from __future__ import annotations

import argparse
import asyncio
import time
from collections import Counter
from typing import Any

import msgspec
import uvloop
from aiohttp import web

_OVERSIZED_BYTES = 2 * 1024 * 1024


class EndpointStandin:
    """One endpoint."""

    def __init__(self, speed: float, slots: int) -> None:
        """Run tasks at *speed*, *slots* at a time; further ones are queued."""
        self.speed = speed
        self.refuse = False
        self.running = 0
        self.peak = 0
        self.starts: Counter[str] = Counter()
        self.first_start_s: dict[str, float] = {}
        self._slots = asyncio.Semaphore(slots)

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_post("/v1/tasks/{submission}/{index}", self._task)
        app.router.add_post("/v1/tasks/{submission}/{index}/stop", self._stop)
        app.router.add_get("/v1/usage", self._usage)
        app.router.add_get("/starts", self._starts)
        app.router.add_post("/control", self._control)
        return app

    async def _task(self, request: web.Request) -> web.StreamResponse:
        body = msgspec.json.decode(await request.read())
        payload = body["payload"] if isinstance(body["payload"], dict) else {}
        fault = payload.get("fault", "")
        if self.refuse or fault == "refuse":
            return web.Response(status=503, headers={"Foldloom-Run": "not-run"})
        key = f"{request.match_info['submission']}/{request.match_info['index']}"
        self.starts[key] += 1
        self.first_start_s.setdefault(key, time.time())
        self.running += 1
        self.peak = max(self.peak, self.running)
        try:
            async with self._slots:
                await asyncio.sleep(payload.get("ms", 1) / 1_000 / self.speed)
        finally:
            self.running -= 1
        return await self._answer(request, fault, body)

    async def _answer(
        self, request: web.Request, fault: str, body: dict[str, Any]
    ) -> web.StreamResponse:
        reply = {"attempt": body["attempt"], "answer": {"echo": body["payload"]}}
        if fault == "error":
            return web.Response(status=500)
        if fault == "crossed":
            reply["attempt"] = "another"
        if fault == "oversized":
            reply["answer"] = "x" * _OVERSIZED_BYTES
        data = msgspec.json.encode(reply)
        if fault != "cut-short":
            return web.Response(body=data, content_type="application/json")
        response = web.StreamResponse(headers={"Content-Length": str(len(data))})
        await response.prepare(request)
        await response.write(data[: len(data) // 2])
        assert request.transport is not None
        request.transport.abort()
        return response

    async def _stop(self, _request: web.Request) -> web.Response:
        return web.Response()

    async def _usage(self, _request: web.Request) -> web.Response:
        return web.json_response({"running": self.running})

    async def _starts(self, _request: web.Request) -> web.Response:
        return web.json_response(
            {"starts": self.starts, "peak": self.peak, "first_start_s": self.first_start_s}
        )

    async def _control(self, request: web.Request) -> web.Response:
        changes = await request.json()
        self.speed = changes.get("speed", self.speed)
        self.refuse = changes.get("refuse", self.refuse)
        return web.Response()


async def _serve(ports: list[int], speeds: list[float], slots: int) -> None:
    for port, speed in zip(ports, speeds, strict=True):
        runner = web.AppRunner(EndpointStandin(speed, slots).app(), access_log=None)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", port).start()
    await asyncio.Event().wait()


def main() -> None:
    """Serve the endpoints given on the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--ports", required=True)
    parser.add_argument("--speeds", default="")
    parser.add_argument("--slots", type=int, default=8)
    options = parser.parse_args()
    ports = [int(port) for port in options.ports.split(",")]
    speeds = [float(speed) for speed in options.speeds.split(",") if speed] or [1.0] * len(ports)
    uvloop.run(_serve(ports, speeds, options.slots))


if __name__ == "__main__":
    main()
