# SPDX-License-Identifier: MIT
"""Log events of an owner's decisions on runs.

Owns nothing. The log limits the rate of events.
"""

from __future__ import annotations

from foldloom.logs import PLACE_LOG
from foldloom.seed_discovery.fleet.messages import OwnerRecord, ZoneLoad
from foldloom.seed_discovery.owners.actions import NotifyAction
from foldloom.seed_discovery.owners.messages import (
    CancelJob,
    SubmitReply,
    SubmitRuns,
    SubmitStatus,
)


def log_delivery(
    owner: OwnerRecord, sender: str, message: SubmitRuns, reply: SubmitReply, load: ZoneLoad
) -> None:
    """Log a delivery of runs by *sender* and the owner's reply."""
    PLACE_LOG.event(
        "runs.queued" if reply.status is SubmitStatus.TAKEN else "runs.refused",
        job=message.job_id,
        zone=owner.zone,
        token=owner.token,
        sender=sender,
        runs=len(message.orders),
        is_resumed=any(order.is_resumed for order in message.orders),
        is_moved=any(order.is_moved for order in message.orders),
        elapsed_ms=message.objective.elapsed_ms,
        deadline_in_ms=message.deadline_ms,
        free_milli=load.free_milli,
        queued_milli=load.queued_milli,
        reason=reply.reason,
        retry_after_ms=reply.retry_after_ms,
    )


def log_cancel(owner: OwnerRecord, sender: str, message: CancelJob, has_started: bool) -> None:
    """Log a cancel by *sender* and the answer to it."""
    PLACE_LOG.event(
        "job.cancel_received",
        job=message.job_id,
        sender=sender,
        token=owner.token,
        asked_token=message.token,
        has_started=has_started,
    )


def log_end(owner: OwnerRecord, action: NotifyAction) -> None:
    """Log a run's end that a box is notified of."""
    end = action.end
    PLACE_LOG.event(
        "run.ended",
        job=end.run_id.task.job_id,
        run=end.run_id.text,
        endpoint=end.endpoint,
        cause=end.cause.label,
        ran_ms=end.ran_ms,
        moved_to=end.moved_to,
        has_started=end.has_started,
        delivery=end.delivery,
        token=owner.token,
        holder=action.holder.box,
    )
