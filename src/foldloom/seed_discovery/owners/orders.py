# SPDX-License-Identifier: MIT
"""What an endpoint's answer to an order means for the run that it is about.

Owns nothing. Relies on the lifecycle of runs, which carries out what is decided here. An order that
got no answer may still be carried out; one that was refused certainly was not.
"""

from __future__ import annotations

from collections.abc import Mapping

from foldloom.seed_discovery.endpoints.calls import CallOutcome
from foldloom.seed_discovery.jobs.spec import RunId
from foldloom.seed_discovery.owners.lifecycle import RunLifecycle
from foldloom.seed_discovery.owners.messages import EndCause
from foldloom.seed_discovery.scheduling.endpoints import ZoneEndpoint
from foldloom.seed_discovery.scheduling.runs import Run, RunState

# Milliseconds without new work for an endpoint that refused a start for want of room: it frees some
# when a run ends, and tasks of the users take 60 ms and more.
NO_CAPACITY_BACKOFF_MS = 30.0
# Milliseconds without new work for an endpoint that says it is unhealthy, to be longer than the
# tasks of most jobs, which lose less on other endpoints.
UNHEALTHY_BACKOFF_MS = 300.0


def note_start(
    lifecycle: RunLifecycle,
    candidates: Mapping[str, ZoneEndpoint],
    run_id: RunId,
    endpoint: str,
    outcome: CallOutcome,
    now_ms: float,
) -> None:
    """Note the answer to an order to start."""
    run = _current_run(lifecycle, run_id, endpoint)
    if run is None:
        return
    if outcome is CallOutcome.DONE:
        if run.state is RunState.STARTING:
            run.enter(RunState.RUNNING, now_ms, endpoint)
        return
    if outcome is CallOutcome.UNKNOWN:
        # It may be carried out at any time until the lease in the order has passed; the stop
        # keeps it from starting, and the next report shows whether it has started.
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


def note_stop(
    lifecycle: RunLifecycle, run_id: RunId, endpoint: str, outcome: CallOutcome, now_ms: float
) -> None:
    """Note the answer to an order to stop."""
    run = _current_run(lifecycle, run_id, endpoint)
    if run is None or run.state is not RunState.STOPPING:
        return
    if outcome is CallOutcome.DONE:
        run.stop_known_ms = now_ms


def _current_run(lifecycle: RunLifecycle, run_id: RunId, endpoint: str) -> Run | None:
    """Return the run that an answer is about, if it is still the present one of its task."""
    run = lifecycle.get(run_id.task)
    if run is None or run.attempt != run_id.attempt or run.endpoint != endpoint:
        return None
    return run


def _back_off(
    candidates: Mapping[str, ZoneEndpoint], endpoint: str, outcome: CallOutcome, now_ms: float
) -> None:
    """Pause an endpoint that refused a start."""
    candidate = candidates.get(endpoint)
    if candidate is None:
        return
    if outcome in (CallOutcome.OTHER_LIFE, CallOutcome.NO_LISTENER):
        candidate.is_trusted = False
        return
    backoff_ms = UNHEALTHY_BACKOFF_MS if outcome is CallOutcome.REFUSED else NO_CAPACITY_BACKOFF_MS
    candidate.blocked_until_ms = now_ms + backoff_ms
