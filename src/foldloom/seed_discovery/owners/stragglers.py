# SPDX-License-Identifier: MIT
"""Detection of stragglers: overdue runs lower their endpoint's speed, stuck runs are restarted."""

from __future__ import annotations

from collections.abc import Mapping

from foldloom.seed_discovery.owners.lifecycle import RunLifecycle
from foldloom.seed_discovery.scheduling.runs import RunState

# Multiple of the expected duration, to allow for errors of the callers' estimates.
OVERDUE_FACTOR = 2.0
# Multiple of the step's longest expected duration; above OVERDUE_FACTOR, so that a slow endpoint
# is detected before its runs are stopped.
STUCK_FACTOR = 3.0
# Allowance for the latency of orders and reports.
STUCK_MARGIN_MS = 40.0
# Multiple of the run time at which the task's previous attempt was stopped as stuck. A task that
# runs far longer than estimated would never end if each attempt were stopped at the same age.
STUCK_RETRY_FACTOR = 2.0


def is_overdue(ran_ms: float, expected_ms: float) -> bool:
    """Return whether an unfinished run is slower than expected."""
    return ran_ms > OVERDUE_FACTOR * expected_ms


def is_stuck(ran_ms: float, longest_ms: float, stuck_attempt_ms: float = 0.0) -> bool:
    """Return whether a run should be stopped and started elsewhere.

    Args:
        ran_ms: Run time so far.
        longest_ms: Plausible duration of the longest task of its step.
        stuck_attempt_ms: Run time of the previous attempt if it was stopped as stuck, or 0.
    """
    run_time_limit_ms = STUCK_FACTOR * longest_ms + STUCK_MARGIN_MS
    return ran_ms > max(run_time_limit_ms, STUCK_RETRY_FACTOR * stuck_attempt_ms)


def handle_stragglers(
    lifecycle: RunLifecycle, last_polled_ms: Mapping[str, float], now_ms: float
) -> None:
    """Update endpoint speeds from overdue runs and stop stuck runs.

    A run has certainly lasted until the poll whose report lists it. How long it lasts while the
    endpoint is not heard says nothing about the endpoint's speed. Runs are not stopped once the
    job's late start deadline has passed.

    Args:
        lifecycle: The runs.
        last_polled_ms: When each endpoint was polled for its latest report.
        now_ms: Own monotonic clock.
    """
    for run in lifecycle.in_state(RunState.RUNNING):
        if not run.began_ms:
            continue
        group = lifecycle.run_queue.group(run)
        ran_ms = now_ms - run.began_ms
        if not is_overdue(ran_ms, group.expected_ms):
            continue
        listed_ms = last_polled_ms.get(run.endpoint, 0.0) - run.began_ms
        if is_overdue(listed_ms, group.expected_ms):
            lifecycle.speeds.note_overdue(run.endpoint, listed_ms, group.expected_ms)
        if now_ms >= group.late_start_deadline_ms():
            continue
        if is_stuck(ran_ms, group.longest_plausible_ms, run.stuck_attempt_ms):
            run.stuck_attempt_ms = ran_ms
            lifecycle.stop(run, now_ms)
