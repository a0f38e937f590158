# SPDX-License-Identifier: MIT
"""Jobs that can no longer complete in time. Owns nothing."""

from __future__ import annotations

from foldloom.seed_discovery.owners.lifecycle import RunLifecycle
from foldloom.seed_discovery.owners.messages import EndCause, RunEnd


def retire_unattainable(lifecycle: RunLifecycle, now_ms: float) -> None:
    """Retire queued runs of jobs that can no longer complete in time."""
    for group in lifecycle.run_queue.unattainable(now_ms):
        has_started = group.spec.job_id in lifecycle.started
        for run in list(group.queued.values()):
            end = RunEnd(run.run_id, EndCause.UNATTAINABLE, has_started=has_started)
            lifecycle.retire(run, end, now_ms)
