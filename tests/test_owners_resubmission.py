# SPDX-License-Identifier: MIT
"""A task on two endpoints: its job was submitted again while its cancelled run was stopping.

The own zone has no capacity at that moment, so the box chooses another zone, whose owner knows
nothing of the run. Simulated zones.
"""

from __future__ import annotations

import pytest

from models.stopping_runs import StoppingRunWorld, run_scenario
from models.zones_world import ZONES


def _describe(world: StoppingRunWorld) -> str:
    """Return where and when the job's runs started."""
    starts = [start for of_job in world.starts.values() for start in of_job]
    started = [
        f"run {start.run_id.attempt} on {start.endpoint}, "
        f"{start.at_ms - world.resubmitted_ms:.0f} ms after the second submission"
        for start in starts
    ]
    return "; ".join(started)


@pytest.mark.parametrize("seed", range(8))
class TestHomeZoneWithoutCapacity:
    """The stop order is unanswered, and all endpoints of the own zone drain."""

    @pytest.mark.parametrize("is_owner", [False, True])
    def test_submitted_again(self, seed: int, is_owner: bool) -> None:
        """The other zone starts the task once the cancelled run has certainly ended."""
        world = run_scenario(seed, lambda world: world.submit_twice(is_owner))
        assert world.doubled == [], _describe(world)
        assert world.answers[-1].is_completed
        assert world.started_on[-1].startswith(f"w-{ZONES[1]}")

    def test_capacity_returns(self, seed: int) -> None:
        """The own zone starts the task as soon as it can, since its owner tracks the run."""
        world = run_scenario(seed, lambda world: world.submit_twice_with_capacity(0.1))
        assert world.doubled == [], _describe(world)
        assert world.answers[-1].is_completed
        assert world.started_on[-1].startswith(f"w-{ZONES[0]}")

    def test_submitted_again_to_another_box(self, seed: int) -> None:
        """Known to fail, see KNOWN-RED.txt: that box knows nothing of the cancel."""
        world = run_scenario(seed, lambda world: world.submit_to_two_boxes())
        assert world.doubled == [], _describe(world)
