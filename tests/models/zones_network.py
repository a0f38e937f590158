# SPDX-License-Identifier: MIT
"""Network of simulated boxes: messages may be delayed, lost or cut off."""

from __future__ import annotations

import asyncio
import inspect
from collections.abc import Callable
from typing import Any, Protocol

from foldloom.exceptions import PeerUnreachableError


class Transport(Protocol):
    """Transport of messages between boxes."""

    def carry(
        self,
        source: SimulatedNetwork,
        sender: str,
        box: str,
        message: Any,
        ttl_ms: float,
        future: Any,
    ) -> None:
        """Deliver a message; it may be delayed or lost."""

    def carry_reply(
        self, sender: str, box: str, reply: Any, ttl_ms: float, future: asyncio.Future[Any]
    ) -> None:
        """Deliver a reply; it may be delayed or lost."""


class SimulatedNetwork:
    """The network of one life of a box."""

    def __init__(self, transport: Transport, box: str, incarnation: int) -> None:
        self.incarnation = incarnation
        self.is_alive = True
        self._transport = transport
        self._box = box
        self._known_incarnations: dict[str, int] = {}
        self._handlers: dict[type, Callable[[str, Any], Any]] = {}

    def on(self, kind: type, handler: Callable[[str, Any], Any]) -> None:
        """Register the handler of a message class."""
        self._handlers[kind] = handler

    def known_incarnation(self, box: str) -> int:
        """Return the incarnation of *box* that was last received from."""
        return self.incarnation if box == self._box else self._known_incarnations.get(box, 0)

    def send(self, box: str, message: Any, ttl_ms: float = 1_000) -> None:
        """Send a message that needs no reply."""
        if box == self._box:
            asyncio.get_running_loop().call_soon(self._handle, box, self.incarnation, message)
            return
        self._transport.carry(self, self._box, box, message, ttl_ms, None)

    async def request(self, box: str, message: Any, timeout_ms: float) -> Any:
        """Send a message and return its reply."""
        if box == self._box and self.is_alive:
            return self._handle(box, self.incarnation, message)
        reply: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._transport.carry(self, self._box, box, message, timeout_ms + 1, reply)
        try:
            async with asyncio.timeout(timeout_ms / 1_000):
                return await reply
        except TimeoutError:
            raise PeerUnreachableError(box) from None

    def receive(
        self, sender: str, incarnation: int, message: Any, ttl_ms: float, future: Any
    ) -> None:
        """Handle a received message and send the reply."""
        if not self.is_alive:
            return
        self._known_incarnations[sender] = incarnation
        reply = self._handle(sender, incarnation, message)
        if future is not None and reply is not None:
            self._transport.carry_reply(self._box, sender, reply, ttl_ms, future)

    def _handle(self, sender: str, _incarnation: int, message: Any) -> Any:
        handler = self._handlers.get(type(message))
        if handler is None or not self.is_alive:
            return None
        reply = handler(sender, message)
        assert not inspect.isawaitable(reply)
        return reply
