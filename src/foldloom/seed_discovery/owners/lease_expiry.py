# SPDX-License-Identifier: MIT
"""Expiry of an endpoint's leases, and overdue stops that prevent renewal. Owns nothing."""

from __future__ import annotations

from foldloom.seed_discovery.owners.crashed_endpoints import may_have_crashed
from foldloom.seed_discovery.owners.lifecycle import RunLifecycle
from foldloom.seed_discovery.owners.messages import EndCause
from foldloom.seed_discovery.scheduling.endpoints import ZoneEndpoint
from foldloom.seed_discovery.scheduling.runs import RunState


def finish_expired(lifecycle: RunLifecycle, candidate: ZoneEndpoint, now_ms: float) -> None:
    """Finish the runs on *candidate*: every lease there has certainly expired."""
    endpoint = candidate.record.endpoint
    candidate.has_current_report = False
    candidate.has_reported = True
    candidate.orphans.clear()
    for task in candidate.resources.tasks:
        run = lifecycle.get(task)
        if run is None or run.endpoint != endpoint:
            candidate.resources.release(task)
            continue
        if not candidate.has_crashed and may_have_crashed(run, endpoint):
            candidate.lapsed_tasks.append(task)
        if run.state is RunState.STARTING:
            lifecycle.unanswered_starts.add(run.run_id, endpoint, now_ms)
        lifecycle.finish(run, EndCause.LAPSED, "", now_ms)


def has_overdue_stop(lifecycle: RunLifecycle, candidate: ZoneEndpoint, before_ms: float) -> bool:
    """Return whether a run there has been stopping since before *before_ms*."""
    runs = (lifecycle.get(task) for task in candidate.resources.tasks)
    return any(
        run is not None and run.state is RunState.STOPPING and run.since_ms < before_ms
        for run in runs
    )
