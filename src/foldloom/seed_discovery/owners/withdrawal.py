# SPDX-License-Identifier: MIT
"""Decides whether any run of a cancelled job may have started. Owns nothing.

A job may have run unless every owner that was sent one of its runs has confirmed that it started
none. Missing information leads to "may have run", never to a false "did not run".
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum
from typing import NamedTuple

from foldloom.logs import PLACE_LOG
from foldloom.seed_discovery.fleet.messages import OwnerRecord
from foldloom.seed_discovery.owners.batches import Batch


class CancelAnswer(Enum):
    """An owner's answer on whether runs of a job were started; the values appear in logs."""

    STARTED = "started"
    NOT_STARTED = "not started"
    NONE_YET = "nothing yet"
    NONE_ANY_MORE = "nothing any more"
    """Its grant has expired, it was replaced, or its record of starts may have expired."""


class Withdrawal(NamedTuple):
    """A cancelled job's runs in one zone.

    Args:
        job_id: The job.
        owner: The zone's current owner.
        grant: The number of the owner's grant.
        reply_valid_until_ms: Expiry of the owner's statement on starts; own monotonic clock.
        open_runs: Number of runs without an end.
        has_started: Whether a run has started, or may have been started in an earlier term.
        needs_cancel: Whether the owner was sent a run that has no end yet.
        delivery: The highest withdrawn delivery number.
    """

    job_id: str
    owner: OwnerRecord
    grant: int
    reply_valid_until_ms: float
    open_runs: int
    has_started: bool
    needs_cancel: bool
    delivery: int


def withdraw(batches: list[Batch], owner: OwnerRecord, grant: int) -> Withdrawal:
    """Withdraw a job's *batches*; return their state.

    Only the current term can still answer. An open run that was sent in an earlier term may have
    been started there.

    Args:
        batches: All batches of one job in one zone, at least one.
        owner: The zone's current owner.
        grant: The number of the owner's grant.
    """
    orders = [order for batch in batches for order in batch.orders]
    tokens = frozenset[int]().union(*(batch.tokens for batch in batches))
    has_started = any(batch.has_started for batch in batches)
    for batch in batches:
        batch.clear()
    return Withdrawal(
        job_id=batches[0].job.job_id,
        owner=owner,
        grant=grant,
        reply_valid_until_ms=min(batch.reply_valid_until_ms for batch in batches),
        open_runs=len(orders),
        has_started=has_started or bool(tokens - {owner.token}),
        needs_cancel=owner.token in tokens,
        delivery=max((order.delivery for order in orders), default=0),
    )


def may_have_started(
    withdrawals: Iterable[Withdrawal], answers: Mapping[str, CancelAnswer]
) -> bool:
    """Return whether any run of a job may have been started in any zone.

    Args:
        withdrawals: The job's withdrawals, one for each zone that has runs of it.
        answers: The answers to its cancels, by zone.
    """
    any_started = any(withdrawal.has_started for withdrawal in withdrawals)
    return any_started or any(answer is not CancelAnswer.NOT_STARTED for answer in answers.values())


def log_cancel_outcome(
    withdrawals: Iterable[Withdrawal], answers: Mapping[str, CancelAnswer]
) -> None:
    """Log the owners' answers to a job's cancels, one line per zone."""
    for withdrawal in withdrawals:
        answer = answers.get(withdrawal.owner.zone)
        PLACE_LOG.event(
            "job.cancelled",
            job=withdrawal.job_id,
            zone=withdrawal.owner.zone,
            owner=withdrawal.owner.box,
            token=withdrawal.owner.token,
            open_runs=withdrawal.open_runs,
            knew_of_start=withdrawal.has_started,
            owner_says="not asked" if answer is None else answer.value,
        )
