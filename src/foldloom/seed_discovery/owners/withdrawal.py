# SPDX-License-Identifier: MIT
"""Whether anything of a job that is given up may have been started: decisions only.

Owns nothing. A job may have run unless every term of every owner that was sent a run of it has said
that it started none. What was forgotten on the way costs the caller a "may have run", never a false
"nothing ran".
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum
from typing import NamedTuple

from foldloom.logs import PLACE_LOG
from foldloom.seed_discovery.fleet.messages import OwnerRecord
from foldloom.seed_discovery.owners.batches import Batch


class Answer(Enum):
    """What an owner said of the starts of a job; the values stand in logs."""

    STARTED = "started"
    NOT_STARTED = "not started"
    NONE_YET = "nothing yet"
    NONE_ANY_MORE = "nothing any more"
    """Its right has lapsed, another owner has followed it, or it may have forgotten a start."""


class Withdrawal(NamedTuple):
    """What an entry box knows of a given-up job's starts in one zone, and whom it must ask.

    Args:
        job_id: The job.
        owner: The owner that its runs were delivered to.
        grant: The number of the grant under which they were.
        believed_until_ms: Until when the owner's word on starts counts; own clock.
        open_runs: How many of them had no end yet.
        has_started: Whether a start is known already, or a term that is over may have made one.
        must_ask: Whether the owner was sent a run whose end is still to come.
        delivery: The newest delivery that is withdrawn.
    """

    job_id: str
    owner: OwnerRecord
    grant: int
    believed_until_ms: float
    open_runs: int
    has_started: bool
    needs_cancel: bool
    delivery: int


def withdraw(batches: list[Batch], owner: OwnerRecord, grant: int) -> Withdrawal:
    """Want nothing of a job's *batches* any more; return what is known of them.

    Of the terms that were sent a run, the present one can be asked, and those before it can't:
    their word counts if it came with the run's end.

    Args:
        batches: All batches of one job in one zone, at least one.
        owner: The zone's present owner.
        grant: The number of the grant that it has.
    """
    orders = [order for batch in batches for order in batch.orders]
    terms = frozenset[int]().union(*(batch.terms for batch in batches))
    has_started = any(batch.has_started for batch in batches)
    for batch in batches:
        batch.clear()
    return Withdrawal(
        job_id=batches[0].job.job_id,
        owner=owner,
        grant=grant,
        believed_until_ms=min(batch.believed_until_ms for batch in batches),
        open_runs=len(orders),
        has_started=has_started or bool(terms - {owner.token}),
        needs_cancel=owner.token in terms,
        delivery=max((order.delivery for order in orders), default=0),
    )


def may_have_started(withdrawals: Iterable[Withdrawal], answers: Mapping[str, Answer]) -> bool:
    """Return whether anything of a job may have been started in any zone.

    Args:
        withdrawals: What is known of it, for each zone that has runs of it.
        answers: What the owners said that had to be asked, by zone.
    """
    any_started = any(withdrawal.has_started for withdrawal in withdrawals)
    return any_started or any(answer is not Answer.NOT_STARTED for answer in answers.values())


def log_verdict(withdrawals: Iterable[Withdrawal], answers: Mapping[str, Answer]) -> None:
    """Log what the verdict goes by, a line a zone."""
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
