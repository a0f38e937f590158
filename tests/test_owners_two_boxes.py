# SPDX-License-Identifier: MIT
"""Guards against refusing a job that runs for another box under the same id."""

from __future__ import annotations

import asyncio
import random

from foldloom.seed_discovery.jobs.spec import Job
from models.endpoint_world import SimulatedEndpoint
from models.standing_boxes import StandingZonesWorld
from models.virtual_time import TurnsLoop, run_in_virtual_time
from models.zones_world import ZONES, Answer
from test_owners_renewed_session import EndlessEndpoint

_JOB = "c" * 16
_SEED = 1
_SETTLE_S = 1.0
_TASK_MS = 1_600.0
# Times after the first submission: of the second one, and of the first caller's disconnect.
_SECOND_S, _LEAVES_S = 0.3, 0.39
# How long other jobs fill the zones, and when after the first submission they end.
_FULL_S, _FREE_AFTER_S = 0.5, 0.34
# Deadline of the first caller's job.
_SHORT_DEADLINE_MS = 400.0
_NEVER_MS = 1e5


def _answers() -> tuple[list[Answer], bool]:
    """Return the answers for the job, and whether its task started."""
    loop = TurnsLoop(random.Random(_SEED))
    random.seed(_SEED)

    async def play() -> tuple[list[Answer], bool]:
        world = StandingZonesWorld(_SEED, loop)
        await asyncio.sleep(_SETTLE_S)
        first, second = [name for name, one in world.boxes.items() if one.zone == ZONES[0]][:2]
        whole: dict[str, SimulatedEndpoint] = dict(world.endpoints)
        world.endpoints.update({name: EndlessEndpoint(name, 0.98) for name in whole})
        # Both zones are full until shortly after the second submission.
        blockers = [
            asyncio.create_task(
                world.call(box, number * 16, 60, _TASK_MS, leave_ms=_FULL_S * 1_000)
            )
            for box, number in zip(world.boxes, "1234", strict=False)
        ]
        await asyncio.sleep(_FULL_S - _FREE_AFTER_S)
        plan = world.plan_job

        def plan_short(job_id: str, tasks: int, task_ms: float) -> tuple[Job, float]:
            return plan(job_id, tasks, task_ms)[0], _SHORT_DEADLINE_MS

        world.plan_job = plan_short  # type: ignore[method-assign]
        one = asyncio.create_task(world.call(first, _JOB, 1, _TASK_MS, leave_ms=_LEAVES_S * 1_000))
        await asyncio.sleep(_SECOND_S)
        world.plan_job = plan  # type: ignore[method-assign]
        two = asyncio.create_task(world.call(second, _JOB, 1, _TASK_MS, leave_ms=_NEVER_MS))
        await asyncio.gather(one, two, *blockers)
        return [one for one in world.answers if one.job_id == _JOB], _JOB in world.starts

    result: tuple[list[Answer], bool] = run_in_virtual_time(play(), loop)
    return result


class TestTwoBoxes:
    """The second box's deadline is later than the end of the owner's record for the first."""

    def test_what_runs_for_the_second_is_not_refused(self) -> None:
        """The run is active when the second box cancels the job."""
        answers, has_started = _answers()
        assert has_started
        assert not any(one.is_refused for one in answers), answers
