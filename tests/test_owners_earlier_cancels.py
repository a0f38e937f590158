# SPDX-License-Identifier: MIT
"""A task on two endpoints: an earlier submission of its job had been cancelled.

The record of the earlier start order, or of its cancel, hid the unanswered one of the later
submission. Simulated zones.
"""

from __future__ import annotations

import pytest

from foldloom.seed_discovery.owners.tombstones import TOMBSTONE_TTL_MS
from models.earlier_cancels import (
    LateCancelAnswerWorld,
    OtherZoneWorld,
    SameZoneWorld,
    VeryLateCancelAnswerWorld,
)
from models.late_orders import UNTIL_ORDER_S
from models.settled_zones import run_in_settled_zones

_LEAVE_AFTER_S = UNTIL_ORDER_S + 0.02
_RESUBMIT_AFTER_S = 0.1
_TOMBSTONE_EXPIRED_S = TOMBSTONE_TTL_MS / 1_000 + 1.0


@pytest.mark.parametrize("are_births_known", [False, True])
@pytest.mark.parametrize("leave_after_s", [None, _LEAVE_AFTER_S])
@pytest.mark.parametrize("seed", range(4))
class TestCancelledBefore:
    """The job was submitted in the first zone, and cancelled while its start was in flight."""

    def test_killed_owner(
        self, seed: int, leave_after_s: float | None, are_births_known: bool
    ) -> None:
        """The second zone's owner is killed while the next start is in flight."""
        world = run_in_settled_zones(
            OtherZoneWorld,
            seed,
            lambda world: world.kill_second_owner(leave_after_s),
            are_births_known,
        )
        assert world.doubled == [], world.start_log

    def test_submitted_again(
        self, seed: int, leave_after_s: float | None, are_births_known: bool
    ) -> None:
        """The caller disconnects again, and submits the job in the first zone."""
        world = run_in_settled_zones(
            OtherZoneWorld,
            seed,
            lambda world: world.submit_thrice(leave_after_s),
            are_births_known,
        )
        assert world.doubled == [], world.start_log


@pytest.mark.parametrize("are_births_known", [False, True])
@pytest.mark.parametrize("leave_after_s", [None, _LEAVE_AFTER_S])
@pytest.mark.parametrize("seed", range(4))
class TestCancelledInTheSameZone:
    """The same zone both times; the owner is killed while the second start is in flight."""

    @pytest.mark.parametrize("wait_s", [_RESUBMIT_AFTER_S, _TOMBSTONE_EXPIRED_S])
    def test_killed_owner(
        self, seed: int, leave_after_s: float | None, are_births_known: bool, wait_s: float
    ) -> None:
        """The owner may have forgotten the attempts of the first submission."""
        world = run_in_settled_zones(
            SameZoneWorld,
            seed,
            lambda world: world.submit_again(wait_s, leave_after_s),
            are_births_known,
        )
        assert world.doubled == [], world.start_log

    def test_replaced_owner(
        self, seed: int, leave_after_s: float | None, are_births_known: bool
    ) -> None:
        """A new owner of the zone has no tombstone."""
        world = run_in_settled_zones(
            SameZoneWorld,
            seed,
            lambda world: world.submit_again(_RESUBMIT_AFTER_S, leave_after_s, True),
            are_births_known,
        )
        assert world.doubled == [], world.start_log


@pytest.mark.parametrize("world_type", [LateCancelAnswerWorld, VeryLateCancelAnswerWorld])
@pytest.mark.parametrize("are_births_known", [False, True])
@pytest.mark.parametrize("seed", range(4))
class TestLateCancelAnswer:
    """The answer to an earlier cancel arrives after a later submission was cancelled too."""

    def test_killed_owner(self, seed: int, are_births_known: bool, world_type: type) -> None:
        """The owner is killed before it receives the second cancel."""
        world = run_in_settled_zones(
            world_type, seed, lambda world: world.submit_thrice(), are_births_known
        )
        assert world.doubled == [], world.start_log
