# SPDX-License-Identifier: MIT
"""A task on two endpoints: another owner knew nothing of an unanswered start.

The endpoint restarts under its id and executes the start order before that owner has discovered
the new incarnation. Simulated zones.
"""

from __future__ import annotations

import pytest

from models.late_orders import UNANSWERED_S, run_scenario


@pytest.mark.parametrize("seed", range(8))
class TestOtherOwner:
    """The binding is kept by the entry boxes, which deliver the task to the endpoint's zone."""

    def test_new_owner(self, seed: int) -> None:
        """The owner is killed after the start timed out, and the endpoint falls silent.

        It is back too late for the job, which is answered with an error.
        """
        world = run_scenario(seed, lambda world: world.kill_owner(UNANSWERED_S))
        assert world.doubled == []
        assert world.answers[-1].may_have_run

    def test_submitted_again_in_the_other_zone(self, seed: int) -> None:
        """The caller disconnects after the start timed out, and submits the job elsewhere."""
        world = run_scenario(seed, lambda world: world.submit_twice(UNANSWERED_S))
        assert world.doubled == []
        assert world.answers[-1].is_completed

    def test_submitted_again_to_a_restarted_box(self, seed: int) -> None:
        """The box was not there when the binding was reported; its owners report it again."""
        world = run_scenario(seed, lambda world: world.submit_twice_after_restart(UNANSWERED_S))
        assert world.doubled == []
        assert world.answers[-1].is_completed
