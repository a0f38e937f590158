# SPDX-License-Identifier: MIT
"""A task on two endpoints: the box that held its run was killed together with the zone's owner.

No other box delivers the run to the next owner, so nothing but the endpoint's report tells of it.
Simulated zones.
"""

from __future__ import annotations

import pytest

from models.killed_with_jobs import run_scenario


@pytest.mark.parametrize("seed", range(8))
class TestKilledWithItsJob:
    """The job is submitted again at the next owner, while its run goes on under the old lease."""

    def test_endpoint_without_a_report(self, seed: int) -> None:
        """Known to fail, see KNOWN-RED.txt: the run's endpoint has not yet answered a poll."""
        world = run_scenario(seed, is_known=True)
        assert not world.unknown_at_handover
        assert world.doubled == []

    def test_unknown_endpoint(self, seed: int) -> None:
        """Known to fail, see KNOWN-RED.txt: the next owner has not heard of the endpoint."""
        world = run_scenario(seed, is_known=False)
        assert world.unknown_at_handover
        assert world.doubled == []
