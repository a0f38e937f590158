# SPDX-License-Identifier: MIT
"""Messaging between boxes over ZeroMQ.

Owns the pending requests and the message handlers. Each box binds one ROUTER socket and connects
one DEALER socket to every peer, which carries its requests and its replies. ZeroMQ queues messages
and delivers them after a partition heals; low high-water marks, ``IMMEDIATE`` and a time-to-live on
every message keep stale messages from taking effect.
"""

from __future__ import annotations

import asyncio
import inspect
import math
import secrets
from collections.abc import Callable
from typing import Any, NamedTuple

import zmq

from foldloom.addresses import is_address
from foldloom.clock import monotonic_ms
from foldloom.exceptions import PeerUnreachableError
from foldloom.logs import PEER_LOG
from foldloom.metrics import Metrics
from foldloom.peers.clock_probes import ClockProbe, ClockProbes
from foldloom.peers.connection import PeerConnection, SenderIdentity
from foldloom.peers.curve import Curve
from foldloom.peers.inbound import InboundSocket
from foldloom.peers.incarnations import (
    IncarnationTracker,
    OrderedIncarnations,
    UnorderedIncarnations,
)
from foldloom.peers.messages import (
    Envelope,
    Frame,
    counted_as,
    decode_body,
    decode_envelope,
    encode_body,
    kind_of,
)
from foldloom.settings import PeerSettings, Settings
from foldloom.tasks import TaskSet
from foldloom.time_limits import SuspendAwareTimeout

# Bits of the random first request id; leaves room to count up within 64 bits.
_REQUEST_ID_BITS = 62
# Default time-to-live of a message.
DEFAULT_TTL_MS = 1_000

Handler = Callable[[str, Any], Any]


class _PendingRequest(NamedTuple):
    """A request without a reply so far.

    Args:
        box: Name of the box that the request was sent to.
        reply: Future of the reply.
        started_ms: Send time by the monotonic clock.
    """

    box: str
    reply: asyncio.Future[Any]
    started_ms: float


class PeerNetwork:
    """Sends messages to peers and dispatches received ones to handlers.

    Args:
        settings: Settings of this box.
        incarnation: Incarnation of this process.
        metrics: Metrics of the box.
    """

    def __init__(self, settings: Settings, incarnation: int, metrics: Metrics) -> None:
        self._settings = settings
        self._metrics = metrics
        self._incarnation = incarnation
        self._context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
        self._peers = {peer.box: peer for peer in settings.peers if peer.box != settings.box}
        self._uses_discovery = bool(settings.seeds)
        self._is_started = False
        self._zone_by_box = {peer.box: peer.zone for peer in settings.peers}
        self._handlers: dict[type, Handler] = {}
        self._pending_requests: dict[int, _PendingRequest] = {}
        self._incarnations: IncarnationTracker = (
            UnorderedIncarnations() if self._uses_discovery else OrderedIncarnations()
        )
        self._send_tasks: dict[str, asyncio.Task[None]] = {}
        # Random, so that a reply to an earlier incarnation of this box matches no current request:
        # replies carry no incarnation of the requester.
        self._next_id = secrets.randbits(_REQUEST_ID_BITS)
        self._tasks = TaskSet()
        self._probes = ClockProbes(self, metrics, self._tasks)
        self._curve = Curve(settings, metrics)
        self._inbound = InboundSocket(settings.listen, self._curve, self._accept, metrics)
        self._identity = SenderIdentity(settings.box, incarnation, self._uses_discovery)
        self._connections = {box: self._connection_to(peer) for box, peer in self._peers.items()}
        self.on(ClockProbe, lambda _sender, probe: probe)

    @property
    def incarnation(self) -> int:
        """Incarnation of this process."""
        return self._incarnation

    @property
    def peer_names(self) -> list[str]:
        """Names of all peers."""
        return list(self._peers)

    def known_incarnation(self, box: str) -> int:
        """Return the current incarnation of *box*, or 0 if unknown."""
        if box == self._settings.box:
            return self._incarnation
        return self._incarnations.current(box)

    def zone_of(self, box: str) -> str:
        """Return the availability zone of *box*, or an empty string if unknown."""
        return self._zone_by_box.get(box, "")

    def on(self, message_type: type, handler: Handler) -> None:
        """Call ``handler(sender, message)`` for each message of *message_type*.

        A handler returns a reply, ``None`` for no reply, or a coroutine that returns either.
        """
        self._handlers[message_type] = handler

    async def start(self) -> None:
        """Bind the inbound socket and connect to every peer."""
        self._curve.start(self._context)
        router = self._inbound.bind(self._context)
        self._tasks.spawn(self._inbound.receive(router))
        self._is_started = True
        for box in self._peers:
            self._connect(box)

    def add_peer(self, box: str) -> None:
        """Connect to a box found by seed discovery; its name is its address (``IP:port``)."""
        if box in self._peers or box == self._settings.box:
            return
        peer = PeerSettings(box=box, zone="", roles=[], address=box)
        self._peers[box] = peer
        self._connections[box] = self._connection_to(peer)
        if self._is_started:
            self._connect(box)

    def remove_peer(self, box: str) -> None:
        """Close the connection to a box that has left; no effect without seed discovery."""
        if not self._uses_discovery or box not in self._peers:
            return
        del self._peers[box], self._connections[box]
        task = self._send_tasks.pop(box, None)
        if task is not None:
            task.cancel()

    async def stop(self) -> None:
        """Cancel the tasks and close the sockets."""
        await self._tasks.stop()
        self._curve.stop()
        self._context.destroy(linger=0)

    def send(self, box: str, message: object, ttl_ms: int = DEFAULT_TTL_MS) -> None:
        """Send *message* to *box* without blocking; it may be lost."""
        if box == self._settings.box:
            asyncio.get_running_loop().call_soon(self._dispatch_local, message)
            return
        self._enqueue(box, message, 0, 0, ttl_ms)

    async def request(self, box: str, message: object, timeout_ms: float) -> Any:
        """Send *message* to *box* and return its reply.

        Raises:
            PeerUnreachableError: No reply within *timeout_ms*.
        """
        if box == self._settings.box:
            return await self._request_local(message)
        self._next_id += 1
        request_id = self._next_id
        future: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._pending_requests[request_id] = _PendingRequest(box, future, monotonic_ms())
        try:
            self._enqueue(box, message, request_id, 0, int(timeout_ms) + 1)
            # asyncio.wait_for may lose a cancellation that arrives with the reply (Python 3.11).
            async with SuspendAwareTimeout(timeout_ms):
                return await future
        except TimeoutError:
            raise PeerUnreachableError(f"{box} did not answer in {timeout_ms:.0f} ms") from None
        finally:
            self._pending_requests.pop(request_id, None)

    async def _request_local(self, message: object) -> Any:
        reply = self._handlers[type(message)](self._settings.box, message)
        return await reply if inspect.iscoroutine(reply) else reply

    def _dispatch_local(self, message: object) -> None:
        reply = self._handlers[type(message)](self._settings.box, message)
        if inspect.iscoroutine(reply):
            self._tasks.spawn(reply)

    def _enqueue(
        self, box: str, message: object, request_id: int, reply_to: int, ttl_ms: int
    ) -> None:
        if box not in self._connections and self._uses_discovery and is_address(box):
            self.add_peer(box)
        connection = self._connections.get(box)
        if connection is None:
            return
        frame = Frame(kind_of(message), request_id, reply_to, ttl_ms, encode_body(message))
        if connection.add(frame):
            self._metrics.count(f"messages.sent.{counted_as(message)}")

    def _connection_to(self, peer: PeerSettings) -> PeerConnection:
        return PeerConnection(peer, self._identity, self._curve, self._metrics)

    def _connect(self, box: str) -> None:
        self._send_tasks[box] = self._tasks.spawn(self._connections[box].run(self._context))

    def _accept(self, parts: list[zmq.Frame]) -> None:
        data = parts[-1].bytes
        envelope = decode_envelope(data)
        self._metrics.count("bytes.received", len(data))
        if not self._is_authenticated(envelope.sender, parts[-1]):
            self._metrics.count("messages.dropped.stranger")
            PEER_LOG.warning(
                "Dropped an envelope that failed sender authentication: claimed sender {}.",
                envelope.sender,
            )
            return
        now_ms = monotonic_ms()
        age_ms = self._incarnations.record(
            envelope.sender,
            envelope.incarnation,
            envelope.sent_ms,
            now_ms,
            self._age_max_ms(envelope, now_ms),
        )
        if age_ms is None:
            self._metrics.count("messages.dropped.old-incarnation", len(envelope.frames))
            return
        self._metrics.timing("message_age_ms", age_ms)
        for frame in envelope.frames:
            if age_ms > frame.ttl_ms:
                self._probes.record_expired(envelope.sender, frame, age_ms)
                continue
            self._dispatch(envelope.sender, frame)

    def _age_max_ms(self, envelope: Envelope, now_ms: float) -> float:
        """Return an upper bound on the age of *envelope*: a reply is younger than its request."""
        age_max_ms = math.inf
        for frame in envelope.frames:
            pending = self._pending_requests.get(frame.reply_to) if frame.reply_to else None
            if pending is not None and pending.box == envelope.sender:
                age_max_ms = min(age_max_ms, now_ms - pending.started_ms)
        return age_max_ms

    def _is_authenticated(self, sender: str, part: zmq.Frame) -> bool:
        if sender not in self._peers:
            if not self._uses_discovery or not is_address(sender):
                return False
            self.add_peer(sender)
        return self._curve.is_authenticated(sender, part)

    def _dispatch(self, sender: str, frame: Frame) -> None:
        message = decode_body(frame)
        if frame.reply_to:
            pending = self._pending_requests.get(frame.reply_to)
            if pending is None or pending.box != sender or pending.reply.done():
                self._metrics.count("messages.wasted.late-reply")
                return
            pending.reply.set_result(message)
            return
        handler = self._handlers.get(type(message))
        if handler is None:
            self._metrics.count("messages.dropped.unhandled")
            return
        reply = handler(sender, message)
        if inspect.iscoroutine(reply):
            task = self._tasks.spawn(self._reply_when_done(sender, frame, reply))
            # A task cancelled before its first step never awaits the coroutine.
            task.add_done_callback(lambda _task: reply.close())
            return
        self._reply(sender, frame, reply)

    async def _reply_when_done(self, sender: str, frame: Frame, reply: Any) -> None:
        try:
            self._reply(sender, frame, await reply)
        except Exception:
            PEER_LOG.exception("Message handler failed.")

    def _reply(self, sender: str, frame: Frame, reply: object) -> None:
        if reply is None or not frame.id:
            return
        self._enqueue(sender, reply, 0, frame.id, frame.ttl_ms)
