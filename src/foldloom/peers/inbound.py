# SPDX-License-Identifier: MIT
"""The way in: the one socket by which messages of all peers arrive.

Owns the ROUTER socket. Relies on whoever accepts what arrives: an envelope that can't be read, or
whose handler fails, is counted or logged here and costs no other one.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec
import zmq

from foldloom.logs import PEER_LOG
from foldloom.metrics import Metrics
from foldloom.peers.connection import HIGH_WATER_MARK
from foldloom.peers.curve import Curve

# Envelopes taken before other tasks get their turn.
_RECEIVE_BATCH_MAX = 50
# The largest envelope that is received: far above a snapshot.
_ENVELOPE_MAX_BYTES = 64 * 1024 * 1024


class InboundSocket:
    """The socket that a box binds.

    Args:
        address: ``IP:port``.
        curve: Secures the socket, where there are keys.
        accept: Called with each envelope's frames.
        metrics: Counters.
    """

    def __init__(
        self,
        address: str,
        curve: Curve,
        accept: Callable[[list[zmq.Frame]], None],
        metrics: Metrics,
    ) -> None:
        self._address = address
        self._curve = curve
        self._accept = accept
        self._metrics = metrics

    def bind(self, context: zmq.Context[zmq.Socket[bytes]]) -> zmq.Socket[bytes]:
        """Return the bound socket, for :meth:`receive`."""
        router = context.socket(zmq.ROUTER)
        router.setsockopt(zmq.LINGER, 0)
        router.setsockopt(zmq.RCVHWM, HIGH_WATER_MARK)
        router.setsockopt(zmq.MAXMSGSIZE, _ENVELOPE_MAX_BYTES)
        router.setsockopt(zmq.ROUTER_HANDOVER, 1)
        self._curve.secure_server(router)
        router.bind(f"tcp://{self._address}")
        return router

    async def receive(self, router: zmq.Socket[bytes]) -> None:
        """Have each arriving envelope accepted, until cancelled; then close the socket.

        The socket is watched by its file descriptor and then emptied: that costs less for
        each message than a future of ``zmq.asyncio`` does.
        """
        readable = asyncio.Event()
        loop = asyncio.get_running_loop()
        descriptor = int(router.getsockopt(zmq.FD))
        loop.add_reader(descriptor, readable.set)
        try:
            while True:
                self._receive_batch(router)
                if int(router.getsockopt(zmq.EVENTS)) & zmq.POLLIN:
                    await asyncio.sleep(0)
                    continue
                await readable.wait()
                readable.clear()
        finally:
            loop.remove_reader(descriptor)
            router.close()

    def _receive_batch(self, router: zmq.Socket[bytes]) -> None:
        """Receive what has arrived, up to a bound, so that other tasks get their turn."""
        for _ in range(_RECEIVE_BATCH_MAX):
            try:
                parts = router.recv_multipart(zmq.NOBLOCK, copy=False)
            except zmq.Again:
                # Everything that has arrived was taken.
                return
            try:
                self._accept(parts)
            except msgspec.DecodeError as error:
                self._metrics.count("messages.dropped.malformed")
                PEER_LOG.warning("Dropped a malformed message: {}.", error)
            except Exception:
                PEER_LOG.exception("A handler failed.")
