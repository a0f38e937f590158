# SPDX-License-Identifier: MIT
"""A task that starts nowhere: one of the two boxes that hold its run hears announcements late.

Simulated zones.
"""

from __future__ import annotations

import pytest

from foldloom.seed_discovery.owners.grant import grant_timeout_ms
from foldloom.settings import TimingSettings
from models.slow_holders import run_scenario


@pytest.mark.parametrize("seed", range(8))
class TestTwoHolders:
    """Messages to one box take 200 ms; the other one is the owner's own."""

    def test_submitted_at_the_owner(self, seed: int) -> None:
        """The run starts no later than after the time of a grant."""
        world = run_scenario(seed)
        assert world.started_ms
        assert world.started_ms[0] <= grant_timeout_ms(TimingSettings())
        assert any(answer.is_completed for answer in world.answers)
