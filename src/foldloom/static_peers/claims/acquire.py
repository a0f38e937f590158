# SPDX-License-Identifier: MIT
"""Acquisition of a submission's claim by a majority of its claim replicas, nearest first."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import NamedTuple

import xxhash

from foldloom.exceptions import PeerUnreachableError
from foldloom.peers.wire import PeerNetwork
from foldloom.settings import Settings
from foldloom.static_peers.claims.messages import (
    Claim,
    ClaimReply,
    ClaimRequest,
    ReleaseHeld,
    Vote,
    Withdraw,
)
from foldloom.static_peers.claims.replicas import ReplicaSets
from foldloom.static_peers.claims.service import ClaimService
from foldloom.static_peers.claims.votes import can_still_win, is_won


class Acquisition(Enum):
    """Outcome of an attempt to acquire a claim."""

    WON = "won"
    HELD = "held"
    NO_QUORUM = "no-quorum"


class AcquireResult(NamedTuple):
    """Result of an attempt to acquire a claim.

    Args:
        outcome: Whether the claim was won, is held by others, or lacked a quorum.
        conflicting_claims: Conflicting claims, the one that should win first.
        detail: Each replica's vote, as text.
        has_precedence: Whether the requested claim should win over all conflicting ones.
    """

    outcome: Acquisition
    conflicting_claims: list[Claim]
    detail: str
    has_precedence: bool = False


class ClaimAcquirer:
    """Requests claims from the claim replicas on behalf of this box's jobs.

    Args:
        settings: This box's settings.
        network: Messages to the peers.
        service: This box's claim replica, called without a message.
    """

    def __init__(self, settings: Settings, network: PeerNetwork, service: ClaimService) -> None:
        self._settings = settings
        self._network = network
        self._service = service

    def is_own(self, claim: Claim) -> bool:
        """Return whether the present incarnation of this box holds *claim*."""
        is_own_box = claim.coordinator == self._settings.box
        return is_own_box and claim.incarnation == self._network.incarnation

    async def acquire(self, submission: str, digest: str, attempt: int) -> AcquireResult:
        """Try once to acquire the claim of *submission*.

        The claim is acquired by a majority of valid votes. A vote is invalid if another voter or
        this box knows a newer incarnation of its voter, which has lost the earlier claims.
        """
        replicas = self._service.replicas_of(submission)
        request = ClaimRequest(
            submission, digest, self._network.incarnation, attempt, replicas.epoch
        )
        replies: dict[str, ClaimReply] = {}
        waiting = self._by_proximity(replicas)
        first_count = self._first_count(replicas)
        pending = {self._request(box, request) for box in waiting[:first_count]}
        waiting = waiting[first_count:]
        timeouts = self._settings.timings
        while pending:
            hedge_ms = timeouts.claim_hedge_ms if waiting else timeouts.claim_timeout_ms
            done, pending = await asyncio.wait(
                pending, timeout=hedge_ms / 1_000, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                box, reply = task.result()
                if reply is not None:
                    replies[box] = reply
            if is_won(replicas, replies, self._network.known_incarnation):
                _cancel_all(pending)
                return AcquireResult(Acquisition.WON, [], "")
            has_unanswered = any(task.result()[1] is None for task in done)
            has_refusal = any(reply.vote is not Vote.GRANTED for reply in replies.values())
            if waiting and (not done or has_unanswered or has_refusal):
                pending |= {self._request(box, request) for box in waiting}
                waiting = []
            if self._is_lost(replicas, replies, len(pending)):
                break
        _cancel_all(pending)
        return self._failure_result(submission, replicas, replies)

    def withdraw(self, submission: str, attempt: int) -> None:
        """Withdraw the claim at every replica; only for a job that started no task."""
        message = Withdraw(submission, self._network.incarnation, attempt)
        for box in self._service.replicas_of(submission).boxes:
            if box == self._settings.box:
                self._service.withdraw(box, message)
            else:
                self._network.send(box, message)

    def notify_withdrawn(self, submission: str, claim: Claim) -> None:
        """Notify the replicas that the coordinator of *claim* has withdrawn it."""
        message = ReleaseHeld(submission, claim.coordinator, claim.incarnation, claim.attempt)
        for box in self._service.replicas_of(submission).boxes:
            self._network.send(box, message)

    def _request(
        self, box: str, request: ClaimRequest
    ) -> asyncio.Task[tuple[str, ClaimReply | None]]:
        return asyncio.ensure_future(self._request_vote(box, request))

    async def _request_vote(self, box: str, request: ClaimRequest) -> tuple[str, ClaimReply | None]:
        if box == self._settings.box:
            return box, self._service.vote(box, request)
        try:
            timeout_ms = self._settings.timings.claim_timeout_ms
            return box, await self._network.request(box, request, timeout_ms)
        except PeerUnreachableError:
            # No vote: the caller requests the remaining replicas or reports a missing quorum.
            return box, None

    def _by_proximity(self, replicas: ReplicaSets) -> list[str]:
        """Return the replicas: this box, then boxes of its zone, then the others."""
        zone = self._settings.zone
        own = self._settings.box
        return sorted(
            replicas.boxes,
            key=lambda box: (box != own, self._network.zone_of(box) != zone),
        )

    def _first_count(self, replicas: ReplicaSets) -> int:
        """Return the number of replicas requested first: a majority, or all of them while joint."""
        if len(replicas.sets) > 1:
            return len(replicas.boxes)
        return len(replicas.boxes) // 2 + 1

    def _is_lost(
        self, replicas: ReplicaSets, replies: dict[str, ClaimReply], pending_count: int
    ) -> bool:
        """Return whether the outstanding replies can no longer win the claim."""
        if not pending_count:
            return True
        is_held = any(reply.vote is Vote.HELD for reply in replies.values())
        return is_held and not can_still_win(replicas, replies)

    def _failure_result(
        self, submission: str, replicas: ReplicaSets, replies: dict[str, ClaimReply]
    ) -> AcquireResult:
        voters: dict[Claim, set[str]] = {}
        for box, reply in replies.items():
            for claim in reply.holders:
                voters.setdefault(claim, set()).add(box)

        def precedence(claim: Claim) -> tuple[bool, int, str]:
            has_majority = replicas.is_majority(voters[claim])
            return not has_majority, *_rank(submission, claim.coordinator)

        holders = sorted(voters, key=precedence)
        own_precedence = (True, *_rank(submission, self._settings.box))
        has_precedence = bool(holders) and all(
            self.is_own(claim) or own_precedence < precedence(claim) for claim in holders
        )
        vote_texts = [
            f"{box} {replies[box].vote.name.lower() if box in replies else 'silent'}"
            for box in replicas.boxes
        ]
        outcome = Acquisition.HELD if holders else Acquisition.NO_QUORUM
        return AcquireResult(outcome, holders, ", ".join(vote_texts), has_precedence)


def _rank(submission: str, coordinator: str) -> tuple[int, str]:
    """Return the rank of *coordinator* among those that claim *submission*; the lowest wins.

    All boxes agree on it, and it differs between submissions.
    """
    return xxhash.xxh3_64_intdigest(f"{submission}/{coordinator}".encode()), coordinator


def _cancel_all(pending: set[asyncio.Task[tuple[str, ClaimReply | None]]]) -> None:
    """Cancel the tasks in *pending*."""
    for task in pending:
        task.cancel()
