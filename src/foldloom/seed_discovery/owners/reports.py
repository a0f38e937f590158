# SPDX-License-Identifier: MIT
"""An endpoint's report held against what its owner expects there.

Owns nothing: the decisions are plain functions, and :func:`reconcile` carries them out on the
lifecycle of runs. A report lists the runs that are present and the ends that the owner has not
acknowledged. A run that is listed and that no box has delivered is an orphaned run: its box died,
or has not reached this owner yet. An endpoint with orphaned runs gets no work, and they are stopped
after ``ORPHAN_GRACE_MS``.
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

# Milliseconds: entry boxes deliver what they have open to a new owner within one heartbeat
# of it (100 ms), or three where heartbeats are lost.
ORPHAN_GRACE_MS = 300.0


class ListedEnd(Enum):
    """What the end of a run of a known task means."""

    OUTDATED = "outdated"
    """It is of an earlier attempt, or of one that is elsewhere."""
    ADVANCES = "advances"
    """It shows only which attempt of a recovering run is the newest."""
    FINISHES = "finishes"
    """The run is over."""


def classify_end(run: Run, end: EndedRun, endpoint: str) -> ListedEnd:
    """Return what *end*, listed by *endpoint*, means for the present run of its task."""
    if run.attempt > end.run_id.attempt:
        return ListedEnd.OUTDATED
    if run.state is RunState.RECOVERING and end.how is not EndKind.DONE:
        # Its box may not know of a later run that an earlier owner started elsewhere.
        return ListedEnd.ADVANCES
    if run.state is RunState.RECOVERING or run.endpoint == endpoint:
        return ListedEnd.FINISHES
    return ListedEnd.OUTDATED


def classify_absence(run: Run, asked_ms: float) -> EndCause | None:
    """Return how a run has ended of which a report lists neither the run nor an end, if it has.

    Args:
        run: The run, which is thought to be on the endpoint.
        asked_ms: When the owner asked for the report. One that was asked for before the newest
            order took effect says nothing of it.
    """
    if max(run.since_ms, run.stop_known_ms) >= asked_ms:
        return None
    if run.state is RunState.RUNNING:
        return EndCause.LOST
    if run.state is RunState.STOPPING and run.stop_known_ms:
        return EndCause.STOPPED
    return None


def is_orphan(run: Run | None, attempt: int, endpoint: str) -> bool:
    """Return whether an *attempt* that is present on *endpoint* is not the *run* expected there."""
    return run is None or run.endpoint != endpoint or run.attempt != attempt


def reconcile(
    lifecycle: RunLifecycle, candidate: ZoneEndpoint, report: EndpointReport, now_ms: float
) -> None:
    """Bring what is known into line with a *report* of *candidate*."""
    for end in report.ended:
        _reconcile_end(lifecycle, candidate, end, now_ms)
    # In the report's order, in which runs are adopted; a set has none.
    present = {one.run_id: None for one in report.active}
    _reconcile_present(lifecycle, candidate, present, now_ms)
    _reconcile_absent(lifecycle, candidate, present, report.asked_ms, now_ms)


def orphans_to_stop(
    candidates: Mapping[str, ZoneEndpoint], now_ms: float
) -> list[tuple[str, RunId]]:
    """Return the orphaned runs, by endpoint, that no entry box has delivered for too long.

    Each is named again after the same time, until it is gone.
    """
    due = []
    for endpoint, candidate in candidates.items():
        for task, known in candidate.orphans.items():
            if now_ms - known.noted_ms > ORPHAN_GRACE_MS:
                candidate.orphans[task] = known._replace(noted_ms=now_ms)
                due.append((endpoint, RunId(task, known.attempt)))
    return due


def adopt_orphan(
    lifecycle: RunLifecycle, candidates: Mapping[str, ZoneEndpoint], run: Run, now_ms: float
) -> bool:
    """Adopt a run of the task that an endpoint lists already; return whether one does."""
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
        lifecycle.finish(run, CAUSE_OF_KIND[end.how], end.checkpoint, now_ms)


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
    asked_ms: float,
    now_ms: float,
) -> None:
    endpoint = candidate.record.endpoint
    listed: set[TaskId] = {run_id.task for run_id in present}
    for task in list(candidate.orphans):
        if task not in listed:
            del candidate.orphans[task]
    for task in candidate.room.tasks:
        run = lifecycle.get(task)
        if run is None or run.endpoint != endpoint:
            candidate.room.release(task)
            continue
        cause = None if run.run_id in present else classify_absence(run, asked_ms)
        if cause is not None:
            lifecycle.finish(run, cause, "", now_ms)
