# SPDX-License-Identifier: MIT
"""A task on two endpoints: its owner resigned with its start order in flight.

The notice of the order reached the box that holds the run after the next owner's first heartbeat,
and was dropped. Simulated zones.
"""

from __future__ import annotations

import pytest

from models.resigning_owners import PlannedStopWorld, SlowNoticeWorld, ThirdBoxWorld
from models.settled_zones import run_in_settled_zones


@pytest.mark.parametrize("is_submitted_to_owner", [False, True])
@pytest.mark.parametrize("is_killed", [False, True])
@pytest.mark.parametrize("after_s", [0.0, 0.0004, 0.002, 0.1, 0.3])
@pytest.mark.parametrize("are_births_known", [False, True])
@pytest.mark.parametrize("seed", range(4))
class TestPlannedStop:
    """The owner resigns with a start in flight."""

    def test_resigned(
        self,
        seed: int,
        are_births_known: bool,
        after_s: float,
        is_killed: bool,
        is_submitted_to_owner: bool,
    ) -> None:
        """The next owner knows of the start order."""
        world = run_in_settled_zones(
            PlannedStopWorld,
            seed,
            lambda world: world.resign(after_s, is_submitted_to_owner, is_killed),
            are_births_known,
        )
        assert world.doubled == [], world.starts


@pytest.mark.parametrize("world_type", [ThirdBoxWorld, SlowNoticeWorld])
@pytest.mark.parametrize("after_s", [0.0, 0.0004, 0.002, 0.1])
@pytest.mark.parametrize("are_births_known", [False, True])
@pytest.mark.parametrize("seed", range(4))
class TestLateNotice:
    """The notice of a start order arrives after the next owner's first heartbeat."""

    def test_resigned(
        self,
        seed: int,
        are_births_known: bool,
        after_s: float,
        world_type: type,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """The order's owner has handed the zone over."""
        monkeypatch.setattr("models.zones_world.BOXES_PER_ZONE", 3)
        world = run_in_settled_zones(
            world_type, seed, lambda world: world.resign_with_third_box(after_s), are_births_known
        )
        assert world.doubled == [], (world.log, world.starts)
