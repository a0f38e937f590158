# SPDX-License-Identifier: MIT
"""Runs of a lost box that outlast the time after which its caller sends the job again.

Simulated zones that lose boxes one after the other.
"""

from __future__ import annotations

import os
import random

import pytest

from models.lost_holders import Loss, LossKind, run_scenario

_FIRST = int(os.environ.get("FOLDLOOM_FIRST_SEED", "0"))
_SEEDS = int(os.environ.get("FOLDLOOM_SEEDS", "24"))
# Two elections.
_LOSS_INTERVAL_MAX_MS = 900.0


@pytest.fixture(autouse=True)
def _five_boxes(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("models.zones_world.BOXES_PER_ZONE", 5)


class TestLostOwners:
    """Owners are killed in a row; each held a job of its own."""

    # Guards against leases that each next owner renews beside runs of boxes lost long before.
    @pytest.mark.parametrize("seed", range(4))
    @pytest.mark.parametrize("after_ms", [650.0, 750.0, 850.0])
    def test_two_owners(self, seed: int, after_ms: float) -> None:
        """The next owner is killed soon after it has acquired the zone."""
        losses = [Loss(LossKind.OWNER, 0.0), Loss(LossKind.OWNER, after_ms)]
        assert run_scenario(seed, losses).overruns == []

    # Guards against leases that are renewed beside an orphaned run whose stop is unanswered.
    @pytest.mark.parametrize("seed", range(4))
    def test_unanswered_stops(self, seed: int) -> None:
        """One owner is killed, and the stops of its runs stay unanswered."""
        world = run_scenario(seed, [Loss(LossKind.OWNER, 0.0)], lost_stops=1.0)
        assert world.overruns == []

    # Guards against a bound that begins with the loss of the owner in place of that of the box.
    @pytest.mark.parametrize("seed", range(4))
    @pytest.mark.parametrize("after_ms", [250.0, 350.0, 450.0])
    def test_box_and_then_its_owner(self, seed: int, after_ms: float) -> None:
        """A box is killed, and its owner before or after the session has expired."""
        losses = [Loss(LossKind.OTHER, 0.0), Loss(LossKind.OWNER, after_ms)]
        assert run_scenario(seed, losses, lost_stops=1.0).overruns == []

    # Guards against an owner that does not pass on what it has heard of lost boxes.
    @pytest.mark.parametrize("seed", range(4))
    def test_handed_over_twice(self, seed: int) -> None:
        """A box is killed; the zone is handed over before its run has ended, and once more."""
        losses = [
            Loss(LossKind.OTHER, 0.0),
            Loss(LossKind.HANDOVER, 200.0),
            Loss(LossKind.HANDOVER, 150.0),
        ]
        assert run_scenario(seed, losses, lost_stops=1.0).overruns == []

    # Guards against leases renewed beside orphaned runs by an owner that knows nothing of them.
    @pytest.mark.parametrize("seed", range(4))
    def test_nothing_heard(self, seed: int) -> None:
        """The owner is killed and all other boxes restart: the next one has heard of no owner."""
        losses = [Loss(LossKind.OWNER, 0.0), *[Loss(LossKind.RESTART, 0.0)] * 4]
        assert run_scenario(seed, losses, lost_stops=1.0).overruns == []

    # Guards against each order of these events.
    @pytest.mark.parametrize("seed", range(_FIRST, _FIRST + _SEEDS))
    def test_any_order(self, seed: int) -> None:
        """Two to four losses: owners, other boxes, restarts, cuts and planned hand-overs."""
        rng = random.Random(seed)
        losses = [
            Loss(rng.choice(list(LossKind)), rng.uniform(0.0, _LOSS_INTERVAL_MAX_MS))
            for _ in range(rng.randint(2, 4))
        ]
        lost_stops = rng.choice([0.0, 0.5, 1.0])
        assert run_scenario(seed, losses, lost_stops).overruns == []
