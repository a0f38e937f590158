# SPDX-License-Identifier: MIT
"""Poll the platform's list of live and leaving boxes and endpoints.

The list lags behind the actual state. While the platform does not answer, the last list remains in
use.
"""

from __future__ import annotations

import asyncio

import aiohttp
import msgspec

from foldloom.logs import ENDPOINT_LOG

# Timeout of a poll; twice the default platform_poll_ms.
_POLL_TIMEOUT_S = 1.0


class _ListedBox(msgspec.Struct):
    name: str
    state: str = "live"


class _BoxesReply(msgspec.Struct):
    boxes: list[_ListedBox] = []


_REPLY_DECODER = msgspec.json.Decoder(_BoxesReply)


class PlatformList:
    """Polls ``GET /v1/boxes`` and stores the names of the leaving entries.

    Args:
        url: The platform's base URL; empty to disable polling.
        poll_ms: Poll interval.
    """

    def __init__(self, url: str, poll_ms: int) -> None:
        self._url = url
        self._poll_s = poll_ms / 1_000
        self._leaving: frozenset[str] = frozenset()

    @property
    def leaving(self) -> frozenset[str]:
        """Names listed as leaving in the newest list."""
        return self._leaving

    async def run(self) -> None:
        """Poll until cancelled; a failed poll keeps the last list."""
        if not self._url:
            return
        timeout = aiohttp.ClientTimeout(total=_POLL_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await self._poll(session)
                await asyncio.sleep(self._poll_s)

    async def _poll(self, session: aiohttp.ClientSession) -> None:
        try:
            async with session.get(f"{self._url}/v1/boxes") as response:
                reply = _REPLY_DECODER.decode(await response.read())
        except (aiohttp.ClientError, OSError, TimeoutError, msgspec.DecodeError) as error:
            ENDPOINT_LOG.debug("Could not read the platform's list: {}.", type(error).__name__)
            return
        leaving = frozenset(one.name for one in reply.boxes if one.state == "leaving")
        if leaving != self._leaving:
            ENDPOINT_LOG.info(
                "Leaving according to the platform's list: {}.", ", ".join(sorted(leaving))
            )
        self._leaving = leaving
