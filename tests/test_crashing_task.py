# SPDX-License-Identifier: MIT
"""A task that crashes each endpoint that starts it, which is back after some seconds.

Seen: one such task crashed an endpoint after the other until its deadline and was answered 504,
after which its caller sends it again. Work is placed on one endpoint until it is full, so the
neighbours of the task crashed with it, were placed anew beside it, and crashed again: for 3 s next
to no job of other callers was completed, and some were answered 504.

Cause: nothing counted crashes. A run that was lost with its endpoint was started again whatever had
become of it, with no bound but the deadline, and beside whatever ran elsewhere. The logs had
``run.retried cause=lapsed failures=0`` once for each endpoint; ``endpoint.crashed`` counts now.
"""

from __future__ import annotations

import asyncio
import itertools
from pathlib import Path

import pytest

from platform_system import Answer, PlatformSystem, crashing_steps, job_id, play, steps

_CRASHING = 9_000
# Endpoints that may crash under a task before it is given up.
_CRASHES_MAX = 3
_CALLERS = 3


async def _submit_until_over(
    system: PlatformSystem, entry: str, numbers: itertools.count[int], is_over: asyncio.Event
) -> list[Answer]:
    """Hand short jobs in, one after the other, and return the answers."""
    answers = []
    while not is_over.is_set():
        body = steps(2, ms=50, estimate_ms=500, cpu_milli=2_000)
        answers.append(await system.submit(entry, next(numbers), body))
    return answers


async def _submit_crashing_job(
    system: PlatformSystem, crash_ms: int
) -> tuple[Answer, list[Answer]]:
    """Hand the crashing job in beside the callers; return its answer and theirs."""
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
    """The endpoint crashes before it answers the order, or soon after."""

    def test_it_is_given_up(self, tmp_path: Path, crash_ms: int) -> None:
        """Its job fails before its deadline, and its neighbours are completed, every one."""

        async def scenario(system: PlatformSystem) -> None:
            answer, others = await _submit_crashing_job(system, crash_ms)
            assert (answer.status, answer.fields) == (200, {"state": "failed"})
            assert _crashes(system) <= _CRASHES_MAX
            assert [one.status for one in others] == [200] * len(others)

        play(scenario, tmp_path, endpoints=6)

    def test_handed_in_again(self, tmp_path: Path, crash_ms: int) -> None:
        """The same job again, at another box of the zone, crashes nothing more."""

        async def scenario(system: PlatformSystem) -> None:
            first, _ = await _submit_crashing_job(system, crash_ms)
            crashes = _crashes(system)
            again = await system.submit("e1", _CRASHING, crashing_steps(crash_ms))
            assert first.fields == again.fields == {"state": "failed"}
            assert _crashes(system) == crashes

        play(scenario, tmp_path, endpoints=6)
