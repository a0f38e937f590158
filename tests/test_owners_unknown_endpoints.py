# SPDX-License-Identifier: MIT
"""A task on two endpoints: its zone's next owner had not heard of the endpoint that ran it.

Simulated zones, whose endpoints restart under new ids. An owner that has not heard of an endpoint
can't conclude from the reports of the others that a run is on none.
"""

from __future__ import annotations

import pytest

from models.unknown_endpoints import UnknownEndpointsWorld, run_scenario


def _check(world: UnknownEndpointsWorld) -> None:
    """Check that the next owner did not know the run's endpoint, and the task ran on no other."""
    assert world.unknown_at_handover
    assert world.doubled == []


@pytest.mark.parametrize("seed", range(8))
class TestUnknownEndpoint:
    """A run of the earlier owner is on an endpoint that the next owner has not heard of."""

    def test_knows_no_endpoint(self, seed: int) -> None:
        """Two owners are paused in turn; the next one knows no endpoint of the run's service."""
        _check(run_scenario(seed, lambda world: world.pause_two_owners(knows_one=False)))

    def test_knows_another_endpoint(self, seed: int) -> None:
        """Two owners are paused in turn; the next one knows one endpoint, which reports."""
        _check(run_scenario(seed, lambda world: world.pause_two_owners(knows_one=True)))

    def test_cut_from_the_controllers(self, seed: int) -> None:
        """The next owner hears late of the endpoint; nothing is paused."""
        _check(run_scenario(seed, lambda world: world.cut_owners()))

    @pytest.mark.parametrize("after_s", [0.03, 0.25])
    def test_owner_killed(self, seed: int, after_s: float) -> None:
        """The owner is killed just after the start; the next one hears late of the endpoint."""
        _check(run_scenario(seed, lambda world: world.kill_owner(after_s)))
