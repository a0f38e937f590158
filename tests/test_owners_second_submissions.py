# SPDX-License-Identifier: MIT
"""A task on two endpoints: its job was submitted again while its first submission was open.

The connection of the first caller has gone silent, so the caller submits the same id at another
box. Nothing is paused or lost. Simulated zones.
"""

from __future__ import annotations

import pytest

from models.second_submissions import SecondSubmissionWorld, run_scenario
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
        """Known to fail, see KNOWN-RED.txt: the owner starts a run that it has moved."""

        async def play(world: SecondSubmissionWorld) -> None:
            first, second = (world.box(ZONES[0], is_owner=one) for one in (not is_owner, is_owner))
            await world.submit_twice_after_move(first, second)

        world = run_scenario(seed, play)
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
