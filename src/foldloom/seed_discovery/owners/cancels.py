# SPDX-License-Identifier: MIT
"""An entry box's cancels: sent until they are answered, also after the verdict on the job.

Owns the cancels under way, and which ids may still run in another zone. Relies on the connections
to the owners for who they are and until when they may go on.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping

from foldloom.clock import monotonic_ms
from foldloom.exceptions import PeerUnreachableError
from foldloom.peers.wire import PeerNetwork
from foldloom.seed_discovery.owners.connection import REPLY_TIMEOUT_MS, OwnerConnection
from foldloom.seed_discovery.owners.messages import CancelJob, Cancelled
from foldloom.seed_discovery.owners.withdrawal import Answer, Withdrawal
from foldloom.tasks import TaskSet

# Milliseconds for which a job that is given up waits for its owners' word; without it the job
# counts as one that may have run: two tries of a cancel (150 ms each), because the caller waits for
# the answer meanwhile.
CANCEL_REPLY_WAIT_MS = 300


class Cancels:
    """The cancels of one entry box.

    Args:
        connections: The connections to the owners, by zone; it may grow.
        home_zone: The own zone.
        network: The peers.
        gone_after_ms: How long after a run was ordered to stop it may still be on its endpoint.
    """

    def __init__(
        self,
        connections: Mapping[str, OwnerConnection],
        home_zone: str,
        network: PeerNetwork,
        gone_after_ms: float,
    ) -> None:
        self._connections = connections
        self._home_zone = home_zone
        self._network = network
        self._gone_after_s = gone_after_ms / 1_000
        self._remote_cancels: dict[str, asyncio.Task[None]] = {}
        self._tasks = TaskSet()

    def begin(self, withdrawals: list[Withdrawal]) -> dict[str, asyncio.Task[Answer]]:
        """Begin to cancel one job's withdrawn runs; return what each zone's owner will say."""
        cancels = {
            one.owner.zone: self._tasks.spawn(self._cancel(one))
            for one in withdrawals
            if one.needs_cancel
        }
        remote = [cancel for zone, cancel in cancels.items() if zone != self._home_zone]
        if remote:
            job_id = withdrawals[0].job_id
            self._remote_cancels[job_id] = self._tasks.spawn(
                self._await_remote_cancels(job_id, remote)
            )
        return cancels

    async def ask(self, withdrawals: list[Withdrawal]) -> dict[str, Answer]:
        """Cancel one job's withdrawn runs; return what the owners say in time, by zone."""
        cancels = self.begin(withdrawals)
        if cancels:
            await asyncio.wait(cancels.values(), timeout=CANCEL_REPLY_WAIT_MS / 1_000)
        return {
            zone: cancel.result() if cancel.done() else Answer.NONE_YET
            for zone, cancel in cancels.items()
        }

    async def wait_ended(self, job_id: str) -> None:
        """Wait until nothing that was cancelled under this id can run in another zone any more.

        The same id may be handed in again at once and starts in the own zone, whose owner knows
        what is still being stopped there. Of other zones nobody does.
        """
        remote_cancels = self._remote_cancels.get(job_id)
        if remote_cancels is not None:
            await asyncio.shield(remote_cancels)

    async def _await_remote_cancels(self, job_id: str, cancels: list[asyncio.Task[Answer]]) -> None:
        answers = await asyncio.gather(*cancels)
        if any(answer is not Answer.NOT_STARTED for answer in answers):
            await asyncio.sleep(self._gone_after_s)
        if self._remote_cancels.get(job_id) is asyncio.current_task():
            del self._remote_cancels[job_id]

    async def _cancel(self, withdrawal: Withdrawal) -> Answer:
        """Have the owner stop what was withdrawn; return what it says of starts.

        It is sent until the owner answers, or has no right to the runs any more: one that did not
        hear of it would go on with them for as long as this box acknowledges its heartbeats. A
        "not started" counts only while the owner remembers every start of the job, by this box's
        clock: a box that stood still, once or several times, may hear it much later.
        """
        owner = withdrawal.owner
        connection = self._connections[owner.zone]
        message = CancelJob(withdrawal.job_id, owner.token, withdrawal.delivery)
        while connection.is_granted(owner, withdrawal.grant):
            try:
                reply: Cancelled = await self._network.request(owner.box, message, REPLY_TIMEOUT_MS)
            except PeerUnreachableError:
                # Sent again; the caller, who may not wait for that, is told that it may have run.
                continue
            if reply.has_started:
                return Answer.STARTED
            if monotonic_ms() >= withdrawal.believed_until_ms:
                return Answer.NONE_ANY_MORE
            if connection.is_granted(owner, withdrawal.grant):
                return Answer.NOT_STARTED
        return Answer.NONE_ANY_MORE
