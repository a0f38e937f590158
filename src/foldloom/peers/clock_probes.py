# SPDX-License-Identifier: MIT
"""Messages that came too late, and whether their sender's clock is to blame.

Owns which peers are being probed. Relies on the network for requests.

Messages look too old because they were held up on their way, or because their sender's clock fell
back against this box's, as that of a machine that was suspended may. In the second case none of
them would ever be taken again. A probe tells the two apart: its reply is no older than the probe,
which corrects what is known of the sender's clock (:mod:`foldloom.peers.lives`).
"""

from __future__ import annotations

import asyncio
from typing import NamedTuple, Protocol

from foldloom.exceptions import PeerUnreachableError
from foldloom.logs import PEER_LOG
from foldloom.metrics import Metrics
from foldloom.peers.messages import Frame, register
from foldloom.tasks import TaskSet

# Milliseconds for which a probe waits for its reply, and until the next one of the same peer.
_PROBE_INTERVAL_MS = 1_000


class ClockProbe(NamedTuple):
    """Asks a peer for a reply, and is that reply."""


register(3, ClockProbe)


class Requester(Protocol):
    """What sends a probe."""

    async def request(self, box: str, message: object, timeout_ms: float) -> object:
        """Return the reply of *box*.

        Raises:
            PeerUnreachableError: No reply within *timeout_ms*.
        """


class ClockProbes:
    """Drop expired messages, and probe who sent them.

    Args:
        network: Sends the probes.
        metrics: Counters.
        tasks: Keeps the probes under way.
    """

    def __init__(self, network: Requester, metrics: Metrics, tasks: TaskSet) -> None:
        self._network = network
        self._metrics = metrics
        self._tasks = tasks
        self._probed_boxes: set[str] = set()

    def drop_expired(self, sender: str, frame: Frame, age_ms: float) -> None:
        """Note that a message of *sender* was dropped at this age."""
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
            # Its next message that is too old has it probed again.
            return
        finally:
            self._probed_boxes.discard(box)
