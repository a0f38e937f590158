# SPDX-License-Identifier: MIT
"""Guards against refusing a job that runs for another box under the same id."""

from __future__ import annotations

import asyncio
import random

from foldloom.seed_discovery.jobs.spec import Job
from models.endpoint_world import SimulatedEndpoint
from models.standing_boxes import PausableZonesWorld
from models.virtual_time import PausableLoop, run_in_virtual_time
from models.zones_world import ZONES, Answer
from test_owners_renewed_session import EndlessEndpoint

_JOB = "c" * 16
_SEED = 1
_SETTLE_S = 1.0
_TASK_MS = 1_600.0
# Times after the first submission: of the second one, and of the first caller's disconnect.
_SECOND_S, _DISCONNECT_S = 0.3, 0.39
# Duration of the blocking jobs, and their end relative to the first submission.
_ZONES_FULL_S, _ZONES_FREE_AFTER_S = 0.5, 0.34
# Deadline of the first caller's job.
_SHORT_DEADLINE_MS = 400.0
_NEVER_MS = 1e5


def _run_scenario() -> tuple[list[Answer], bool]:
    """Return the answers for the job, and whether its task started."""
    loop = PausableLoop(random.Random(_SEED))
    random.seed(_SEED)

    async def play() -> tuple[list[Answer], bool]:
        world = PausableZonesWorld(_SEED, loop)
        await asyncio.sleep(_SETTLE_S)
        first, second = [name for name, box in world.boxes.items() if box.zone == ZONES[0]][:2]
        endpoints: dict[str, SimulatedEndpoint] = dict(world.endpoints)
        world.endpoints.update({name: EndlessEndpoint(name, 0.98) for name in endpoints})
        # Both zones are full until shortly after the second submission.
        blockers = [
            asyncio.create_task(
                world.call(box, number * 16, 60, _TASK_MS, leave_ms=_ZONES_FULL_S * 1_000)
            )
            for box, number in zip(world.boxes, "1234", strict=False)
        ]
        await asyncio.sleep(_ZONES_FULL_S - _ZONES_FREE_AFTER_S)
        plan = world.plan_job

        def plan_short(job_id: str, tasks: int, task_ms: float) -> tuple[Job, float]:
            return plan(job_id, tasks, task_ms)[0], _SHORT_DEADLINE_MS

        world.plan_job = plan_short  # type: ignore[method-assign]
        first_call = asyncio.create_task(
            world.call(first, _JOB, 1, _TASK_MS, leave_ms=_DISCONNECT_S * 1_000)
        )
        await asyncio.sleep(_SECOND_S)
        world.plan_job = plan  # type: ignore[method-assign]
        second_call = asyncio.create_task(world.call(second, _JOB, 1, _TASK_MS, leave_ms=_NEVER_MS))
        await asyncio.gather(first_call, second_call, *blockers)
        return [answer for answer in world.answers if answer.job_id == _JOB], _JOB in world.starts

    result: tuple[list[Answer], bool] = run_in_virtual_time(play(), loop)
    return result


class TestTwoBoxes:
    """The second box's deadline is later than the end of the owner's record for the first."""

    def test_what_runs_for_the_second_is_not_refused(self) -> None:
        """The run is active when the second box cancels the job."""
        answers, has_started = _run_scenario()
        assert has_started
        assert not any(answer.is_refused for answer in answers), answers
