# SPDX-License-Identifier: MIT
"""A task on two endpoints: its box believed a replaced owner that its run's lease had expired.

Simulated zones. The successor has adopted the run and renews the lease.
"""

from __future__ import annotations

import pytest

from models.late_ends import run_scenario


@pytest.mark.parametrize("is_box_heard", [True, False])
@pytest.mark.parametrize("seed", range(8))
class TestReplacedOwner:
    """An owner that is cut off from its zone, and still reaches a box of another zone."""

    def test_expired_lease(self, seed: int, is_box_heard: bool) -> None:
        """Its end of the run does not count, since the box has followed its successor."""
        world = run_scenario(seed, is_box_heard=is_box_heard)
        assert world.doubled == []
        assert len(world.starts[world.first_start.run_id.task.job_id]) == 1
        assert world.answers[-1].is_completed
