# SPDX-License-Identifier: MIT
"""The ROUTER socket that receives the envelopes of all peers.

A malformed envelope or a failing handler is counted or logged and does not affect other envelopes.
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

# Envelopes received before yielding to other tasks.
_RECEIVE_BATCH_MAX = 50
# Maximum size of an envelope; must exceed that of a controller snapshot.
_ENVELOPE_MAX_BYTES = 64 * 1024 * 1024


class InboundSocket:
    """The inbound socket of a box.

    Args:
        address: ``IP:port`` to bind to.
        curve: CURVE keys.
        accept: Called with the message parts of each envelope.
        metrics: Metrics of the box.
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
        """Pass each received envelope to *accept* until cancelled, then close the socket.

        The socket's file descriptor is watched and the socket drained, which is cheaper per
        message than a ``zmq.asyncio`` future.
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
        """Receive pending envelopes, up to the batch size."""
        for _ in range(_RECEIVE_BATCH_MAX):
            try:
                parts = router.recv_multipart(zmq.NOBLOCK, copy=False)
            except zmq.Again:
                # No envelope is pending.
                return
            try:
                self._accept(parts)
            except msgspec.DecodeError as error:
                self._metrics.count("messages.dropped.malformed")
                PEER_LOG.warning("Dropped a malformed envelope: {}.", error)
            except Exception:
                PEER_LOG.exception("Message handler failed.")
