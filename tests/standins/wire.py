# SPDX-License-Identifier: MIT
"""An in-process peer network between two boxes, with immediate delivery."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any


class InProcessWire:
    """One box's side of the connection.

    Args:
        box: Name of the box.
    """

    incarnation = 7

    def __init__(self, box: str) -> None:
        self.other: InProcessWire | None = None
        self.sent: list[object] = []
        self._box = box
        self._handlers: dict[type, Callable[[str, Any], Any]] = {}

    def on(self, message_type: type, handler: Callable[[str, Any], Any]) -> None:
        """Register a handler for a message type."""
        self._handlers[message_type] = handler

    async def request(self, _box: str, message: object, _timeout_ms: float) -> Any:
        """Return the other box's reply."""
        assert self.other is not None
        self.sent.append(message)
        reply = self.other._handlers[type(message)](self._box, message)
        return await reply if asyncio.iscoroutine(reply) else reply

    def remove_peer(self, _box: str) -> None:
        """Do nothing, as there is no connection."""


def connected(first: str, second: str) -> tuple[InProcessWire, InProcessWire]:
    """Return the two connected sides."""
    one, other = InProcessWire(first), InProcessWire(second)
    one.other, other.other = other, one
    return one, other
