# SPDX-License-Identifier: MIT
"""Recovery of a restarted claim replica: it copies the claims before it votes again.

The claims come from the other replicas of the box list; the controllers record each box's
incarnations.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from foldloom.clock import monotonic_ms
from foldloom.controllers.client import ControllerClient
from foldloom.controllers.commands import IncarnationCommand
from foldloom.controllers.config import BoxList
from foldloom.exceptions import PeerUnreachableError
from foldloom.logs import CLAIM_LOG
from foldloom.peers.wire import PeerNetwork
from foldloom.static_peers.claims.messages import CopyReply, CopyRequest
from foldloom.static_peers.claims.replicas import ReplicaSets
from foldloom.static_peers.claims.table import ClaimTable

# Timeout of the request for one chunk of a copy, in milliseconds.
_COPY_TIMEOUT_MS = 2_000
# Seconds between attempts to copy or to record the incarnation.
_PAUSE_S = 0.2
# Timeout to record an incarnation with the controllers, in milliseconds.
_RECORD_TIMEOUT_MS = 2_000


class Recovery:
    """Decides for which submissions this box may vote.

    It may vote for a submission in any of these cases: its incarnation is recorded with the
    controllers and the claims of the submission's other replicas are copied; the controllers report
    this as its first incarnation; or the retention time has passed since it started. Only the last
    two apply if it is the only replica. Until the retention time has passed, an unrecorded
    incarnation must not vote, because the next one would be taken for the first.

    Args:
        box: This box.
        network: Messages to the peers.
        client: Client of the controllers, which record the incarnations of each box.
        table: The table that receives copied claims.
        box_list: Returns the box list in effect.
        retention_ms: Retention of claims.
    """

    def __init__(
        self,
        box: str,
        network: PeerNetwork,
        client: ControllerClient,
        table: ClaimTable,
        box_list: Callable[[], BoxList],
        retention_ms: int,
    ) -> None:
        self._box = box
        self._network = network
        self._client = client
        self._table = table
        self._box_list = box_list
        self._retention_ms = retention_ms
        self._started_ms = monotonic_ms()
        self._copied_from: set[str] = set()
        self._is_recorded = False
        self._has_copied_all = False
        self._is_history_complete = False
        self._is_whole = False

    @property
    def is_whole(self) -> bool:
        """Whether this box may vote for every submission that has another replica."""
        return self._is_whole

    def may_vote(self, replicas: ReplicaSets) -> bool:
        """Return whether this box may vote for a submission with these *replicas*."""
        if any(set(boxes) == {self._box} for boxes in replicas.sets):
            # No other box holds a copy of such claims.
            return self._is_history_complete
        if self._is_whole:
            return True
        if not self._is_recorded:
            return False
        others = set(replicas.boxes) - {self._box}
        return others <= self._copied_from

    async def run(self) -> None:
        """Run until no claim of an earlier incarnation can be missing."""
        waiting = {
            asyncio.create_task(self._record_incarnation()),
            asyncio.create_task(self._copy_all()),
            asyncio.create_task(self._wait_retention()),
        }
        try:
            while not self._is_history_complete:
                done, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
                _log_failures(done)
                self._update_completeness()
        finally:
            for task in waiting:
                task.cancel()

    def _update_completeness(self) -> None:
        """Recompute whether this box may vote for all replicated submissions."""
        has_copies = self._is_recorded and self._has_copied_all
        if self._is_whole or not (has_copies or self._is_history_complete):
            return
        self._is_whole = True
        CLAIM_LOG.info("Claim recovery complete: this box votes on all claims.")

    async def _record_incarnation(self) -> None:
        """Return once the controllers have recorded this incarnation."""
        command = IncarnationCommand(self._box, self._network.incarnation)
        while True:
            result = await self._client.propose(command, _RECORD_TIMEOUT_MS)
            if result.is_ok():
                break
            await asyncio.sleep(_PAUSE_S)
        self._is_recorded = True
        if result.ok.number:
            CLAIM_LOG.info(
                "Previous incarnation was {}: copying claims before voting.", result.ok.number
            )
            return
        CLAIM_LOG.info("First incarnation of this box: no earlier claims to copy.")
        self._is_history_complete = True

    async def _copy_all(self) -> None:
        """Return once the claims of every other box of the list are copied."""
        while True:
            boxes = self._box_list()
            others = {*boxes["current"], *(boxes["next"] or {})} - {self._box}
            missing = others - self._copied_from
            if others and not missing:
                self._has_copied_all = True
                return
            await asyncio.gather(*(self._copy(box) for box in sorted(missing)))
            await asyncio.sleep(_PAUSE_S)

    async def _wait_retention(self) -> None:
        """Return once all claims of earlier incarnations have expired."""
        left_ms = self._started_ms + self._retention_ms - monotonic_ms()
        await asyncio.sleep(max(0.0, left_ms / 1_000))
        self._is_history_complete = True

    async def _copy(self, box: str) -> None:
        """Copy the claims of *box*; valid only if a single incarnation serves the whole copy."""
        position = 0
        copied_incarnation = 0
        copied = 0
        while True:
            try:
                reply: CopyReply = await self._network.request(
                    box, CopyRequest(position), _COPY_TIMEOUT_MS
                )
            except PeerUnreachableError:
                # Retried by the caller after a pause.
                return
            server_incarnation = self._network.known_incarnation(box)
            if not reply.is_whole_memory or (
                copied_incarnation and server_incarnation != copied_incarnation
            ):
                return
            copied_incarnation = server_incarnation
            now_ms = int(monotonic_ms())
            for claim in reply.claims:
                self._table.merge(claim, now_ms)
            copied += len(reply.claims)
            position = reply.next_position
            if position == 0:
                break
        CLAIM_LOG.info("Copied {} claims from {}.", copied, box)
        self._copied_from.add(box)


def _log_failures(ended: set[asyncio.Task[None]]) -> None:
    """Log failed recovery steps; voting then resumes after the retention time."""
    for task in ended:
        error = task.exception()
        if error is not None:
            CLAIM_LOG.error("Claim recovery failed: {!r}.", error)
