# SPDX-License-Identifier: MIT
"""When a running task takes too long, and when it is worth starting it elsewhere.

Owns nothing: the decisions are plain functions, and :func:`judge_running` carries them out on the
lifecycle of runs. A run that is overdue shows that its endpoint is slow. One that is stuck is
stopped and starts elsewhere, as long as the job can still earn something.
"""

from __future__ import annotations

from foldloom.seed_discovery.owners.lifecycle import RunLifecycle
from foldloom.seed_discovery.scheduling.runs import RunState

# Times the expected duration, because callers' guesses were off by 40% on the users' bench, so that
# a run of twice the expected time is not usual.
OVERDUE_FACTOR = 2.0
# Times the longest duration expected of the step: above OVERDUE_FACTOR, so that a slow endpoint is
# learned of before work on it is thrown away.
STUCK_FACTOR = 3.0
# Milliseconds on top, because an order and a report take some milliseconds each on a busy machine,
# which would count for much against tasks of a few milliseconds.
STUCK_MARGIN_MS = 40.0
# Times the duration after which the task's last run was stopped as stuck. Without it a task that
# takes longer than anybody expected was stopped again and again at the same age and never ended:
# six times in 2.9 s, in the logs of a job of 600 ms that was expected to take 135 ms. Chosen so
# that such a task ends at its second or third run, and one that met two endpoints on which tasks
# stand still is not left there much longer.
STOPPED_FACTOR = 2.0


def is_overdue(ran_ms: float, expected_ms: float) -> bool:
    """Return whether a run that goes on after *ran_ms* is slower than expected."""
    return ran_ms > OVERDUE_FACTOR * expected_ms


def is_stuck(ran_ms: float, longest_ms: float, stopped_after_ms: float = 0.0) -> bool:
    """Return whether a run should be stopped and started elsewhere.

    Args:
        ran_ms: How long it has run, in milliseconds.
        longest_ms: How long the longest task of its step may take, as far as known.
        stopped_after_ms: How long the task's last run had run that was stopped as stuck; 0 if
            none was.
    """
    allowed_ms = STUCK_FACTOR * longest_ms + STUCK_MARGIN_MS
    return ran_ms > max(allowed_ms, STOPPED_FACTOR * stopped_after_ms)


def judge_running(lifecycle: RunLifecycle, now_ms: float) -> None:
    """Learn from runs that take too long, and stop those that are stuck."""
    for run in lifecycle.in_state(RunState.RUNNING):
        if not run.began_ms:
            continue
        group = lifecycle.waiting.group(run)
        ran_ms = now_ms - run.began_ms
        if not is_overdue(ran_ms, group.expected_ms):
            continue
        lifecycle.speeds.note_overdue(run.endpoint, ran_ms, group.expected_ms)
        if now_ms >= group.late_start_deadline_ms():
            continue
        if is_stuck(ran_ms, group.longest_plausible_ms, run.stopped_after_ms):
            run.stopped_after_ms = ran_ms
            lifecycle.stop(run, now_ms)
