# SPDX-License-Identifier: MIT
"""Deliveries of runs from entry boxes to an owner, and their cancels.

Owns the recently received cancels. Uses the run lifecycle, the reservations of work stealing and
the endpoints' orphaned runs. Messages may be delayed, duplicated and reordered: each delivery is
numbered by its box, and a copy whose runs are already over is ignored. A job may be submitted at
several boxes: a run that was moved to another zone is not started here for another delivery.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from foldloom.seed_discovery.jobs.spec import RunId, TaskId
from foldloom.seed_discovery.owners.lifecycle import RunLifecycle
from foldloom.seed_discovery.owners.messages import EndCause, RunEnd, RunOrder, SubmitRuns
from foldloom.seed_discovery.owners.recovery import recovery_bound
from foldloom.seed_discovery.owners.reports import adopt_orphan
from foldloom.seed_discovery.owners.stealing import WorkStealing
from foldloom.seed_discovery.scheduling.endpoints import ZoneEndpoint
from foldloom.seed_discovery.scheduling.remote_groups import group_of
from foldloom.seed_discovery.scheduling.runs import HolderId, RecoveryBound, Run, RunSpec, RunState

# How long a cancel rejects deliveries that it overtook. Exceeds a delivery's time-to-live plus the
# clock skew plus the longest pause of an owner whose session is still valid.
CANCEL_TTL_MS = 1_000.0


class _Cancel(NamedTuple):
    """A received cancel.

    Args:
        received_ms: Own monotonic clock.
        delivery: Highest delivery number that it covers; 0 for all.
    """

    received_ms: float
    delivery: int

    def covers(self, delivery: int) -> bool:
        """Return whether *delivery* is cancelled."""
        return not self.delivery or delivery <= self.delivery

    def joined(self, other: _Cancel) -> _Cancel:
        """Return the union of the two cancels."""
        covers_all = not self.delivery or not other.delivery
        delivery = 0 if covers_all else max(self.delivery, other.delivery)
        return _Cancel(max(self.received_ms, other.received_ms), delivery)


class Deliveries:
    """Deliveries received in one term of an owner.

    Args:
        lifecycle: The runs.
        stealing: The reservations for runs of other zones.
        candidates: The zone's endpoints by id.
        run_expiry_ms: Longest time that a run can outlast its owner's session.
    """

    def __init__(
        self,
        lifecycle: RunLifecycle,
        stealing: WorkStealing,
        candidates: Mapping[str, ZoneEndpoint],
        run_expiry_ms: float,
    ) -> None:
        self._lifecycle = lifecycle
        self._stealing = stealing
        self._candidates = candidates
        self._gone_after_ms = run_expiry_ms
        self._cancels: dict[tuple[HolderId, str], _Cancel] = {}

    def deliver(
        self,
        holder: HolderId,
        message: SubmitRuns,
        now_ms: float,
        earlier_endpoints: frozenset[str] | None,
    ) -> None:
        """Accept the runs of *message* for *holder*.

        Earlier owners may have started them on *earlier_endpoints*; ``None`` if not known.
        """
        spec = _run_spec(message, now_ms)
        bound = recovery_bound(now_ms, message.old_right_ms, self._gone_after_ms, earlier_endpoints)
        self._lifecycle.started.note_delivered(message.job_id, spec.deadline_ms)
        for order in message.orders:
            task = TaskId(message.job_id, message.repeat, order.step, order.position)
            self._stealing.release_reservation(group_of(task))
            if not self._forward_moved(holder, task, order, message.is_renewed):
                self._accept_run(holder, task, order, spec, bound, now_ms)

    def note_rejected(self, holder: HolderId, message: SubmitRuns, now_ms: float) -> None:
        """Record that the runs of *message* were not accepted, so that later copies are not."""
        self.cancel(holder, message.job_id, newest_delivery(message), now_ms)

    def cancel(self, holder: HolderId, job_id: str, delivery: int, now_ms: float) -> bool:
        """Release *holder*'s runs of a job; return whether any run of the job may have started.

        Runs with a higher delivery number stay: they belong to a later submission of the same id.
        """
        cancel = _Cancel(now_ms, delivery)
        # Removed first, so that insertion order is the order of expiry.
        known = self._cancels.pop((holder, job_id), cancel)
        # Cancels are retransmitted until answered, so one of an earlier submission may arrive last.
        self._cancels[holder, job_id] = cancel.joined(known)
        runs = self._lifecycle.runs_of_job(job_id)
        may_be_running = any(run.state is not RunState.QUEUED for run in runs)
        for run in runs:
            if cancel.covers(run.holders.get(holder, 0)):
                self._lifecycle.release_holder(holder, run, now_ms)
        return may_be_running or job_id in self._lifecycle.started

    def was_cancelled(self, holder: HolderId, message: SubmitRuns, now_ms: float) -> bool:
        """Return whether a cancel overtook *message*."""
        cancel = self._cancels.get((holder, message.job_id))
        if cancel is None or now_ms - cancel.received_ms >= CANCEL_TTL_MS:
            return False
        return cancel.covers(newest_delivery(message))

    def expire_cancels(self, now_ms: float) -> None:
        """Drop cancels older than their time-to-live."""
        while self._cancels:
            key, cancel = next(iter(self._cancels.items()))
            if now_ms - cancel.received_ms < CANCEL_TTL_MS:
                return
            del self._cancels[key]

    def _accept_run(
        self,
        holder: HolderId,
        task: TaskId,
        order: RunOrder,
        spec: RunSpec,
        bound: RecoveryBound,
        now_ms: float,
    ) -> None:
        """Accept a run of *task* for *holder*, or add *holder* to the task's current run."""
        if order.is_resumed:
            # An earlier owner may have started the run.
            self._lifecycle.started.note(task.job_id, spec.deadline_ms)
        known = self._lifecycle.get(task)
        if known is not None:
            known.holders[holder] = max(order.delivery, known.holders.get(holder, 0))
            if order.is_resumed:
                known.recovery_bound = known.recovery_bound.joined(bound)
            return
        tombstone = self._lifecycle.tombstones.get(task)
        if tombstone is not None and tombstone.is_duplicate(holder, order.delivery):
            # Late copy of a delivery whose runs are over here; they may run in another zone now.
            return
        end = None if tombstone is None else tombstone.end
        # Only a successful end is final: a later attempt may exist after any other end.
        if end is not None and order.is_resumed and end.cause is EndCause.DONE:
            self._lifecycle.notify(holder, end._replace(delivery=order.delivery))
            return
        state = RunState.RECOVERING if order.is_resumed else RunState.QUEUED
        run = Run(task, self._next_attempt(task, order), spec, state, now_ms)
        run.holders[holder] = order.delivery
        run.recovery_bound = bound
        self._lifecycle.add(run)
        # Tried for new deliveries too: a box that has died may have delivered the same task.
        is_adopted = adopt_orphan(self._lifecycle, self._candidates, run, now_ms)
        if not is_adopted and state is RunState.QUEUED:
            self._lifecycle.queue(run, now_ms)

    def _forward_moved(
        self, holder: HolderId, task: TaskId, order: RunOrder, is_renewed: bool
    ) -> bool:
        """Have *holder* deliver a run to the zone that it was moved to; return whether it does.

        The run may be on an endpoint there. It is accepted here if another zone has moved it back,
        or if its task may only run on an endpoint of this zone.
        """
        zone = self._lifecycle.started.zone_of_moved(task)
        if not zone or order.is_resumed or self._lifecycle.get(task) is not None:
            return False
        tombstone = self._lifecycle.tombstones.get(task)
        if tombstone is not None and tombstone.is_duplicate(holder, order.delivery):
            return False
        if order.is_moved and not is_renewed:
            self._lifecycle.started.note_returned(task)
            return False
        if task in self._lifecycle.unanswered_starts.bound_endpoints:
            return False
        run_id = RunId(task, order.attempt)
        end = RunEnd(run_id, EndCause.MOVED, moved_to=zone, delivery=order.delivery)
        self._lifecycle.notify(holder, end)
        self._lifecycle.tombstones.note_delivery(task, holder, order.delivery)
        return True

    def _next_attempt(self, task: TaskId, order: RunOrder) -> int:
        """Return the attempt of a run delivered by *order*: above those known to this owner."""
        attempt = order.attempt
        tombstone = self._lifecycle.tombstones.get(task)
        if tombstone is not None:
            attempt = max(attempt, tombstone.attempt + 1)
        if order.is_resumed:
            return attempt
        return max(attempt, self._lifecycle.unanswered_starts.next_attempt(task))


def newest_delivery(message: SubmitRuns) -> int:
    """Return the highest delivery number in *message*, 0 if it has none."""
    return max((order.delivery for order in message.orders), default=0)


def _run_spec(message: SubmitRuns, now_ms: float) -> RunSpec:
    objective = message.objective
    return RunSpec(
        job_id=message.job_id,
        queue=message.queue,
        service=message.service,
        task_input=message.spec,
        demand=message.demand,
        placement=message.placement,
        priority=message.priority,
        estimate_ms=message.estimate_ms,
        arrived_ms=now_ms - objective.elapsed_ms,
        stretch=objective.stretch,
        slack_ms=objective.slack_ms,
        other_steps_ms=objective.other_steps_ms,
        tasks=message.tasks,
        deadline_ms=now_ms + message.deadline_ms,
    )
