# SPDX-License-Identifier: MIT
"""The platform's lagging list of which boxes and endpoints are live and which are leaving.

Owns the newest list that was read. Relies on the platform's URL; while it does not answer, the
list before holds.
"""

from __future__ import annotations

import asyncio

import aiohttp
import msgspec

from foldloom.logs import ENDPOINT_LOG

# Seconds for one poll of the list: two of the intervals between polls.
_POLL_TIMEOUT_S = 1.0


class _ListedBox(msgspec.Struct):
    name: str
    state: str = "live"


class _BoxesReply(msgspec.Struct):
    boxes: list[_ListedBox] = []


_REPLY_DECODER = msgspec.json.Decoder(_BoxesReply)


class PlatformList:
    """Poll ``GET /v1/boxes`` and remember who is leaving.

    Args:
        url: The platform's address; empty if there is none.
        poll_ms: How often to ask.
    """

    def __init__(self, url: str, poll_ms: int) -> None:
        self._url = url
        self._poll_s = poll_ms / 1_000
        self._leaving: frozenset[str] = frozenset()

    @property
    def leaving(self) -> frozenset[str]:
        """Names that the newest list calls leaving."""
        return self._leaving

    async def run(self) -> None:
        """Poll until cancelled; a failed poll keeps the list before."""
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
            ENDPOINT_LOG.debug("No list from the platform: {}.", type(error).__name__)
            return
        leaving = frozenset(one.name for one in reply.boxes if one.state == "leaving")
        if leaving != self._leaving:
            ENDPOINT_LOG.info("Leaving by the platform's list: {}.", ", ".join(sorted(leaving)))
        self._leaving = leaving
