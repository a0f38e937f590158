# SPDX-License-Identifier: MIT
"""Until when a job is worth anything."""

from __future__ import annotations

from foldloom.seed_discovery.jobs.spec import Demand, Placement
from foldloom.seed_discovery.scheduling.groups import LATE_FACTOR, RunGroup
from foldloom.seed_discovery.scheduling.ranking import Tier, tier_of
from foldloom.seed_discovery.scheduling.runs import RunSpec


def _spec(estimate_ms: int) -> RunSpec:
    return RunSpec(
        job_id="a" * 16,
        queue="q",
        service="svc",
        text="",
        demand=Demand(1_000, 64, 0),
        placement=Placement(),
        priority=0,
        estimate_ms=estimate_ms,
        began_ms=0.0,
        stretch=1.6,
        slack_ms=60.0,
        other_ms=0.0,
        tasks=1,
        deadline_ms=10_000.0,
    )


class TestLate:
    """When a job can't earn anything any more."""

    def test_a_long_job_in_a_queue_of_short_ones(self) -> None:
        """What its caller says counts where the queue's other jobs say less.

        Seen in tests/test_platform_system.py: a job of 300 ms tasks was given up 0.8 s after
        its arrival, since jobs of 20 ms had come before it on the same queue.
        """
        group = RunGroup(_spec(estimate_ms=300), expected_ms=80.0)
        assert group.late_ms == LATE_FACTOR * (1.6 * 300 + 60)
        assert tier_of(group, 800.0) == Tier.LATE
        assert tier_of(group, 1_700.0) == Tier.UNATTAINABLE

    def test_a_guess_that_is_too_short(self) -> None:
        """What the queue's other jobs took counts where the caller says less."""
        group = RunGroup(_spec(estimate_ms=10), expected_ms=300.0)
        assert group.late_ms == LATE_FACTOR * (1.6 * 300 + 60)

    def test_never_beyond_the_deadline(self) -> None:
        """Nobody waits for an answer after it."""
        group = RunGroup(_spec(estimate_ms=9_000), expected_ms=300.0)
        assert group.late_ms == 10_000.0
