# SPDX-License-Identifier: MIT
"""A task on two endpoints: its job was submitted again while its first submission was open.

The connection of the first caller has gone silent, so the caller submits the same id at another
box. Nothing is paused or lost. Simulated zones.
"""

from __future__ import annotations

import pytest

from models.second_submissions import JOB, TASK_MS, SecondSubmissionWorld, run_scenario
from models.zones_world import ZONES


def _describe(world: SecondSubmissionWorld) -> str:
    """Return where and when the job's runs started."""
    starts = [start for of_job in world.starts.values() for start in of_job]
    return "; ".join(
        f"run {start.run_id.text} on {start.endpoint}, "
        f"{start.at_ms - world.second_ms:.0f} ms after the second submission"
        for start in starts
    )


def _check_one_run(world: SecondSubmissionWorld) -> None:
    """Check that the job's task was on one endpoint at a time, and that all jobs completed."""
    assert world.doubled == [], _describe(world)
    assert all(answer.is_completed for answer in world.answers)


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("is_owner", [False, True])
class TestSoundZone:
    """The zone can run the job when it is submitted again."""

    def test_submitted_at_another_box(self, seed: int, is_owner: bool) -> None:
        """The second submission attaches to the run at the owner of the zone."""

        async def play(world: SecondSubmissionWorld) -> None:
            first, second = (world.box(ZONES[0], is_owner=one) for one in (not is_owner, is_owner))
            await world.submit_twice(first, second)

        world = run_scenario(seed, play)
        _check_one_run(world)
        assert world.started_in == [ZONES[0]]

    def test_first_caller_has_left(self, seed: int, is_owner: bool) -> None:
        """The run of the first submission is stopped before the task starts again."""

        async def play(world: SecondSubmissionWorld) -> None:
            first, second = (world.box(ZONES[0], is_owner=one) for one in (not is_owner, is_owner))
            await world.submit_twice(first, second, first_leaves_ms=30.0)

        world = run_scenario(seed, play)
        assert world.doubled == [], _describe(world)
        assert world.answers[-1].is_completed


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("is_owner", [False, True])
class TestDrainingZone:
    """All endpoints of the zone drain while its task runs on one of them."""

    def test_submitted_at_another_box(self, seed: int, is_owner: bool) -> None:
        """Known to fail, see KNOWN-RED.txt: the box delivers the job to another zone."""

        async def play(world: SecondSubmissionWorld) -> None:
            first, second = (world.box(ZONES[0], is_owner=one) for one in (not is_owner, is_owner))
            await world.submit_twice_while_draining(first, second)

        world = run_scenario(seed, play)
        _check_one_run(world)
        assert world.started_in == [ZONES[0]]


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("is_owner", [False, True])
class TestMovedRun:
    """The owner of the zone, which had no room, has moved the run to another zone."""

    def test_submitted_at_another_box(self, seed: int, is_owner: bool) -> None:
        """The owner, which has room again, doesn't start a run that it has moved."""

        async def play(world: SecondSubmissionWorld) -> None:
            first, second = (world.box(ZONES[0], is_owner=one) for one in (not is_owner, is_owner))
            await world.submit_twice_after_move(first, second)

        world = run_scenario(seed, play)
        _check_one_run(world)
        assert world.started_in == [ZONES[1]]

    def test_submitted_after_its_end(self, seed: int, is_owner: bool) -> None:
        """The run has ended in the other zone, which starts the task again."""

        async def play(world: SecondSubmissionWorld) -> None:
            first, second = (world.box(ZONES[0], is_owner=one) for one in (not is_owner, is_owner))
            await world.submit_twice_after_move(first, second, after_s=2 * TASK_MS / 1_000)

        world = run_scenario(seed, play)
        _check_one_run(world)
        assert world.started_in == [ZONES[1], ZONES[1]]


@pytest.mark.parametrize("seed", range(8))
class TestUnnoticedMove:
    """The box of the moved run is lost before it learns of the move, and doesn't deliver it."""

    def test_killed(self, seed: int) -> None:
        """The box of the second submission delivers the run to the other zone."""
        world = run_scenario(seed, lambda world: world.submit_twice_and_lose_move(is_killed=True))
        assert world.doubled == [], _describe(world)
        assert world.started_in == [ZONES[1]]
        assert [answer.is_completed for answer in world.answers if answer.job_id == JOB] == [
            False,
            True,
        ]

    def test_cut_off_until_its_session_has_expired(self, seed: int) -> None:
        """The box delivers the run to the first zone again, which doesn't start it either."""
        world = run_scenario(seed, lambda world: world.submit_twice_and_lose_move(is_killed=False))
        _check_one_run(world)
        assert world.started_in == [ZONES[1]]


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("is_owner", [False, True])
class TestOtherZone:
    """The second submission is at a box of another zone."""

    def test_submitted_in_the_other_zone(self, seed: int, is_owner: bool) -> None:
        """Known to fail, see KNOWN-RED.txt: the owner of that zone knows nothing of the run."""

        async def play(world: SecondSubmissionWorld) -> None:
            first = world.box(ZONES[0], is_owner=False)
            await world.submit_twice(first, world.box(ZONES[1], is_owner))

        _check_one_run(run_scenario(seed, play))
