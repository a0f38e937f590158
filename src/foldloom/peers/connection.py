# SPDX-License-Identifier: MIT
"""The way out to one peer: what waits for it, and the socket that it leaves by.

Owns a peer's outbox and its DEALER socket. Relies on ZeroMQ to connect again. Nothing here waits
for the peer: what it can't take now is dropped and counted.
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

# Envelopes that ZeroMQ may queue for a peer; beyond it a message is dropped and counted.
HIGH_WATER_MARK = 1_000
# Messages that may wait for a peer here, to bound memory to some megabytes a peer.
_OUTBOX_MAX = 20_000
# Messages in one envelope, so that other tasks get their turn.
_FRAMES_PER_ENVELOPE_MAX = 500
# Milliseconds between ZeroMQ's heartbeats on a connection, and of silence after which it is given
# up: close to the silence after which a peer counts as gone (1,000 ms).
_HEARTBEAT_INTERVAL_MS = 500
# The silence that ends such a connection.
_HEARTBEAT_TIMEOUT_MS = 1_500
# The same with seed discovery, where a connection to an address that is gone, or behind a cut that
# has healed, must be made anew soon. Chosen as half: long enough for a lost packet to be sent again
# twice. They alone show a connection that has gone silent without a reset; two boxes on loopback
# answered each other again 1.15 s after that, and 1.95 s with the values above.
_DISCOVERY_HEARTBEAT_INTERVAL_MS = 250
# The silence that ends it then.
_DISCOVERY_HEARTBEAT_TIMEOUT_MS = 750
# Milliseconds for a connection with seed discovery: an owner's silence.
_CONNECT_TIMEOUT_MS = 400
# Milliseconds for ZeroMQ's handshake, in which there are no heartbeats yet: the longest that they
# let a silence last afterwards. With ZeroMQ's own 30 s a connection that fell silent in its
# handshake kept two boxes on loopback apart for 30.1 s.
_HANDSHAKE_TIMEOUT_MS = _HEARTBEAT_INTERVAL_MS + _HEARTBEAT_TIMEOUT_MS
# The same with seed discovery.
_DISCOVERY_HANDSHAKE_TIMEOUT_MS = _DISCOVERY_HEARTBEAT_INTERVAL_MS + _DISCOVERY_HEARTBEAT_TIMEOUT_MS
# Milliseconds until a connection is tried again, doubled up to the maximum.
_RECONNECT_MS = 50
# The longest such pause.
_RECONNECT_MAX_MS = 500


class SenderIdentity(NamedTuple):
    """Who sends.

    Args:
        box: The own box.
        incarnation: This process's incarnation.
        uses_discovery: Whether boxes find each other through seeds.
    """

    box: str
    incarnation: int
    uses_discovery: bool


class PeerConnection:
    """The connection to one peer.

    Args:
        peer: The peer.
        identity: Who sends.
        curve: The keys.
        metrics: Counters.
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
        """How soon a connection that fell silent is given up.

        With seed discovery boxes come and go at any address, so a connection to one that is
        gone, or behind a cut that has healed, must be made anew soon.
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
        """Queue *frame*; return whether there is room for it."""
        if len(self._outbox) >= _OUTBOX_MAX:
            self._metrics.count("messages.dropped.outbox-full")
            return False
        self._outbox.append(frame)
        self._wakeup.set()
        return True

    async def run(self, context: zmq.Context[zmq.Socket[bytes]]) -> None:
        """Send everything that collects, one envelope at a time, until cancelled."""
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
            # Never wait on a peer that can't take the message now.
            dealer.send(data, zmq.NOBLOCK)
        except zmq.ZMQError:
            self._metrics.count("messages.dropped.unsendable", len(frames))
            return
        self._metrics.count("envelopes.sent")
        self._metrics.count("bytes.sent", len(data))
