# SPDX-License-Identifier: MIT
"""Reconciles endpoint reports with the owner's runs. Owns nothing.

A report lists the active runs and the ends that the owner has not acknowledged. An active run that
does not match the owner's current run of its task is orphaned, for example because its box has
died or has not delivered it to this owner yet. An endpoint with orphaned runs is not eligible for
placement, and the runs are stopped after ``ORPHAN_GRACE_MS``.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from enum import Enum

from foldloom.seed_discovery.endpoints.calls import EndedRun, EndKind, EndpointReport
from foldloom.seed_discovery.jobs.spec import RunId, TaskId
from foldloom.seed_discovery.owners.lifecycle import RunLifecycle
from foldloom.seed_discovery.owners.messages import EndCause
from foldloom.seed_discovery.owners.tombstones import CAUSE_OF_KIND
from foldloom.seed_discovery.scheduling.endpoints import OrphanedRun, ZoneEndpoint
from foldloom.seed_discovery.scheduling.runs import Run, RunState

# Gives entry boxes time to deliver their open runs to a new owner, even if heartbeats are lost.
ORPHAN_GRACE_MS = 300.0
# The same where the lease beside an orphaned run can't be renewed for long: one lost heartbeat.
_ORPHAN_GRACE_MIN_MS = 150.0
# Before such a lease expires, a stop order can be sent, retransmitted and confirmed by a report, so
# that the lease is renewed again in time for the other runs on the endpoint.
_STOP_BEFORE_EXPIRY_MS = 200.0
# Retransmission timeout of the stop order of an orphaned run.
_ORPHAN_STOP_RETRANSMISSION_MS = 100.0


class ListedEnd(Enum):
    """Effect of a listed end on the current run of its task."""

    OUTDATED = "outdated"
    """Ignored: an earlier attempt, or a run on another endpoint."""
    ADVANCES = "advances"
    """Only raises the attempt of a recovering run."""
    FINISHES = "finishes"
    """Finishes the run."""


def classify_end(run: Run, end: EndedRun, endpoint: str) -> ListedEnd:
    """Return the effect of *end*, listed by *endpoint*, on its task's current run."""
    if run.attempt > end.run_id.attempt:
        return ListedEnd.OUTDATED
    if run.state is RunState.RECOVERING and end.kind is not EndKind.DONE:
        # An earlier owner may have started a later attempt on another endpoint.
        return ListedEnd.ADVANCES
    if run.state is RunState.RECOVERING or run.endpoint == endpoint:
        return ListedEnd.FINISHES
    return ListedEnd.OUTDATED


def classify_absence(run: Run, polled_ms: float) -> EndCause | None:
    """Return the end cause of a run that is missing from a report.

    Return ``None`` if the run may still be on the endpoint.

    Args:
        run: A run that is expected on the endpoint.
        polled_ms: When the owner sent the poll. If that was not after the latest order took effect,
            the report proves nothing about the run.
    """
    if max(run.since_ms, run.stop_confirmed_ms) >= polled_ms:
        return None
    if run.state is RunState.RUNNING:
        return EndCause.LOST
    if run.state is RunState.STOPPING and run.stop_confirmed_ms:
        return EndCause.STOPPED
    return None


def is_orphan(run: Run | None, attempt: int, endpoint: str) -> bool:
    """Return whether an *attempt* listed by *endpoint* does not match the task's current *run*."""
    return run is None or run.endpoint != endpoint or run.attempt != attempt


def reconcile(
    lifecycle: RunLifecycle, candidate: ZoneEndpoint, report: EndpointReport, now_ms: float
) -> None:
    """Apply a *report* of *candidate* to the runs."""
    for end in report.ended:
        _reconcile_end(lifecycle, candidate, end, now_ms)
    # A dict keeps the report's order, in which runs are adopted.
    present = {active.run_id: None for active in report.active}
    _reconcile_present(lifecycle, candidate, present, now_ms)
    _reconcile_absent(lifecycle, candidate, present, report.polled_ms, now_ms)


def orphan_stop_due_ms(orphan: OrphanedRun, expire_ms: float) -> float:
    """Return when the next stop order of *orphan* is due.

    Args:
        orphan: The orphaned run.
        expire_ms: By when the leases beside orphaned runs expire.
    """
    if orphan.stop_sent_ms:
        return orphan.stop_sent_ms + _ORPHAN_STOP_RETRANSMISSION_MS
    earliest_ms = orphan.noted_ms + _ORPHAN_GRACE_MIN_MS
    latest_ms = orphan.noted_ms + ORPHAN_GRACE_MS
    return min(latest_ms, max(earliest_ms, expire_ms - _STOP_BEFORE_EXPIRY_MS))


def orphans_to_stop(
    candidates: Mapping[str, ZoneEndpoint], expire_ms: float, now_ms: float
) -> list[tuple[str, RunId]]:
    """Return the endpoint and id of each orphaned run whose stop order is due.

    A run that stays orphaned is returned again for each retransmission.
    """
    due = []
    for endpoint, candidate in candidates.items():
        for task, known in candidate.orphans.items():
            if now_ms > orphan_stop_due_ms(known, expire_ms):
                candidate.orphans[task] = known._replace(stop_sent_ms=now_ms)
                due.append((endpoint, RunId(task, known.attempt)))
    return due


def adopt_orphan(
    lifecycle: RunLifecycle, candidates: Mapping[str, ZoneEndpoint], run: Run, now_ms: float
) -> bool:
    """Adopt an orphaned run of *run*'s task; return whether there is one."""
    for endpoint, candidate in candidates.items():
        orphan = candidate.orphans.pop(run.task, None)
        if orphan is not None:
            lifecycle.adopt(run, orphan.attempt, endpoint, now_ms)
            return True
    return False


def _reconcile_end(
    lifecycle: RunLifecycle, candidate: ZoneEndpoint, end: EndedRun, now_ms: float
) -> None:
    endpoint = candidate.record.endpoint
    task, attempt = end.run_id
    run = lifecycle.get(task)
    candidate.orphans.pop(task, None)
    lifecycle.started.note_listed(task.job_id, now_ms)
    if run is None:
        lifecycle.tombstones.add_orphaned(end, endpoint, now_ms)
        return
    listed_end = classify_end(run, end, endpoint)
    if listed_end is ListedEnd.OUTDATED:
        return
    run.attempt = attempt
    if listed_end is ListedEnd.FINISHES:
        run.endpoint = endpoint
        lifecycle.finish(run, CAUSE_OF_KIND[end.kind], end.checkpoint, now_ms)


def _reconcile_present(
    lifecycle: RunLifecycle, candidate: ZoneEndpoint, present: Collection[RunId], now_ms: float
) -> None:
    endpoint = candidate.record.endpoint
    for task, attempt in present:
        run = lifecycle.get(task)
        if run is not None and run.state in (RunState.RECOVERING, RunState.QUEUED):
            lifecycle.adopt(run, attempt, endpoint, now_ms)
        elif is_orphan(run, attempt, endpoint):
            lifecycle.started.note_listed(task.job_id, now_ms)
            candidate.orphans.setdefault(task, OrphanedRun(attempt, now_ms))


def _reconcile_absent(
    lifecycle: RunLifecycle,
    candidate: ZoneEndpoint,
    present: Collection[RunId],
    polled_ms: float,
    now_ms: float,
) -> None:
    endpoint = candidate.record.endpoint
    listed: set[TaskId] = {run_id.task for run_id in present}
    for task in list(candidate.orphans):
        if task not in listed:
            del candidate.orphans[task]
    for task in candidate.resources.tasks:
        run = lifecycle.get(task)
        if run is None or run.endpoint != endpoint:
            candidate.resources.release(task)
            continue
        cause = None if run.run_id in present else classify_absence(run, polled_ms)
        if cause is not None:
            lifecycle.finish(run, cause, "", now_ms)
