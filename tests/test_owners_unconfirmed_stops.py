# SPDX-License-Identifier: MIT
"""A task on two endpoints: its run was being stopped without an answer, and its job was submitted.

Simulated zones. The first submission's caller leaves, and comes back to a box of another zone.
"""

from __future__ import annotations

import pytest

from models.late_orders import UNTIL_ORDER_S
from models.settled_zones import run_in_settled_zones
from models.unstoppable_runs import DisconnectedWorld, RunningWorld, UnansweredWorld

_LEAVE_AFTER_S = [UNTIL_ORDER_S, 0.02, 0.1]


@pytest.mark.parametrize("are_births_known", [False, True])
@pytest.mark.parametrize("seed", range(4))
class TestStartWithoutConfirmation:
    """A start has no answer, or its stop has none, and the same incarnation executes it."""

    @pytest.mark.parametrize("world_type", [DisconnectedWorld, UnansweredWorld, RunningWorld])
    def test_submitted_once(self, seed: int, are_births_known: bool, world_type: type) -> None:
        """The task is stopped before it starts elsewhere."""
        world = run_in_settled_zones(
            world_type, seed, lambda world: world.submit_once(), are_births_known
        )
        assert world.doubled == []

    @pytest.mark.parametrize("leave_after_s", _LEAVE_AFTER_S)
    def test_unanswered(self, seed: int, are_births_known: bool, leave_after_s: float) -> None:
        """The call timed out: the task is bound in the other zone too."""
        world = run_in_settled_zones(
            UnansweredWorld, seed, lambda world: world.submit_twice(leave_after_s), are_births_known
        )
        assert world.doubled == []

    @pytest.mark.parametrize("world_type", [DisconnectedWorld, RunningWorld])
    @pytest.mark.parametrize("leave_after_s", _LEAVE_AFTER_S)
    def test_submitted_in_the_other_zone(
        self, seed: int, are_births_known: bool, leave_after_s: float, world_type: type
    ) -> None:
        """Known to fail, see KNOWN-RED.txt: that zone doesn't know of the run being stopped."""
        world = run_in_settled_zones(
            world_type, seed, lambda world: world.submit_twice(leave_after_s), are_births_known
        )
        assert world.doubled == []
