# SPDX-License-Identifier: MIT
"""Handling of endpoint crashes for the tasks that ran there.

A crash counts once it is confirmed, even if the endpoint's leases expired before. An endpoint has
not crashed if the same incarnation answers again.
"""

from __future__ import annotations

from collections.abc import Iterable

from foldloom.logs import ENDPOINT_LOG
from foldloom.seed_discovery.jobs.spec import TaskId
from foldloom.seed_discovery.owners.lifecycle import RunLifecycle
from foldloom.seed_discovery.owners.messages import EndCause, SubmitRuns
from foldloom.seed_discovery.scheduling.crashes import CrashCount, exceeds_crash_limit
from foldloom.seed_discovery.scheduling.endpoints import ZoneEndpoint
from foldloom.seed_discovery.scheduling.runs import Run, RunState


def may_have_crashed(run: Run, endpoint: str) -> bool:
    """Return whether *run* may have been on *endpoint* when it crashed: running or being stopped.

    A starting run is excluded, because its start order most likely never reached the endpoint.
    """
    return run.endpoint == endpoint and run.state in (RunState.RUNNING, RunState.STOPPING)


def note_crash(lifecycle: RunLifecycle, candidate: ZoneEndpoint, now_ms: float) -> None:
    """Count a crash of *candidate* for its tasks and end the runs that reach their crash limit.

    No effect if the crash is counted already or the endpoint was draining. The other runs end when
    their leases expire.
    """
    if candidate.has_crashed or not candidate.is_ready:
        return
    candidate.has_crashed = True
    endpoint = candidate.record.endpoint
    allocated_runs = [lifecycle.get(task) for task in candidate.resources.tasks]
    runs = [run for run in allocated_runs if run is not None and may_have_crashed(run, endpoint)]
    tasks = [run.task for run in runs] + candidate.lapsed_tasks
    candidate.lapsed_tasks = []
    lifecycle.crashes.note_crash(tasks, bool(candidate.orphans), now_ms)
    for task in tasks:
        lifecycle.report_crashes(task)
    _log_crash(endpoint, [(task, lifecycle.crashes.count_of(task)) for task in tasks])
    for run in runs:
        if exceeds_crash_limit(lifecycle.crashes.count_of(run.task)):
            lifecycle.finish(run, EndCause.LAPSED, "", now_ms)


def end_runs_over_crash_limit(lifecycle: RunLifecycle, message: SubmitRuns, now_ms: float) -> None:
    """Merge the crash counts of a submission and end its queued runs at their crash limit."""
    for order in message.orders:
        task = TaskId(message.job_id, message.repeat, order.step, order.position)
        lifecycle.crashes.merge(task, order.crashes, now_ms)
        run = lifecycle.get(task)
        if run is None or run.state is not RunState.QUEUED:
            continue
        if exceeds_crash_limit(lifecycle.crashes.count_of(task)):
            lifecycle.finish(run, EndCause.LAPSED, "", now_ms)


def _log_crash(endpoint: str, counts: Iterable[tuple[TaskId, CrashCount]]) -> None:
    """Log the crash of *endpoint*, one line for each of its tasks."""
    for task, count in counts:
        ENDPOINT_LOG.event(
            "endpoint.crashed",
            endpoint=endpoint,
            job=task.job_id,
            step=task.step,
            position=task.position,
            crashes=count.crashes,
            alone=count.alone,
            is_given_up=exceeds_crash_limit(count),
        )
