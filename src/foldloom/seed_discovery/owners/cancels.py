# SPDX-License-Identifier: MIT
"""Cancels of an entry box, retransmitted until answered, even after the job's result is decided.

Owns the cancels in flight and the ids that may still run in another zone. The connections to the
owners supply the current owners and their grants.
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
        self._remote_cancels: dict[str, asyncio.Task[None]] = {}
        self._tasks = TaskSet()

    def begin(self, withdrawals: list[Withdrawal]) -> dict[str, asyncio.Task[CancelAnswer]]:
        """Start cancelling one job's withdrawn runs; return the pending answers by zone."""
        cancels = {
            withdrawal.owner.zone: self._tasks.spawn(self._cancel(withdrawal))
            for withdrawal in withdrawals
            if withdrawal.needs_cancel
        }
        remote = [cancel for zone, cancel in cancels.items() if zone != self._home_zone]
        if remote:
            job_id = withdrawals[0].job_id
            self._remote_cancels[job_id] = self._tasks.spawn(
                self._await_remote_cancels(job_id, remote)
            )
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

    async def wait_until_gone(self, job_id: str) -> None:
        """Wait until no cancelled run of this id can still run in another zone.

        A resubmission of the id starts in the own zone, whose owner tracks runs that are stopping
        there, but not those of other zones.
        """
        remote_cancels = self._remote_cancels.get(job_id)
        if remote_cancels is not None:
            await asyncio.shield(remote_cancels)

    async def _await_remote_cancels(
        self, job_id: str, cancels: list[asyncio.Task[CancelAnswer]]
    ) -> None:
        answers = await asyncio.gather(*cancels)
        if any(answer is not CancelAnswer.NOT_STARTED for answer in answers):
            await asyncio.sleep(self._gone_after_s)
        if self._remote_cancels.get(job_id) is asyncio.current_task():
            del self._remote_cancels[job_id]

    async def _cancel(self, withdrawal: Withdrawal) -> CancelAnswer:
        """Cancel the withdrawn runs at their owner; return its answer.

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
            connection.note_cancel_answered(withdrawal.job_id)
            if reply.has_started:
                return CancelAnswer.STARTED
            if monotonic_ms() >= withdrawal.reply_valid_until_ms:
                return CancelAnswer.NONE_ANY_MORE
            if connection.is_granted(owner, withdrawal.grant):
                return CancelAnswer.NOT_STARTED
        return CancelAnswer.NONE_ANY_MORE
