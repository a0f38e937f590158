# SPDX-License-Identifier: MIT
"""A task on two endpoints: the second of three owners adopted its run where its box had not heard.

The second owner's announcement of the run's endpoint arrives too late, and the first owner's grant
has expired. Simulated zones.
"""

from __future__ import annotations

import pytest

from models.slow_announcements import run_scenario


@pytest.fixture(autouse=True)
def _three_boxes(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("models.zones_world.BOXES_PER_ZONE", 3)


@pytest.mark.parametrize("seed", range(8))
class TestAdoptedRun:
    """A run of the first owner goes on under the second one, which announces its endpoint late."""

    def test_third_owner(self, seed: int) -> None:
        """Its box names the first owner's endpoints until the run has ended."""
        world = run_scenario(seed)
        assert world.unknown_at_handover
        assert world.doubled == []
