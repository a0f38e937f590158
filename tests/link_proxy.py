# SPDX-License-Identifier: MIT
"""A fault-injecting TCP proxy with faults per sender and receiver.

It listens at the advertised addresses of the receivers, on the test's event loop. The sender of a
connection between boxes is read from the socket identity in its ZMTP handshake; the sender of an
HTTP connection is unknown.
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

# Length of the ZMTP greeting; the command with the socket identity follows.
_GREETING_BYTES = 64
_LONG_FRAME = 0x02
_IDENTITY = b"\x08Identity"
# Queued bytes per direction above which reading pauses, as with a small receive window.
_QUEUED_MAX = 256 * 1024
# SO_LINGER of 0 s: closing the socket sends a reset.
_NO_LINGER = struct.pack("ii", 1, 0)


class Kind(Enum):
    """The purpose of a listener."""

    PEER = "peer"
    CALLERS = "callers"
    CONTROL = "control"
    RUNS = "runs"


class Link(NamedTuple):
    """All connections of a kind from one sender to one receiver.

    Args:
        sender: The connecting box; empty if unknown.
        receiver: The accepting box or endpoint.
        kind: The purpose of the listener.
    """

    sender: str
    receiver: str
    kind: Kind


LinkFilter = Callable[[Link], bool]


class Fault(NamedTuple):
    """A temporary fault on a set of links.

    Args:
        link_filter: Selects the links.
        is_refusing: Resets open and new connections.
        holds_requests: Holds data from the sender until the fault ends, as a network partition
            does.
        holds_responses: Holds data from the receiver likewise.
        delay_s: Minimum and maximum delay of both directions; order is kept.
    """

    link_filter: LinkFilter
    is_refusing: bool = False
    holds_requests: bool = False
    holds_responses: bool = False
    delay_s: tuple[float, float] = (0.0, 0.0)


class LinkProxy:
    """All links of one test.

    Args:
        names: Box names by the ``IP:port`` of their peer sockets.
        rng: Random generator for delays.
    """

    def __init__(self, names: dict[str, str], rng: random.Random) -> None:
        self._names_by_address = names
        self._rng = rng
        self._faults: list[Fault] = []
        self._servers: list[asyncio.Server] = []
        self._connections: set[_Connection] = set()

    async def listen(self, receiver: str, kind: Kind, at: Address, target: Address) -> None:
        """Accept connections to *receiver* on *at* and forward them to *target*."""

        def accept() -> _HalfConnection:
            connection = _Connection(self, Link("", receiver, kind), target)
            self._connections.add(connection)
            return connection.caller

        loop = asyncio.get_running_loop()
        self._servers.append(await loop.create_server(accept, *at))

    @contextlib.contextmanager
    def inject(self, fault: Fault) -> Iterator[None]:
        """Apply *fault* to its links, including connections opened meanwhile."""
        self._faults.append(fault)
        self._apply()
        try:
            yield
        finally:
            self._faults.remove(fault)
            self._apply()

    @contextlib.contextmanager
    def stalled(self, link_filter: LinkFilter) -> Iterator[None]:
        """Hold data on connections that are open now; new connections work.

        Reproduces TCP retransmission back-off: data written first on an old connection arrives
        after data on a new one.
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
        """Reset the open connections of the selected links; new connections work."""
        for connection in self._open(link_filter):
            connection.reset()

    def silence(self, link_filter: LinkFilter) -> None:
        """Stop forwarding on open connections without a reset; new connections work."""
        for connection in self._open(link_filter):
            connection.is_silent = True

    def close(self) -> None:
        """Close the listeners and reset all connections."""
        for server in self._servers:
            server.close()
        for connection in list(self._connections):
            connection.reset()

    def sender_of(self, identity: bytes) -> str:
        """Return the box name for a socket identity ``IP:port/incarnation``; empty if unknown."""
        address, _, _incarnation = identity.decode("latin-1").rpartition("/")
        return self._names_by_address.get(address, "")

    def faults_of(self, link: Link) -> list[Fault]:
        """Return the faults currently applied to *link*."""
        return [fault for fault in self._faults if fault.link_filter(link)]

    def delay_s(self, faults: list[Fault]) -> float:
        """Draw the delay of a chunk in seconds: the maximum over *faults*."""
        return max((self._rng.uniform(*fault.delay_s) for fault in faults), default=0.0)

    def remove_connection(self, connection: _Connection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)

    def _open(self, link_filter: LinkFilter) -> list[_Connection]:
        return [one for one in self._connections if link_filter(one.link)]

    def _apply(self) -> None:
        for connection in list(self._connections):
            connection.apply_faults()


class _Connection:
    """A connection from a sender to the proxy, with its connection to the receiver.

    Args:
        proxy: The owning proxy.
        link: Its link; the sender of a peer connection is filled in from the handshake.
        target: The receiver's bound address.
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
        """Connect to the receiver."""
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
        """Read the sender from the handshake once it is complete, and apply its faults."""
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
        """Apply the current faults of the link."""
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
        """Forward data that is due, in both directions."""
        self.requests.forward()
        self.responses.forward()

    @property
    def is_blocked(self) -> bool:
        """Whether the connection is stalled or silenced."""
        return self.is_silent or self.stall_count > 0

    def sample_delay_s(self) -> float:
        """Draw the delay of a chunk under the current faults."""
        return self._proxy.delay_s(self.faults)

    def reset(self) -> None:
        """Reset both halves and discard queued data."""
        if self.is_closed:
            return
        self.is_closed = True
        if self._connecting is not None:
            self._connecting.cancel()
        self.caller.reset()
        self.receiver.reset()
        self._proxy.remove_connection(self)

    def close_if_finished(self) -> None:
        """Close once both sides have sent EOF and all data is forwarded."""
        if self.requests.is_over and self.responses.is_over:
            self.is_closed = True
            self.caller.close()
            self.receiver.close()
            self._proxy.remove_connection(self)


class _HalfConnection(asyncio.Protocol):
    """The proxy's socket to the sender or to the receiver."""

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
        # Half-closed: data towards this side may still be forwarded.
        return True

    def connection_lost(self, _error: Exception | None) -> None:
        self.outgoing.discard_pending()

    def pause_writing(self) -> None:
        self.is_full = True

    def resume_writing(self) -> None:
        self.is_full = False
        self.incoming.forward()

    def write(self, data: bytes) -> None:
        """Write *data*; empty data means EOF."""
        if self.transport.is_closing():
            return
        if data:
            self.transport.write(data)
            return
        try:
            self.transport.write_eof()
        except OSError:
            # The peer reset the connection after closing its side.
            self._connection.reset()

    def read(self, is_enabled: bool) -> None:
        """Resume or pause reading."""
        if self.transport is None or self.transport.is_closing():
            return
        if is_enabled:
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()

    def close(self) -> None:
        """Close after flushing."""
        if self.transport is not None:
            self.transport.close()

    def reset(self) -> None:
        """Close with a TCP reset."""
        if self.transport is None:
            return
        with contextlib.suppress(OSError):
            raw = self.transport.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
        self.transport.abort()


class _Direction:
    """The ordered data stream in one direction.

    Args:
        connection: The owning connection.
        source: The half that data is read from.
        target: The half that data is written to.
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
        """Queue *data* with a sampled delay; empty data means EOF."""
        now_s = asyncio.get_running_loop().time()
        self._last_due_s = max(self._last_due_s, now_s + self._connection.sample_delay_s())
        self._queue.append((self._last_due_s, data))
        self._queued += len(data)
        self.forward()
        if self._queued > _QUEUED_MAX:
            self._source.read(is_enabled=False)

    def discard_pending(self) -> None:
        """Discard queued data after a reset by the source and propagate it unless held."""
        self._queue.clear()
        self._queued = 0
        self._is_source_reset = True
        self.forward()

    def forward(self) -> None:
        """Write queued data that is due, unless held."""
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
            self._source.read(is_enabled=True)
        if self.is_over:
            self._connection.close_if_finished()

    def _schedule_at(self, due_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_at(due_s, self.forward)


def _parse_identity(data: bytes) -> bytes | None:
    """Return the ZMTP socket identity; ``None`` until the first command is complete.

    Returns empty bytes if the command has no identity.
    """
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
