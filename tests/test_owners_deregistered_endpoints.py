# SPDX-License-Identifier: MIT
"""A task on two endpoints: the deregistration of one was taken for its end. Simulated zones."""

from __future__ import annotations

import pytest

from models.deregistered_endpoints import run_scenario


@pytest.mark.parametrize("seed", range(8))
class TestDeregisteredEndpoint:
    """Its task runs on until it ends, 350 ms later or more."""

    # Guards against a second start before the endpoint has stopped the task.
    def test_its_task_starts_elsewhere(self, seed: int) -> None:
        """The task is stopped, and then starts on another endpoint."""
        world = run_scenario(seed, is_owner_killed=False)
        assert world.doubled == []
        assert world.answers[-1].is_completed

    # Guards against a next owner that takes the deregistered endpoint for one that has ended.
    def test_its_owner_is_killed(self, seed: int) -> None:
        """The next owner knows of the deregistration, and not of the run."""
        world = run_scenario(seed, is_owner_killed=True)
        assert world.doubled == []
