# SPDX-License-Identifier: MIT
"""An endpoint stand-in that records every start in a file, so that killing it loses none.

``POST /control`` also accepts ``answers``: how task requests are answered.
"""

from __future__ import annotations

import argparse
import asyncio
import time
from enum import StrEnum
from pathlib import Path

import msgspec
import uvloop
from aiohttp import web

from own_soak_records import Start
from standins.endpoint import EndpointStandin

_ENCODER = msgspec.json.Encoder()


class AnswerMode(StrEnum):
    """How a stand-in answers task requests."""

    NORMAL = ""
    CUT_SHORT = "cut-short"
    ERROR = "error"
    UNKNOWN = "unknown"
    BUSY = "busy"


# Responses without a start that do not state whether the task ran.
_STATUS_WITHOUT_START = {AnswerMode.UNKNOWN: 404, AnswerMode.BUSY: 503}
# Payload faults of :class:`EndpointStandin`.
_FAULTS = {AnswerMode.CUT_SHORT: "cut-short", AnswerMode.ERROR: "error"}


class RecordingEndpoint(EndpointStandin):
    """One endpoint.

    Args:
        slots: Concurrent tasks; further ones are queued.
        record: File to which starts are appended.
    """

    def __init__(self, slots: int, record: Path) -> None:
        super().__init__(1.0, slots)
        self._answer_mode = AnswerMode.NORMAL
        self._record = record.open("ab", buffering=0)

    async def _task(self, request: web.Request) -> web.StreamResponse:
        body = msgspec.json.decode(await request.read())
        if self.refuse:
            return web.Response(status=503, headers={"Foldloom-Run": "not-run"})
        answer_mode = self._answer_mode
        if answer_mode in _STATUS_WITHOUT_START:
            return web.Response(status=_STATUS_WITHOUT_START[answer_mode])
        submission = request.match_info["submission"]
        start = Start(submission, int(request.match_info["index"]), time.monotonic())
        self._record.write(_ENCODER.encode(start) + b"\n")
        self.running += 1
        try:
            async with self._slots:
                await asyncio.sleep(body["payload"]["ms"] / 1_000)
        finally:
            self.running -= 1
        return await self._answer(request, _FAULTS.get(answer_mode, ""), body)

    async def _control(self, request: web.Request) -> web.Response:
        changes = await request.json()
        self._answer_mode = AnswerMode(changes.get("answers", self._answer_mode))
        return await super()._control(request)


async def _serve(ports: list[int], slots: int, record: Path) -> None:
    for port in ports:
        runner = web.AppRunner(RecordingEndpoint(slots, record).app(), access_log=None)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", port).start()
    await asyncio.Event().wait()


def main() -> None:
    """Serve the endpoints given on the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--ports", required=True)
    parser.add_argument("--slots", type=int, required=True)
    parser.add_argument("--record", type=Path, required=True)
    options = parser.parse_args()
    ports = [int(port) for port in options.ports.split(",")]
    uvloop.run(_serve(ports, options.slots, options.record))


if __name__ == "__main__":
    main()
