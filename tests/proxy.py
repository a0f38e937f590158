# SPDX-License-Identifier: MIT
"""A fault-injecting TCP proxy: reset, freeze, silence, delay, truncate.

All links run on one event loop in a thread of the test process.
"""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Callable
from typing import Any

from cluster import free_port

_CHUNK = 65_536


class Link:
    """One proxied port.

    ``mode`` is ``pass``, ``cut`` (resets connections) or ``freeze`` (accepts, forwards nothing).
    """

    def __init__(self, target: int) -> None:
        """Forward to the loopback port *target*."""
        self.target = target
        self.port = free_port()
        self.mode = "pass"
        self.delay_s = 0.0
        self.reply_bytes_max = 0
        self.opened = 0
        self.silenced_up_to = 0
        self.writers: set[asyncio.StreamWriter] = set()


class FaultProxy:
    """The proxied links of one test."""

    def __init__(self) -> None:
        """Start the event loop's thread."""
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self.links: dict[tuple[str, str], Link] = {}

    def address_of(self, sender: str, receiver: str, port: int) -> int:
        """Return the proxy port for connections from *sender* to *receiver*, bound to *port*."""
        if (sender, receiver) not in self.links:
            link = Link(port)
            self.links[sender, receiver] = link
            self._run(self._listen(link))
        return self.links[sender, receiver].port

    def set_mode(self, mode: str, matches: Callable[[str, str], bool]) -> None:
        """Set the mode of every link for which ``matches(sender, receiver)`` is true."""
        for (sender, receiver), link in self.links.items():
            if matches(sender, receiver):
                self._run(self._set(link, mode))

    def silence_open_connections(self) -> None:
        """Stop forwarding on all open connections without a reset; new connections work."""
        for link in self.links.values():
            link.silenced_up_to = link.opened

    def cut_zone(self, zone: str) -> None:
        """Cut every link between *zone* and other zones."""
        self.set_mode("cut", lambda one, other: (one[0] == zone) != (other[0] == zone))

    def heal(self) -> None:
        """Set every link back to ``pass``."""
        self.set_mode("pass", lambda _one, _other: True)

    def delay(self, seconds: float) -> None:
        """Delay every chunk on every link by *seconds*."""
        for link in self.links.values():
            link.delay_s = seconds

    def close(self) -> None:
        """Cut every link and stop the thread."""
        self.set_mode("cut", lambda _one, _other: True)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def _run(self, coroutine: Any) -> Any:
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result()

    async def _set(self, link: Link, mode: str) -> None:
        link.mode = mode
        if mode != "cut":
            return
        for writer in list(link.writers):
            writer.transport.abort()

    async def _listen(self, link: Link) -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._serve(link, reader, writer)

        await asyncio.start_server(serve, "127.0.0.1", link.port)

    async def _serve(
        self, link: Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if link.mode == "cut":
            writer.transport.abort()
            return
        try:
            up_reader, up_writer = await asyncio.open_connection("127.0.0.1", link.target)
        except OSError:
            writer.transport.abort()
            return
        link.writers |= {writer, up_writer}
        link.opened += 1
        number = link.opened
        try:
            await asyncio.gather(
                self._pump(link, number, reader, up_writer, 0),
                self._pump(link, number, up_reader, writer, link.reply_bytes_max),
            )
        finally:
            for one in (writer, up_writer):
                link.writers.discard(one)
                one.transport.abort()

    async def _pump(
        self,
        link: Link,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        bytes_max: int,
    ) -> None:
        forwarded = 0
        try:
            while data := await reader.read(_CHUNK):
                while link.mode == "freeze" or number <= link.silenced_up_to:
                    await asyncio.sleep(0.01)
                if link.delay_s:
                    await asyncio.sleep(link.delay_s)
                forwarded += len(data)
                if bytes_max and forwarded > bytes_max:
                    writer.write(data[: bytes_max - forwarded])
                    await writer.drain()
                    break
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.transport.abort()
