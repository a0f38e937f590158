# SPDX-License-Identifier: MIT
"""A task on two endpoints: its endpoint's clock had started again, and its lease was misjudged.

Simulated zones, whose endpoints report no births.
"""

from __future__ import annotations

import pytest

from models.reset_clocks import ClockWorld, SteadyClockWorld
from models.settled_zones import run_in_settled_zones

_RUNS_S = 0.3


@pytest.mark.parametrize("before_s", [0.0, 1.0, 5.0])
@pytest.mark.parametrize("seed", range(4))
class TestSilentEndpoint:
    """The endpoint of a running task falls silent; the run ends before it starts elsewhere."""

    def test_steady_clock(self, seed: int, before_s: float) -> None:
        """The endpoint has not restarted."""
        _check(SteadyClockWorld, seed, before_s)

    def test_reset_clock(self, seed: int, before_s: float) -> None:
        """Known to fail, see KNOWN-RED.txt: lower readings of the clock are ignored."""
        _check(ClockWorld, seed, before_s)


def _check(world_type: type[ClockWorld], seed: int, before_s: float) -> None:
    world = run_in_settled_zones(
        world_type, seed, lambda world: world.restart_and_run(before_s, _RUNS_S), False
    )
    assert world.doubled == []
