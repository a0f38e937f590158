# SPDX-License-Identifier: MIT
"""An owner that was paused for longer than its sessions must not act against its successor.

Endpoints that have started meanwhile have seen no fencing token.
"""

from __future__ import annotations

import asyncio
from functools import partial

import pytest

from models.resumed_owners import JOB, TASK_MS, ResumedOwnerWorld
from models.settled_zones import NEVER_MS, run_in_settled_zones
from models.virtual_time import Waking
from models.zones_world import CONTROLLER, ZONES, Answer

_SEEDS = range(3)
# Longer than a session, and than the silence after which another box acquires the zone.
_PAUSE_S = 1.0
# Shorter than a session.
_SHORT_PAUSE_S = 0.25
_QUERY_TIMEOUT_MS = 120.0
# From the submission to the end of a task, without its own time: the delivery and the check of the
# endpoint, the back-off of a refused delivery, and the interval of polls.
_OVERHEAD_MS = 60.0


async def _pause_both(world: ResumedOwnerWorld, waking: Waking) -> None:
    await world.pause_both(waking, 0.05)


async def _pause_both_with_cuts(world: ResumedOwnerWorld, waking: Waking) -> None:
    await world.pause_both(waking, 0.05, frozenset({CONTROLLER}))


async def _submit_to_both(world: ResumedOwnerWorld, waking: Waking) -> None:
    await world.submit_to_both(waking, 0.05)


async def _pause_isolated_box(world: ResumedOwnerWorld, waking: Waking) -> None:
    owner, other = world.boxes_in(ZONES[0])
    world.kill_box(other)
    world.cut_off({owner})
    await world.pause_alone(waking, [owner], _PAUSE_S)


async def _pause_isolated_zone(world: ResumedOwnerWorld, waking: Waking) -> None:
    boxes = world.all_boxes_in(ZONES[0])
    world.cut_off(set(boxes))
    await world.pause_alone(waking, boxes, _PAUSE_S)


async def _pause_zone(world: ResumedOwnerWorld, waking: Waking) -> None:
    await world.pause_alone(waking, world.all_boxes_in(ZONES[0]), _PAUSE_S)


async def _pause_shortly(world: ResumedOwnerWorld, waking: Waking) -> None:
    world.queries.clear()
    await world.pause_alone(waking, [world.boxes_in(ZONES[0])[0]], _SHORT_PAUSE_S)


async def _resume_two_owners(world: ResumedOwnerWorld, waking: Waking) -> None:
    """Pause the owner until another box has acquired the zone, and then both at once."""
    boxes = world.boxes_in(ZONES[0])
    owner, successor = boxes
    world.pause_box(owner, 0, 2 * _PAUSE_S, waking)
    await asyncio.sleep(_PAUSE_S)
    assert world.boxes[successor].elector.owner is not None
    world.pause_box(successor, 0, _PAUSE_S, waking)
    await asyncio.sleep(_PAUSE_S)
    await asyncio.gather(
        *(world.call(box, f"{n:016x}", 1, TASK_MS, NEVER_MS) for n, box in enumerate(boxes))
    )


async def _resume_two_separate_owners(world: ResumedOwnerWorld, waking: Waking) -> None:
    """Do the same with owners that reach no box, and each other endpoints of the zone."""
    owner, successor = world.boxes_in(ZONES[0])
    first, *others = (record.endpoint for record in world.records if record.zone == ZONES[0])
    world.conditions.cuts |= {(successor, first), *((owner, name) for name in others)}
    world.cut_off({owner})
    pausing = asyncio.create_task(_resume_two_owners(world, waking))
    await asyncio.sleep(_PAUSE_S)
    world.cut_off({successor})
    await pausing


def _play_both(seed: int, waking: Waking) -> ResumedOwnerWorld:
    return run_in_settled_zones(
        ResumedOwnerWorld, seed, partial(_pause_both, waking=waking), are_births_known=True
    )


def _duration_ms(answer: Answer) -> float:
    return answer.answered_ms - answer.sent_ms


@pytest.mark.parametrize("waking", list(Waking))
@pytest.mark.parametrize("seed", _SEEDS)
class TestSuccessorPaused:
    """The successor is paused too, so that its heartbeats don't reach the resumed owner."""

    def test_resumed_owner_starts_nothing(self, seed: int, waking: Waking) -> None:
        """No start order with the lower token is sent, and every job completes once."""
        world = _play_both(seed, waking)
        assert world.outdated_orders == []
        assert world.doubled == []
        assert all(answer.is_completed for answer in world.answers)

    def test_job_of_two_boxes_runs_once(self, seed: int, waking: Waking) -> None:
        """A job whose caller has also sent it to the paused successor does not run at both."""
        world = run_in_settled_zones(
            ResumedOwnerWorld, seed, partial(_submit_to_both, waking=waking), are_births_known=True
        )
        assert len(world.starts[JOB]) == 1
        assert world.doubled == []
        assert all(answer.is_completed for answer in world.answers)

    def test_box_of_another_zone_knows(self, seed: int, waking: Waking) -> None:
        """The same if no controller can be reached: boxes of other zones know the successor."""
        world = run_in_settled_zones(
            ResumedOwnerWorld,
            seed,
            partial(_pause_both_with_cuts, waking=waking),
            are_births_known=True,
        )
        assert world.outdated_orders == []
        assert world.doubled == []
        # A job that was delivered during the queries waits until the box's grant has expired.
        asked_until_ms = world.resumed_s * 1_000 + _QUERY_TIMEOUT_MS
        assert all(
            answer.is_completed for answer in world.answers if answer.sent_ms > asked_until_ms
        )


@pytest.mark.parametrize("waking", list(Waking))
@pytest.mark.parametrize("seed", _SEEDS)
class TestNoSuccessor:
    """Nobody has acquired the zone, or nobody who has can be reached: callers are served."""

    def test_isolated_box(self, seed: int, waking: Waking) -> None:
        """The owner continues without any answer, at most one query timeout later."""
        world = run_in_settled_zones(
            ResumedOwnerWorld,
            seed,
            partial(_pause_isolated_box, waking=waking),
            are_births_known=True,
        )
        (answer,) = world.answers
        assert answer.is_completed
        assert _duration_ms(answer) <= TASK_MS + _QUERY_TIMEOUT_MS + _OVERHEAD_MS

    def test_isolated_zone(self, seed: int, waking: Waking) -> None:
        """The answer of the other box in the zone does not make the wait longer."""
        world = run_in_settled_zones(
            ResumedOwnerWorld,
            seed,
            partial(_pause_isolated_zone, waking=waking),
            are_births_known=True,
        )
        (answer,) = world.answers
        assert answer.is_completed
        assert _duration_ms(answer) <= TASK_MS + _QUERY_TIMEOUT_MS + _OVERHEAD_MS

    def test_all_reachable(self, seed: int, waking: Waking) -> None:
        """If all boxes answer, the wait is that of a round trip."""
        world = run_in_settled_zones(
            ResumedOwnerWorld, seed, partial(_pause_zone, waking=waking), are_births_known=True
        )
        (answer,) = world.answers
        assert answer.is_completed
        assert _duration_ms(answer) <= TASK_MS + _OVERHEAD_MS

    def test_shorter_pause(self, seed: int, waking: Waking) -> None:
        """Nothing is asked after a pause in which no other box can have acquired the zone."""
        world = run_in_settled_zones(
            ResumedOwnerWorld, seed, partial(_pause_shortly, waking=waking), are_births_known=True
        )
        (answer,) = world.answers
        assert answer.is_completed
        assert world.queries == []
        assert _duration_ms(answer) <= TASK_MS + _OVERHEAD_MS


@pytest.mark.parametrize("waking", list(Waking))
@pytest.mark.parametrize("seed", _SEEDS)
class TestTwoResumedOwners:
    """Both owners resume at once and ask each other."""

    def test_one_remains(self, seed: int, waking: Waking) -> None:
        """The owner with the lower token follows the other; the jobs of both boxes complete."""

        async def scenario(world: ResumedOwnerWorld) -> None:
            await _resume_two_owners(world, waking)
            owners = [box.elector.owner for box in world.owners() if box.zone == ZONES[0]]
            assert [owner is not None and owner.is_valid for owner in owners] == [True]

        world = run_in_settled_zones(ResumedOwnerWorld, seed, scenario, are_births_known=True)
        assert [answer.is_completed for answer in world.answers] == [True, True]
        assert world.doubled == []

    def test_cut_from_each_other(self, seed: int, waking: Waking) -> None:
        """Owners that reach no other box both serve their callers: neither waits for the other."""
        world = run_in_settled_zones(
            ResumedOwnerWorld,
            seed,
            partial(_resume_two_separate_owners, waking=waking),
            are_births_known=True,
        )
        assert [answer.is_completed for answer in world.answers] == [True, True]


@pytest.mark.parametrize("seed", _SEEDS)
class TestSoundSystem:
    """An owner that is not paused."""

    def test_nothing_is_asked(self, seed: int) -> None:
        """No query is sent, and no start waits."""

        async def scenario(world: ResumedOwnerWorld) -> None:
            world.queries.clear()
            owner, other = world.boxes_in(ZONES[0])
            for box in (owner, other):
                await world.call(box, JOB, 1, TASK_MS, NEVER_MS)

        world = run_in_settled_zones(ResumedOwnerWorld, seed, scenario, are_births_known=True)
        assert world.queries == []
        assert all(answer.is_completed for answer in world.answers)
        assert max(map(_duration_ms, world.answers)) <= TASK_MS + _OVERHEAD_MS
