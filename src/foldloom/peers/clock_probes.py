# SPDX-License-Identifier: MIT
"""Clock probes to the senders of expired messages.

A message looks expired if it was delayed, or if the sender's clock has fallen back relative to this
box's clock, for example during a suspension. In the second case all later messages would be
dropped. A probe corrects this: its reply can't be older than the probe, which bounds the sender's
clock offset (:mod:`foldloom.peers.incarnations`).
"""

from __future__ import annotations

import asyncio
from typing import NamedTuple, Protocol

from foldloom.exceptions import PeerUnreachableError
from foldloom.logs import PEER_LOG
from foldloom.metrics import Metrics
from foldloom.peers.messages import Frame, register
from foldloom.tasks import TaskSet

# Timeout of a probe, and minimum interval between probes of the same peer.
_PROBE_INTERVAL_MS = 1_000


class ClockProbe(NamedTuple):
    """A probe, which the receiver returns as its reply."""


register(3, ClockProbe)


class Requester(Protocol):
    """A network that sends requests."""

    async def request(self, box: str, message: object, timeout_ms: float) -> object:
        """Send *message* to *box* and return its reply.

        Raises:
            PeerUnreachableError: No reply within *timeout_ms*.
        """


class ClockProbes:
    """Counts expired messages and probes their senders.

    Args:
        network: Network that sends the probes.
        metrics: Metrics of the box.
        tasks: Task set for the probes in flight.
    """

    def __init__(self, network: Requester, metrics: Metrics, tasks: TaskSet) -> None:
        self._network = network
        self._metrics = metrics
        self._tasks = tasks
        self._probed_boxes: set[str] = set()

    def record_expired(self, sender: str, frame: Frame, age_ms: float) -> None:
        """Record a message dropped at age *age_ms*; probe *sender* unless a probe is active."""
        self._metrics.count("messages.dropped.expired")
        PEER_LOG.event(
            "message.expired",
            sender=sender,
            number=frame.kind,
            age_ms=int(age_ms),
            ttl_ms=frame.ttl_ms,
        )
        if sender in self._probed_boxes:
            return
        self._probed_boxes.add(sender)
        self._tasks.spawn(self._probe(sender))

    async def _probe(self, box: str) -> None:
        try:
            await self._network.request(box, ClockProbe(), _PROBE_INTERVAL_MS)
            await asyncio.sleep(_PROBE_INTERVAL_MS / 1_000)
        except PeerUnreachableError:
            # The next expired message starts another probe.
            return
        finally:
            self._probed_boxes.discard(box)
