# SPDX-License-Identifier: MIT
"""Handles the outcomes of start and stop orders. Owns nothing.

The resulting transitions are made by the run lifecycle. An unanswered order may still be executed;
a refused one certainly is not.
"""

from __future__ import annotations

from collections.abc import Mapping

from foldloom.seed_discovery.endpoints.calls import CallOutcome
from foldloom.seed_discovery.jobs.spec import RunId
from foldloom.seed_discovery.owners.lifecycle import RunLifecycle
from foldloom.seed_discovery.owners.messages import EndCause
from foldloom.seed_discovery.scheduling.endpoints import ZoneEndpoint
from foldloom.seed_discovery.scheduling.runs import Run, RunState

# Below the duration of typical tasks, whose ends free capacity.
NO_CAPACITY_BACKOFF_MS = 30.0
# Longer than the tasks of most jobs, which lose less on other endpoints.
UNHEALTHY_BACKOFF_MS = 300.0


def handle_start_outcome(
    lifecycle: RunLifecycle,
    candidates: Mapping[str, ZoneEndpoint],
    run_id: RunId,
    endpoint: str,
    outcome: CallOutcome,
    now_ms: float,
) -> None:
    """Handle the outcome of a start order."""
    run = _current_run(lifecycle, run_id, endpoint)
    if run is None:
        return
    if outcome is CallOutcome.DONE:
        if run.state is RunState.STARTING:
            lifecycle.confirm_start(run, now_ms)
        return
    if outcome in (CallOutcome.UNKNOWN, CallOutcome.DISCONNECTED):
        # The start may take effect until the lease in the order expires. The stop prevents that,
        # and the next report shows whether the run has started.
        lifecycle.stop(run, now_ms)
        return
    lifecycle.release_capacity(run)
    if run.state is RunState.STOPPING:
        lifecycle.finish(run, EndCause.STOPPED, "", now_ms)
        return
    if outcome is CallOutcome.INVALID:
        lifecycle.finish(run, EndCause.REFUSED, "", now_ms)
        return
    if outcome is CallOutcome.OLD_RUN:
        run.attempt += 1
    else:
        _back_off(candidates, endpoint, outcome, now_ms)
    lifecycle.queue(run, now_ms)


def handle_stop_outcome(
    lifecycle: RunLifecycle, run_id: RunId, endpoint: str, outcome: CallOutcome, now_ms: float
) -> None:
    """Handle the outcome of a stop order."""
    run = _current_run(lifecycle, run_id, endpoint)
    if run is None or run.state is not RunState.STOPPING:
        return
    if outcome is CallOutcome.DONE:
        run.stop_confirmed_ms = now_ms


def _current_run(lifecycle: RunLifecycle, run_id: RunId, endpoint: str) -> Run | None:
    """Return the run with *run_id* if it is still its task's run on *endpoint*."""
    run = lifecycle.get(run_id.task)
    if run is None or run.attempt != run_id.attempt or run.endpoint != endpoint:
        return None
    return run


def _back_off(
    candidates: Mapping[str, ZoneEndpoint], endpoint: str, outcome: CallOutcome, now_ms: float
) -> None:
    """Exclude an endpoint that refused a start from placement for a while.

    One that has another incarnation or no listener is excluded until its next report, and one that
    does not respond is excluded already.
    """
    candidate = candidates.get(endpoint)
    if candidate is None:
        return
    if outcome is CallOutcome.NOT_SENT:
        return
    if outcome in (CallOutcome.OTHER_LIFE, CallOutcome.NO_LISTENER):
        candidate.has_current_report = False
        return
    backoff_ms = UNHEALTHY_BACKOFF_MS if outcome is CallOutcome.REFUSED else NO_CAPACITY_BACKOFF_MS
    candidate.backoff_until_ms = now_ms + backoff_ms
