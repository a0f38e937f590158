# SPDX-License-Identifier: MIT
"""In-memory table of the claims held by one incarnation of a box, and its votes.

The representation is compact: one tuple per claim, with names and incarnations shared between
claims. Claims are kept in order of insertion, which is the order of expiry except for copies.
"""

from __future__ import annotations

import sys
from typing import NamedTuple

from foldloom.static_peers.claims.messages import Claim, CopiedClaim, Vote


class _Held(NamedTuple):
    """Compact form of a claim."""

    digest: bytes
    coordinator: str
    incarnation: int
    attempt: int
    expires_ms: int


class VoteDecision(NamedTuple):
    """A vote and the conflicting claims."""

    vote: Vote
    conflicting_claims: list[Claim]


class ClaimTable:
    """Claims by submission.

    Args:
        retention_ms: Retention of a claim.
        claims_max: Capacity; further claims are refused, and none is evicted before it expires.
    """

    def __init__(self, retention_ms: int, claims_max: int) -> None:
        self._retention_ms = retention_ms
        self._claims_max = claims_max
        self._held: dict[str, _Held] = {}
        self._conflicting: dict[str, list[_Held]] = {}
        self._withdrawn: dict[tuple[str, str, int], tuple[int, int]] = {}
        self._incarnations: dict[int, int] = {}

    def __len__(self) -> int:
        """Return the number of submissions with a claim."""
        return len(self._held)

    def claims_of(self, submission: str) -> list[Claim]:
        """Return all claims of *submission*."""
        held = self._held.get(submission)
        if held is None:
            return []
        return [_claim(held), *map(_claim, self._conflicting.get(submission, ()))]

    def decide_vote(self, submission: str, claim: Claim, now_ms: int) -> VoteDecision:
        """Vote on *claim*, and store it if granted.

        With conflicting copies no claim is granted until the coordinators of all but one have
        withdrawn.
        """
        withdrawn, _ = self._withdrawn.get(_withdrawal_key(submission, claim), (-1, 0))
        if claim.attempt <= withdrawn:
            return VoteDecision(Vote.WITHDRAWN, [])
        others = [held for held in self.claims_of(submission) if not _is_same(held, claim)]
        superseded = [held for held in others if _is_older_attempt(held, claim)]
        if superseded:
            # A newer attempt implies withdrawal of the older one.
            for held in superseded:
                self.release(submission, held, now_ms)
            others = [held for held in others if held not in superseded]
        if others:
            return VoteDecision(Vote.HELD, others)
        if submission in self._held:
            return VoteDecision(Vote.GRANTED, [])
        if len(self._held) >= self._claims_max:
            return VoteDecision(Vote.FULL, [])
        self._held[submission] = self._pack(claim, now_ms + self._retention_ms)
        return VoteDecision(Vote.GRANTED, [])

    def release(self, submission: str, claim: Claim, now_ms: int) -> None:
        """Remove *claim* after its coordinator withdrew it, and keep a tombstone."""
        key = _withdrawal_key(submission, claim)
        newest_withdrawn, _ = self._withdrawn.get(key, (-1, 0))
        attempt = max(newest_withdrawn, claim.attempt)
        self._withdrawn.pop(key, None)
        self._withdrawn[key] = (attempt, now_ms + self._retention_ms)
        kept = [
            held
            for held in self._all(submission)
            if not (
                held.coordinator == claim.coordinator
                and held.incarnation == claim.incarnation
                and held.attempt <= attempt
            )
        ]
        self._put(submission, kept)

    def merge(self, copied: CopiedClaim, now_ms: int) -> None:
        """Add a copied claim; conflicting copies are kept side by side."""
        withdrawn, _ = self._withdrawn.get(
            _withdrawal_key(copied.submission, copied.claim), (-1, 0)
        )
        if copied.claim.attempt <= withdrawn:
            return
        present = self._all(copied.submission)
        if any(_is_same(_claim(held), copied.claim) for held in present):
            return
        fresh = self._pack(copied.claim, now_ms + copied.keep_ms)
        self._put(copied.submission, [*present, fresh])

    def export(self, submission: str, now_ms: int) -> list[CopiedClaim]:
        """Return the claims of *submission* with their remaining retention."""
        return [
            CopiedClaim(submission, _claim(held), max(0, held.expires_ms - now_ms))
            for held in self._all(submission)
        ]

    def submissions(self) -> list[str]:
        """Return all submissions with a claim."""
        return list(self._held)

    def expire(self, now_ms: int) -> int:
        """Drop expired claims and tombstones; return the number of submissions dropped."""
        dropped = 0
        while self._held:
            submission = next(iter(self._held))
            if self._held[submission].expires_ms > now_ms:
                break
            # A copied claim may expire later than the first claim of its submission.
            kept = [held for held in self._all(submission) if held.expires_ms > now_ms]
            self._put(submission, [])
            self._put(submission, kept)
            dropped += not kept
        while self._withdrawn:
            key = next(iter(self._withdrawn))
            if self._withdrawn[key][1] > now_ms:
                break
            del self._withdrawn[key]
        return dropped

    def _all(self, submission: str) -> list[_Held]:
        held = self._held.get(submission)
        if held is None:
            return []
        return [held, *self._conflicting.get(submission, ())]

    def _put(self, submission: str, kept: list[_Held]) -> None:
        self._conflicting.pop(submission, None)
        if not kept:
            self._held.pop(submission, None)
            return
        self._held[submission] = kept[0]
        if kept[1:]:
            self._conflicting[submission] = kept[1:]

    def _pack(self, claim: Claim, expires_ms: int) -> _Held:
        incarnation = self._incarnations.setdefault(claim.incarnation, claim.incarnation)
        return _Held(
            bytes.fromhex(claim.digest),
            sys.intern(claim.coordinator),
            incarnation,
            claim.attempt,
            expires_ms,
        )


def _claim(held: _Held) -> Claim:
    return Claim(held.digest.hex(), held.coordinator, held.incarnation, held.attempt)


def _is_same(claim: Claim, other: Claim) -> bool:
    return claim == other


def _is_older_attempt(held: Claim, claim: Claim) -> bool:
    return (
        held.coordinator == claim.coordinator
        and held.incarnation == claim.incarnation
        and held.attempt < claim.attempt
    )


def _withdrawal_key(submission: str, claim: Claim) -> tuple[str, str, int]:
    return submission, claim.coordinator, claim.incarnation
