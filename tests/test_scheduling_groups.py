# SPDX-License-Identifier: MIT
"""Guards against giving up a job while its result is still useful."""

from __future__ import annotations

from foldloom.seed_discovery.jobs.spec import Demand, Placement
from foldloom.seed_discovery.scheduling.groups import USEFUL_UNTIL_FACTOR, RunGroup
from foldloom.seed_discovery.scheduling.ranking import Tier, tier_of
from foldloom.seed_discovery.scheduling.runs import RunSpec


def _spec(estimate_ms: int) -> RunSpec:
    return RunSpec(
        job_id="a" * 16,
        queue="q",
        service="svc",
        task_input="",
        demand=Demand(1_000, 64, 0),
        placement=Placement(),
        priority=0,
        estimate_ms=estimate_ms,
        arrived_ms=0.0,
        stretch=1.6,
        slack_ms=60.0,
        other_steps_ms=0.0,
        tasks=1,
        deadline_ms=10_000.0,
    )


class TestLate:
    """The late deadline of a group."""

    def test_a_long_job_in_a_queue_of_short_ones(self) -> None:
        """The caller's estimate applies if it exceeds the queue's.

        Guards against giving up a long job early because short jobs preceded it in its queue.
        """
        group = RunGroup(_spec(estimate_ms=300), expected_ms=80.0)
        assert group.useful_until_ms == USEFUL_UNTIL_FACTOR * (1.6 * 300 + 60)
        assert tier_of(group, 800.0) == Tier.LATE
        assert tier_of(group, 1_700.0) == Tier.UNATTAINABLE

    def test_caller_estimate_too_short(self) -> None:
        """The queue's estimate applies if it exceeds the caller's."""
        group = RunGroup(_spec(estimate_ms=10), expected_ms=300.0)
        assert group.useful_until_ms == USEFUL_UNTIL_FACTOR * (1.6 * 300 + 60)

    def test_never_beyond_the_deadline(self) -> None:
        """The request deadline limits the late deadline."""
        group = RunGroup(_spec(estimate_ms=9_000), expected_ms=300.0)
        assert group.useful_until_ms == 10_000.0
