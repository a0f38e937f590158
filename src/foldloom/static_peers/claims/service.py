# SPDX-License-Identifier: MIT
"""Claim replica of one box: handlers for claims, withdrawals, look-ups and copies."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from foldloom.clock import monotonic_ms
from foldloom.controllers.config import BoxList
from foldloom.logs import CLAIM_LOG
from foldloom.metrics import Metrics
from foldloom.peers.wire import PeerNetwork
from foldloom.static_peers.claims.messages import (
    Claim,
    ClaimReply,
    ClaimRequest,
    CopiedClaim,
    CopyReply,
    CopyRequest,
    Lookup,
    LookupReply,
    ReleaseHeld,
    Vote,
    Withdraw,
)
from foldloom.static_peers.claims.recovery import Recovery
from foldloom.static_peers.claims.replicas import ReplicaSets, replica_sets
from foldloom.static_peers.claims.table import ClaimTable

# Submissions per chunk of a copy: some 50 kilobytes.
_COPY_CHUNK = 500
# Seconds between scans for expired claims.
_EXPIRE_INTERVAL_S = 1.0


class ClaimService:
    """Votes on claims and serves copies.

    Args:
        box: This box.
        network: Messages to the peers.
        table: The claims held by this box.
        recovery: Determines whether this box may vote.
        box_list: Returns the box list in effect.
        metrics: Counters.
    """

    def __init__(
        self,
        box: str,
        network: PeerNetwork,
        table: ClaimTable,
        recovery: Recovery,
        box_list: Callable[[], BoxList],
        metrics: Metrics,
    ) -> None:
        self._box = box
        self._network = network
        self._table = table
        self._recovery = recovery
        self._box_list = box_list
        self._metrics = metrics
        self._copy_snapshots: dict[str, tuple[int, list[str]]] = {}
        network.on(ClaimRequest, self._on_claim)
        network.on(Withdraw, self._on_withdraw)
        network.on(ReleaseHeld, self._on_release_held)
        network.on(Lookup, self._on_lookup)
        network.on(CopyRequest, self._on_copy)

    @property
    def can_vote(self) -> bool:
        """Whether this box may vote for every submission that has another replica."""
        return self._recovery.is_whole

    def replicas_of(self, submission: str) -> ReplicaSets:
        """Return the claim replicas of *submission* under the box list in effect."""
        return replica_sets(submission, self._box_list())

    def vote(self, sender: str, request: ClaimRequest) -> ClaimReply:
        """Vote on a claim of *sender*."""
        replicas = self.replicas_of(request.submission)
        if request.epoch != replicas.epoch or self._box not in replicas.boxes:
            return self._reply(Vote.OTHER_LIST, replicas, [])
        if request.incarnation < self._network.known_incarnation(sender):
            return self._reply(Vote.WITHDRAWN, replicas, [])
        if not self._recovery.may_vote(replicas):
            holders = self._table.claims_of(request.submission)
            return self._reply(Vote.NOT_VOTING, replicas, holders)
        claim = Claim(request.digest, sender, request.incarnation, request.attempt)
        decision = self._table.decide_vote(request.submission, claim, int(monotonic_ms()))
        self._metrics.count(f"claims.{decision.vote.name.lower()}")
        return self._reply(decision.vote, replicas, decision.conflicting_claims)

    def withdraw(self, coordinator: str, message: Withdraw) -> None:
        """Withdraw the claim of *coordinator*."""
        claim = Claim("", coordinator, message.incarnation, message.attempt)
        self._table.release(message.submission, claim, int(monotonic_ms()))

    def claims_of(self, submission: str) -> list[Claim]:
        """Return the claims of *submission* held by this box."""
        return self._table.claims_of(submission)

    async def run(self) -> None:
        """Drop expired claims until cancelled."""
        while True:
            await asyncio.sleep(_EXPIRE_INTERVAL_S)
            self._table.expire(int(monotonic_ms()))
            self._metrics.gauge("claims.held", len(self._table))

    def _reply(self, vote: Vote, replicas: ReplicaSets, holders: list[Claim]) -> ClaimReply:
        known = {
            box: self._network.known_incarnation(box) for box in replicas.boxes if box != self._box
        }
        return ClaimReply(vote, self._network.incarnation, known, holders)

    def _on_claim(self, sender: str, request: ClaimRequest) -> ClaimReply:
        reply = self.vote(sender, request)
        if reply.vote is not Vote.GRANTED:
            CLAIM_LOG.info(
                "Claim of {} by {} not granted: {}.", request.submission, sender, reply.vote.name
            )
        return reply

    def _on_withdraw(self, sender: str, message: Withdraw) -> None:
        self.withdraw(sender, message)

    def _on_release_held(self, _sender: str, message: ReleaseHeld) -> None:
        claim = Claim("", message.coordinator, message.incarnation, message.attempt)
        self._table.release(message.submission, claim, int(monotonic_ms()))

    def _on_lookup(self, _sender: str, message: Lookup) -> LookupReply:
        can_vote = self._recovery.may_vote(self.replicas_of(message.submission))
        return LookupReply(can_vote, self._table.claims_of(message.submission))

    def _on_copy(self, sender: str, request: CopyRequest) -> CopyReply:
        if not self._recovery.is_whole:
            return CopyReply(False, [], 0)
        incarnation = self._network.known_incarnation(sender)
        copy_incarnation, submissions = self._copy_snapshots.get(sender, (0, []))
        if request.position == 0 or copy_incarnation != incarnation:
            submissions = self._table.submissions()
            self._copy_snapshots[sender] = (incarnation, submissions)
        end = request.position + _COPY_CHUNK
        chunk = submissions[request.position : end]
        now_ms = int(monotonic_ms())
        claims: list[CopiedClaim] = []
        for submission in chunk:
            if sender in self.replicas_of(submission).boxes:
                claims.extend(self._table.export(submission, now_ms))
        if end < len(submissions):
            return CopyReply(True, claims, end)
        del self._copy_snapshots[sender]
        return CopyReply(True, claims, 0)
