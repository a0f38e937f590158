# SPDX-License-Identifier: MIT
"""Outbound connection to one peer: an outbox and a DEALER socket.

ZeroMQ reconnects by itself. Sending never blocks: messages that can't be queued are dropped and
counted.
"""

from __future__ import annotations

import asyncio
from typing import NamedTuple

import zmq

from foldloom.clock import monotonic_ms
from foldloom.metrics import Metrics
from foldloom.peers.curve import Curve
from foldloom.peers.messages import Envelope, Frame, encode_envelope
from foldloom.settings import PeerSettings

# Envelopes that ZeroMQ may queue for each peer.
HIGH_WATER_MARK = 1_000
# Messages in the outbox of each peer; bounds memory to some megabytes per peer.
_OUTBOX_MAX = 20_000
# Messages in one envelope; bounds the time for which encoding blocks the event loop.
_FRAMES_PER_ENVELOPE_MAX = 500
# Interval of ZeroMQ's own heartbeats on a connection.
_HEARTBEAT_INTERVAL_MS = 500
# Silence after a heartbeat that closes the connection.
_HEARTBEAT_TIMEOUT_MS = 1_500
# Shorter with seed discovery, to replace a connection soon after a partition has healed.
_DISCOVERY_HEARTBEAT_INTERVAL_MS = 250
# Leaves TCP time to retransmit a lost packet.
_DISCOVERY_HEARTBEAT_TIMEOUT_MS = 750
# Timeout of connecting with seed discovery; equals the default owner_silent_ms.
_CONNECT_TIMEOUT_MS = 400
# Timeout of ZeroMQ's handshake, during which there are no heartbeats. ZeroMQ's default is 30 s.
_HANDSHAKE_TIMEOUT_MS = _HEARTBEAT_INTERVAL_MS + _HEARTBEAT_TIMEOUT_MS
# Handshake timeout with seed discovery.
_DISCOVERY_HANDSHAKE_TIMEOUT_MS = _DISCOVERY_HEARTBEAT_INTERVAL_MS + _DISCOVERY_HEARTBEAT_TIMEOUT_MS
# Initial reconnect interval, doubled after each attempt.
_RECONNECT_MS = 50
# Maximum reconnect interval.
_RECONNECT_MAX_MS = 500


class SenderIdentity(NamedTuple):
    """Identity of the sending box.

    Args:
        box: Name of this box.
        incarnation: Incarnation of this process.
        uses_discovery: Whether seed discovery is in use.
    """

    box: str
    incarnation: int
    uses_discovery: bool


class PeerConnection:
    """The outbound connection to one peer.

    Args:
        peer: Settings of the peer.
        identity: Identity of this box.
        curve: CURVE keys.
        metrics: Metrics of the box.
    """

    def __init__(
        self, peer: PeerSettings, identity: SenderIdentity, curve: Curve, metrics: Metrics
    ) -> None:
        self._peer = peer
        self._identity = identity
        self._curve = curve
        self._metrics = metrics
        self._outbox: list[Frame] = []
        self._wakeup = asyncio.Event()

    @property
    def _options(self) -> list[tuple[int, int]]:
        return [
            (zmq.LINGER, 0),
            (zmq.SNDHWM, HIGH_WATER_MARK),
            (zmq.IMMEDIATE, 1),
            (zmq.RECONNECT_IVL, _RECONNECT_MS),
            (zmq.RECONNECT_IVL_MAX, _RECONNECT_MAX_MS),
            *self._liveness_options,
        ]

    @property
    def _liveness_options(self) -> list[tuple[int, int]]:
        """Options that bound how long a silent connection is kept.

        The bounds are shorter with seed discovery, where boxes come and go at any address.
        """
        if not self._identity.uses_discovery:
            return [
                (zmq.HEARTBEAT_IVL, _HEARTBEAT_INTERVAL_MS),
                (zmq.HEARTBEAT_TIMEOUT, _HEARTBEAT_TIMEOUT_MS),
                (zmq.HANDSHAKE_IVL, _HANDSHAKE_TIMEOUT_MS),
            ]
        return [
            (zmq.HEARTBEAT_IVL, _DISCOVERY_HEARTBEAT_INTERVAL_MS),
            (zmq.HEARTBEAT_TIMEOUT, _DISCOVERY_HEARTBEAT_TIMEOUT_MS),
            (zmq.CONNECT_TIMEOUT, _CONNECT_TIMEOUT_MS),
            (zmq.HANDSHAKE_IVL, _DISCOVERY_HANDSHAKE_TIMEOUT_MS),
        ]

    def add(self, frame: Frame) -> bool:
        """Queue *frame*; return ``False`` if the outbox is full."""
        if len(self._outbox) >= _OUTBOX_MAX:
            self._metrics.count("messages.dropped.outbox-full")
            return False
        self._outbox.append(frame)
        self._wakeup.set()
        return True

    async def run(self, context: zmq.Context[zmq.Socket[bytes]]) -> None:
        """Send queued frames, batched in envelopes, until cancelled."""
        dealer = context.socket(zmq.DEALER)
        for option, value in self._options:
            dealer.setsockopt(option, value)
        dealer.setsockopt(
            zmq.IDENTITY, f"{self._identity.box}/{self._identity.incarnation}".encode()
        )
        self._curve.secure_client(dealer, self._peer)
        dealer.connect(f"tcp://{self._peer.address}")
        try:
            while True:
                await self._wakeup.wait()
                self._wakeup.clear()
                while frames := self._outbox[:_FRAMES_PER_ENVELOPE_MAX]:
                    del self._outbox[: len(frames)]
                    self._send(dealer, frames)
        finally:
            dealer.close()

    def _send(self, dealer: zmq.Socket[bytes], frames: list[Frame]) -> None:
        envelope = Envelope(
            self._identity.box, self._identity.incarnation, int(monotonic_ms()), frames
        )
        data = encode_envelope(envelope)
        try:
            dealer.send(data, zmq.NOBLOCK)
        except zmq.ZMQError:
            self._metrics.count("messages.dropped.unsendable", len(frames))
            return
        self._metrics.count("envelopes.sent")
        self._metrics.count("bytes.sent", len(data))
