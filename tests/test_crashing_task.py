# SPDX-License-Identifier: MIT
"""A task that crashes every endpoint that starts it; the endpoints restart after some seconds.

Guards against unlimited restarts of such a task, which crash the runs beside it again and again.
"""

from __future__ import annotations

import asyncio
import itertools
from pathlib import Path

import pytest

from platform_system import Answer, PlatformSystem, crashing_steps, job_id, play, steps

_CRASHING = 9_000
# Endpoint crashes after which a task is given up.
_CRASHES_MAX = 3
_CALLERS = 3


async def _submit_until_over(
    system: PlatformSystem, entry: str, numbers: itertools.count[int], is_over: asyncio.Event
) -> list[Answer]:
    """Submit short jobs one after the other; return the answers."""
    answers = []
    while not is_over.is_set():
        body = steps(2, ms=50, estimate_ms=500, cpu_milli=2_000)
        answers.append(await system.submit(entry, next(numbers), body))
    return answers


async def _submit_crashing_job(
    system: PlatformSystem, crash_ms: int
) -> tuple[Answer, list[Answer]]:
    """Submit the crashing job during a load of short jobs; return its answer and theirs."""
    numbers, is_over = itertools.count(1), asyncio.Event()
    callers = [
        asyncio.create_task(_submit_until_over(system, system.entries[n], numbers, is_over))
        for n in range(_CALLERS)
    ]
    await asyncio.sleep(0.5)
    answer = await system.submit("e0", _CRASHING, crashing_steps(crash_ms))
    await asyncio.sleep(0.5)
    is_over.set()
    return answer, [one for caller in callers for one in await caller]


def _crashes(system: PlatformSystem) -> int:
    return sum(
        count
        for task, count in system.sightings.crashes.items()
        if task.job_id == job_id(_CRASHING)
    )


@pytest.mark.parametrize("crash_ms", [0, 30])
class TestCrashingTask:
    """The endpoint crashes before it answers the start order, or soon after."""

    def test_it_is_given_up(self, tmp_path: Path, crash_ms: int) -> None:
        """The job fails before its deadline, and every other job completes."""

        async def scenario(system: PlatformSystem) -> None:
            answer, others = await _submit_crashing_job(system, crash_ms)
            assert (answer.status, answer.fields) == (200, {"state": "failed"})
            assert _crashes(system) <= _CRASHES_MAX
            assert [one.status for one in others] == [200] * len(others)

        play(scenario, tmp_path, endpoints=6)

    def test_submitted_again(self, tmp_path: Path, crash_ms: int) -> None:
        """Submitting the job again to another box of the zone causes no more crashes."""

        async def scenario(system: PlatformSystem) -> None:
            first, _ = await _submit_crashing_job(system, crash_ms)
            crashes = _crashes(system)
            again = await system.submit("e1", _CRASHING, crashing_steps(crash_ms))
            assert first.fields == again.fields == {"state": "failed"}
            assert _crashes(system) == crashes

        play(scenario, tmp_path, endpoints=6)
