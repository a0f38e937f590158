# SPDX-License-Identifier: MIT
"""Cancels of an entry box, retransmitted until answered, even after the job's result is decided.

Owns the cancels in flight and the zones in which runs of cancelled ids may remain. The connections
to the owners supply the current owners and their grants.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

from foldloom.clock import monotonic_ms
from foldloom.exceptions import PeerUnreachableError
from foldloom.peers.wire import PeerNetwork
from foldloom.seed_discovery.owners.connection import REPLY_TIMEOUT_MS, OwnerConnection
from foldloom.seed_discovery.owners.messages import CancelJob, Cancelled
from foldloom.seed_discovery.owners.withdrawal import CancelAnswer, Withdrawal
from foldloom.tasks import TaskSet

# Covers two transmissions of a cancel. A job whose owners have not answered by then is reported as
# one that may have run.
CANCEL_REPLY_WAIT_MS = 300


class Cancels:
    """The cancels of one entry box.

    Args:
        connections: The connections to the owners, by zone; more may be added later.
        home_zone: The own zone.
        network: The peers.
        run_expiry_ms: Longest time that a run can stay on its endpoint after it is cancelled.
    """

    def __init__(
        self,
        connections: Mapping[str, OwnerConnection],
        home_zone: str,
        network: PeerNetwork,
        run_expiry_ms: float,
    ) -> None:
        self._connections = connections
        self._home_zone = home_zone
        self._network = network
        self._gone_after_s = run_expiry_ms / 1_000
        # Per id, one zone for each cancel whose runs may remain.
        self._zones_by_job: dict[str, list[str]] = {}
        self._tasks = TaskSet()

    def begin(self, withdrawals: list[Withdrawal]) -> dict[str, asyncio.Task[CancelAnswer]]:
        """Start cancelling one job's withdrawn runs; return the pending answers by zone."""
        cancels = {}
        for withdrawal in withdrawals:
            if not withdrawal.needs_cancel:
                continue
            job_id, zone = withdrawal.job_id, withdrawal.owner.zone
            cancels[zone] = self._tasks.spawn(self._cancel(withdrawal, monotonic_ms()))
            self._zones_by_job.setdefault(job_id, []).append(zone)
            self._tasks.spawn(self._record_until_gone(job_id, zone, cancels[zone]))
        return cancels

    async def cancel_and_wait(self, withdrawals: list[Withdrawal]) -> dict[str, CancelAnswer]:
        """Cancel one job's withdrawn runs; return the answers by zone.

        An owner that does not answer within ``CANCEL_REPLY_WAIT_MS`` counts as ``NONE_YET``.
        """
        cancels = self.begin(withdrawals)
        if cancels:
            await asyncio.wait(cancels.values(), timeout=CANCEL_REPLY_WAIT_MS / 1_000)
        return {
            zone: cancel.result() if cancel.done() else CancelAnswer.NONE_YET
            for zone, cancel in cancels.items()
        }

    def may_deliver(self, job_id: str, zone: str) -> bool:
        """Return whether a job with this id may be delivered to *zone*.

        It may not while cancelled runs of the id may remain on endpoints. Those in the own zone do
        not prevent a delivery there, since its owner tracks the runs that are stopping.
        """
        zones = self._zones_by_job.get(job_id, ())
        return all(remaining == zone == self._home_zone for remaining in zones)

    async def _record_until_gone(
        self, job_id: str, zone: str, cancel: asyncio.Task[CancelAnswer]
    ) -> None:
        """Drop the record of *cancel* once its runs have certainly ended."""
        if await cancel is not CancelAnswer.NOT_STARTED:
            await asyncio.sleep(self._gone_after_s)
        zones = self._zones_by_job[job_id]
        zones.remove(zone)
        if not zones:
            del self._zones_by_job[job_id]

    async def _cancel(self, withdrawal: Withdrawal, withdrawn_ms: float) -> CancelAnswer:
        """Cancel the runs withdrawn at *withdrawn_ms* at their owner; return its answer.

        Retransmits until the owner answers or its grant ends; otherwise the owner would continue
        the runs for as long as this box acknowledges its heartbeats. "Not started" is accepted
        only while the owner's record of starts is certainly complete: a paused box may process
        the reply much later.
        """
        owner = withdrawal.owner
        connection = self._connections[owner.zone]
        message = CancelJob(withdrawal.job_id, owner.token, withdrawal.delivery)
        while connection.is_granted(owner, withdrawal.grant):
            try:
                reply: Cancelled = await self._network.request(owner.box, message, REPLY_TIMEOUT_MS)
            except PeerUnreachableError:
                # Retransmitted; a caller that stops waiting is told that the job may have run.
                continue
            connection.note_cancel_answered(withdrawal.job_id, withdrawn_ms)
            if reply.has_started:
                return CancelAnswer.STARTED
            if monotonic_ms() >= withdrawal.reply_valid_until_ms:
                return CancelAnswer.NONE_ANY_MORE
            if connection.is_granted(owner, withdrawal.grant):
                return CancelAnswer.NOT_STARTED
        return CancelAnswer.NONE_ANY_MORE
