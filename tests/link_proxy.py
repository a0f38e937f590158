# SPDX-License-Identifier: MIT
"""A proxy that knows who calls whom: faults for each sender and receiver, over real sockets.

It listens where the receivers say that they do, on the test's own event loop. The sender of a
connection between boxes stands in its handshake, as the socket's identity; nobody tells the sender
of an HTTP connection.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
from collections import deque
from collections.abc import Callable, Iterator
from enum import Enum
from typing import Any, NamedTuple

Address = tuple[str, int]

# Bytes of a ZMTP greeting; the command that tells the sender follows.
_GREETING_BYTES = 64
_LONG_FRAME = 0x02
_IDENTITY = b"\x08Identity"
# Bytes that wait in one direction until the sender is held up, as by a small window.
_QUEUED_MAX = 256 * 1024
# Ends a connection by a reset: linger for 0 s.
_NO_LINGER = struct.pack("ii", 1, 0)


class Kind(Enum):
    """What a receiver listens for."""

    PEER = "peer"
    CALLERS = "callers"
    CONTROL = "control"
    RUNS = "runs"


class Link(NamedTuple):
    """All connections of a kind from one sender to one receiver.

    Args:
        sender: The box that opens them; empty if that is not known.
        receiver: The box or endpoint that accepts them.
        kind: What they are for.
    """

    sender: str
    receiver: str
    kind: Kind


LinkFilter = Callable[[Link], bool]


class Fault(NamedTuple):
    """What is wrong with some links for a while.

    Args:
        link_filter: Which links.
        is_refusing: Open connections are reset, and new ones too.
        holds_requests: What the sender writes is held up and arrives when the fault is over, as
            behind a cut of the network.
        holds_responses: What the receiver writes is.
        delay_s: The least and the most seconds by which both are late; their order stays.
    """

    link_filter: LinkFilter
    is_refusing: bool = False
    holds_requests: bool = False
    holds_responses: bool = False
    delay_s: tuple[float, float] = (0.0, 0.0)


class LinkProxy:
    """All links of one test.

    Args:
        names: The boxes' names by ``IP:port`` of their peer sockets.
        rng: Draws delays.
    """

    def __init__(self, names: dict[str, str], rng: random.Random) -> None:
        self._names_by_address = names
        self._rng = rng
        self._faults: list[Fault] = []
        self._servers: list[asyncio.Server] = []
        self._connections: set[_Connection] = set()

    async def listen(self, receiver: str, kind: Kind, at: Address, target: Address) -> None:
        """Accept connections to *receiver* at one address and pass them on to another."""

        def accept() -> _HalfConnection:
            connection = _Connection(self, Link("", receiver, kind), target)
            self._connections.add(connection)
            return connection.caller

        loop = asyncio.get_running_loop()
        self._servers.append(await loop.create_server(accept, *at))

    @contextlib.contextmanager
    def inject(self, fault: Fault) -> Iterator[None]:
        """Let *fault* act on all its links, also on connections that are opened meanwhile."""
        self._faults.append(fault)
        self._apply()
        try:
            yield
        finally:
            self._faults.remove(fault)
            self._apply()

    @contextlib.contextmanager
    def stalled(self, link_filter: LinkFilter) -> Iterator[None]:
        """Hold up what is written on open connections; new ones work.

        So a sender's network sends lost packets again, later each time, while a new connection is
        made at once: what was written first arrives last.
        """
        stalled = self._open(link_filter)
        for connection in stalled:
            connection.stall_count += 1
        try:
            yield
        finally:
            for connection in stalled:
                connection.stall_count -= 1
                connection.forward()

    def reset(self, link_filter: LinkFilter) -> None:
        """Reset the open connections of some links; new ones work."""
        for connection in self._open(link_filter):
            connection.reset()

    def silence(self, link_filter: LinkFilter) -> None:
        """Pass on nothing more on open connections, for good, and reset none; new ones work."""
        for connection in self._open(link_filter):
            connection.is_silent = True

    def close(self) -> None:
        """Close all links."""
        for server in self._servers:
            server.close()
        for connection in list(self._connections):
            connection.reset()

    def sender_of(self, identity: bytes) -> str:
        """Return the name of the box whose socket has this identity (``IP:port/incarnation``)."""
        address, _, _incarnation = identity.decode("latin-1").rpartition("/")
        return self._names_by_address.get(address, "")

    def faults_of(self, link: Link) -> list[Fault]:
        """Return what is wrong with *link* now."""
        return [fault for fault in self._faults if fault.link_filter(link)]

    def delay_s(self, faults: list[Fault]) -> float:
        """Draw how late some bytes are."""
        return max((self._rng.uniform(*fault.delay_s) for fault in faults), default=0.0)

    def remove_connection(self, connection: _Connection) -> None:
        """Drop a connection that has ended."""
        self._connections.discard(connection)

    def _open(self, link_filter: LinkFilter) -> list[_Connection]:
        return [one for one in self._connections if link_filter(one.link)]

    def _apply(self) -> None:
        for connection in list(self._connections):
            connection.apply_faults()


class _Connection:
    """One connection from a sender to the proxy, and the one that carries it on.

    Args:
        proxy: Whose connection it is.
        link: The link it belongs to; the sender between boxes is learnt from the handshake.
        target: Where the receiver listens.
    """

    def __init__(self, proxy: LinkProxy, link: Link, target: Address) -> None:
        self._proxy = proxy
        self._target = target
        self._handshake = bytearray()
        self._has_sender = link.kind is not Kind.PEER
        self._connecting: asyncio.Task[None] | None = None
        self.link = link
        self.faults = proxy.faults_of(link) if self._has_sender else []
        self.stall_count = 0
        self.is_silent = False
        self.is_closed = False
        self.caller = _HalfConnection(self)
        self.receiver = _HalfConnection(self)
        self.requests = _Direction(self, self.caller, self.receiver)
        self.responses = _Direction(self, self.receiver, self.caller)
        self.caller.outgoing, self.caller.incoming = self.requests, self.responses
        self.receiver.outgoing, self.receiver.incoming = self.responses, self.requests

    def begin(self) -> None:
        """Connect to the receiver, now that the sender has connected."""
        self._connecting = asyncio.create_task(self._connect())
        self.apply_faults()

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: self.receiver, *self._target)
        except OSError:
            self.reset()
            return
        if self.is_closed:
            self.receiver.reset()

    def parse_sender(self, data: bytes) -> None:
        """Read the sender from what the caller has written so far, and apply its faults."""
        if self._has_sender:
            return
        self._handshake += data
        identity = _parse_identity(bytes(self._handshake))
        if identity is None:
            return
        self._has_sender = True
        self.link = self.link._replace(sender=self._proxy.sender_of(identity))
        self.apply_faults()

    def apply_faults(self) -> None:
        """Follow a change of what is wrong with the link."""
        if not self._has_sender:
            return
        self.faults = self._proxy.faults_of(self.link)
        if any(fault.is_refusing for fault in self.faults):
            self.reset()
            return
        self.requests.is_held = any(fault.holds_requests for fault in self.faults)
        self.responses.is_held = any(fault.holds_responses for fault in self.faults)
        self.forward()

    def forward(self) -> None:
        """Write what is due and not held up, both ways."""
        self.requests.forward()
        self.responses.forward()

    @property
    def is_blocked(self) -> bool:
        """Whether nothing passes, for a while or for good."""
        return self.is_silent or self.stall_count > 0

    def sample_delay_s(self) -> float:
        """Draw how late the bytes are that were just written."""
        return self._proxy.delay_s(self.faults)

    def reset(self) -> None:
        """End both halves without a word, what waits included."""
        if self.is_closed:
            return
        self.is_closed = True
        if self._connecting is not None:
            self._connecting.cancel()
        self.caller.reset()
        self.receiver.reset()
        self._proxy.remove_connection(self)

    def close_if_finished(self) -> None:
        """End when both sides have closed and everything has arrived."""
        if self.requests.is_over and self.responses.is_over:
            self.is_closed = True
            self.caller.close()
            self.receiver.close()
            self._proxy.remove_connection(self)


class _HalfConnection(asyncio.Protocol):
    """One half of a connection: the proxy's socket to the sender, or to the receiver."""

    outgoing: _Direction
    incoming: _Direction

    def __init__(self, connection: _Connection) -> None:
        self._connection = connection
        self.transport: Any = None
        self.is_full = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        if self is self._connection.caller:
            self._connection.begin()
        self.incoming.forward()

    def data_received(self, data: bytes) -> None:
        if self is self._connection.caller:
            self._connection.parse_sender(data)
        self.outgoing.add(data)

    def eof_received(self) -> bool:
        self.outgoing.add(b"")
        # What is on its way to this side may still arrive.
        return True

    def connection_lost(self, _error: Exception | None) -> None:
        self.outgoing.discard_pending()

    def pause_writing(self) -> None:
        self.is_full = True

    def resume_writing(self) -> None:
        self.is_full = False
        self.incoming.forward()

    def write(self, data: bytes) -> None:
        """Write *data*; nothing stands for the end."""
        if self.transport.is_closing():
            return
        if data:
            self.transport.write(data)
            return
        try:
            self.transport.write_eof()
        except OSError:
            # It was reset after it had closed its own side, so nobody was reading.
            self._connection.reset()

    def read(self, is_reading: bool) -> None:
        """Read on, or hold the other side up."""
        if self.transport is None or self.transport.is_closing():
            return
        if is_reading:
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()

    def close(self) -> None:
        """Close once everything is written."""
        if self.transport is not None:
            self.transport.close()

    def reset(self) -> None:
        """Close by a reset."""
        if self.transport is None:
            return
        with contextlib.suppress(OSError):
            raw = self.transport.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
        self.transport.abort()


class _Direction:
    """What one side writes to the other, in order.

    Args:
        connection: The connection.
        source: Where it is read.
        target: Where it is written.
    """

    def __init__(
        self, connection: _Connection, source: _HalfConnection, target: _HalfConnection
    ) -> None:
        self._connection = connection
        self._source = source
        self._target = target
        self._queue: deque[tuple[float, bytes]] = deque()
        self._queued = 0
        self._last_due_s = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._is_source_reset = False
        self.is_held = False
        self.is_over = False

    def add(self, data: bytes) -> None:
        """Take what was written; nothing stands for the end."""
        now_s = asyncio.get_running_loop().time()
        self._last_due_s = max(self._last_due_s, now_s + self._connection.sample_delay_s())
        self._queue.append((self._last_due_s, data))
        self._queued += len(data)
        self.forward()
        if self._queued > _QUEUED_MAX:
            self._source.read(is_reading=False)

    def discard_pending(self) -> None:
        """Drop what waits, after a reset by the source; the target hears of it unless held up."""
        self._queue.clear()
        self._queued = 0
        self._is_source_reset = True
        self.forward()

    def forward(self) -> None:
        """Write what is due and not held up."""
        if self._target.transport is None or self._connection.is_closed:
            return
        if self._is_source_reset and not (self.is_held or self._connection.is_blocked):
            self._connection.reset()
            return
        loop = asyncio.get_running_loop()
        was_full = self._queued > _QUEUED_MAX
        while self._queue and not (
            self.is_held or self._connection.is_blocked or self._target.is_full
        ):
            due_s, data = self._queue[0]
            if due_s > loop.time():
                self._schedule_at(due_s)
                break
            self._queue.popleft()
            self._queued -= len(data)
            self._target.write(data)
            self.is_over = not data
        if was_full and self._queued <= _QUEUED_MAX:
            self._source.read(is_reading=True)
        if self.is_over:
            self._connection.close_if_finished()

    def _schedule_at(self, due_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_at(due_s, self.forward)


def _parse_identity(data: bytes) -> bytes | None:
    """Return the socket's identity if *data* holds the whole first command of a ZMTP peer."""
    command = data[_GREETING_BYTES:]
    if len(command) < 2:
        return None
    size_bytes = 8 if command[0] & _LONG_FRAME else 1
    size = int.from_bytes(command[1 : 1 + size_bytes], "big")
    body = command[1 + size_bytes :]
    if len(body) < size:
        return None
    _, found, rest = body[:size].partition(_IDENTITY)
    if not found:
        return b""
    length = int.from_bytes(rest[:4], "big")
    return rest[4 : 4 + length]
