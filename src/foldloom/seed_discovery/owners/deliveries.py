# SPDX-License-Identifier: MIT
"""Runs as entry boxes deliver them to an owner, and take them back.

Owns the cancels that were received lately. Relies on the lifecycle of runs, the reservations of
work stealing and the endpoints' orphaned runs, which it is given. Messages may come late, twice
and in another order: a delivery is counted by its box, and a copy of one that is over is ignored.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from foldloom.seed_discovery.jobs.spec import TaskId
from foldloom.seed_discovery.owners.lifecycle import RunLifecycle
from foldloom.seed_discovery.owners.messages import EndCause, RunOrder, SubmitRuns
from foldloom.seed_discovery.owners.recovery import recovery_bound
from foldloom.seed_discovery.owners.reports import adopt_orphan
from foldloom.seed_discovery.owners.stealing import WorkStealing
from foldloom.seed_discovery.scheduling.endpoints import ZoneEndpoint
from foldloom.seed_discovery.scheduling.runs import HolderId, RecoveryBound, Run, RunSpec, RunState
from foldloom.seed_discovery.scheduling.sharing import group_of

# Milliseconds for which a cancel keeps out deliveries that it has overtaken: a delivery expires on
# its way after 151 ms, by clocks that are compared to within as much; then the owner may stand
# still before it handles it, for less than the right that it needs (400 ms).
CANCEL_TTL_MS = 1_000.0


class _Cancel(NamedTuple):
    """A cancel: when it was received, and up to which of its box's deliveries it reaches."""

    received_ms: float
    delivery: int

    def covers(self, delivery: int) -> bool:
        """Return whether a *delivery* was sent before the cancel; 0 stands for any."""
        return not self.delivery or delivery <= self.delivery

    def joined(self, other: _Cancel) -> _Cancel:
        """Return a cancel of all that either of two reaches."""
        covers_all = not self.delivery or not other.delivery
        delivery = 0 if covers_all else max(self.delivery, other.delivery)
        return _Cancel(max(self.received_ms, other.received_ms), delivery)


class Deliveries:
    """Deliveries of one owner's term.

    Args:
        lifecycle: The runs.
        stealing: Knows the room that is kept for runs from other zones.
        candidates: The endpoints by id.
        gone_after_ms: How long after an owner lost the right to a run it may still be there.
    """

    def __init__(
        self,
        lifecycle: RunLifecycle,
        stealing: WorkStealing,
        candidates: Mapping[str, ZoneEndpoint],
        gone_after_ms: float,
    ) -> None:
        self._lifecycle = lifecycle
        self._stealing = stealing
        self._candidates = candidates
        self._gone_after_ms = gone_after_ms
        self._cancels: dict[tuple[HolderId, str], _Cancel] = {}

    def deliver(self, holder: HolderId, message: SubmitRuns, now_ms: float) -> None:
        """Accept the runs of *message* for *holder*."""
        spec = _run_spec(message, now_ms)
        bound = recovery_bound(now_ms, message.old_right_ms, self._gone_after_ms)
        for order in message.orders:
            task = TaskId(message.job_id, message.repeat, order.step, order.position)
            self._stealing.note_arrived(group_of(task))
            self._accept_run(holder, task, order, spec, bound, now_ms)

    def cancel(self, holder: HolderId, job_id: str, delivery: int, now_ms: float) -> bool:
        """Drop what *holder* wants of a job; return whether any run of it may have started.

        Deliveries above *delivery* stay: the same id was handed in again meanwhile.
        """
        cancel = _Cancel(now_ms, delivery)
        known = self._cancels.get((holder, job_id), cancel)
        # One of an earlier submission may come later, since each is sent until it is answered.
        self._cancels[holder, job_id] = cancel.joined(known)
        runs = self._lifecycle.runs_of_job(job_id)
        may_be_running = any(run.state is not RunState.QUEUED for run in runs)
        for run in runs:
            if cancel.covers(run.holders.get(holder, 0)):
                self._lifecycle.release_holder(holder, run, now_ms)
        return may_be_running or job_id in self._lifecycle.started

    def was_cancelled(self, holder: HolderId, message: SubmitRuns, now_ms: float) -> bool:
        """Return whether the box has cancelled this job since it sent *message*."""
        cancel = self._cancels.get((holder, message.job_id))
        if cancel is None or now_ms - cancel.received_ms >= CANCEL_TTL_MS:
            return False
        return cancel.covers(newest_delivery(message))

    def expire_cancels(self, now_ms: float) -> None:
        """Forget cancels that no late message can contradict any more."""
        for key, cancel in list(self._cancels.items()):
            if now_ms - cancel.received_ms >= CANCEL_TTL_MS:
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
        """Accept a run of *task* for *holder*, or attach it to the run that is known already."""
        self._lifecycle.started.note_delivered(task.job_id, spec.deadline_ms)
        if order.is_resumed:
            # An earlier owner may have started it.
            self._lifecycle.started.note(task.job_id, spec.deadline_ms)
        known = self._lifecycle.get(task)
        if known is not None:
            known.holders[holder] = max(order.delivery, known.holders.get(holder, 0))
            return
        tombstone = self._lifecycle.tombstones.get(task)
        if tombstone is not None and tombstone.covers(holder, order.delivery):
            # A late copy of a message whose runs are over here, and may be elsewhere by now.
            return
        end = None if tombstone is None else tombstone.end
        # An earlier run's end says nothing of a later one, unless the task is done.
        if end is not None and order.is_resumed and end.cause is EndCause.DONE:
            self._lifecycle.notify(holder, end._replace(delivery=order.delivery))
            return
        attempt = order.attempt
        if tombstone is not None:
            attempt = max(attempt, tombstone.attempt + 1)
        state = RunState.RECOVERING if order.is_resumed else RunState.QUEUED
        run = Run(task, attempt, spec, state, now_ms)
        run.holders[holder] = order.delivery
        run.recovery_bound = bound
        self._lifecycle.add(run)
        # Also a run that no earlier owner is said to know may be there: its box has died.
        is_adopted = adopt_orphan(self._lifecycle, self._candidates, run, now_ms)
        if not is_adopted and state is RunState.QUEUED:
            self._lifecycle.queue(run, now_ms)


def newest_delivery(message: SubmitRuns) -> int:
    """Return the number of the newest delivery in *message*, 0 if none is counted."""
    return max((order.delivery for order in message.orders), default=0)


def _run_spec(message: SubmitRuns, now_ms: float) -> RunSpec:
    objective = message.objective
    return RunSpec(
        job_id=message.job_id,
        queue=message.queue,
        service=message.service,
        text=message.spec,
        demand=message.demand,
        placement=message.placement,
        priority=message.priority,
        estimate_ms=message.estimate_ms,
        began_ms=now_ms - objective.elapsed_ms,
        stretch=objective.stretch,
        slack_ms=objective.slack_ms,
        other_ms=objective.other_ms,
        tasks=message.tasks,
        deadline_ms=now_ms + message.deadline_ms,
    )
