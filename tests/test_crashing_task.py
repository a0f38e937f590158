# SPDX-License-Identifier: MIT
"""A task that crashes every endpoint that starts it; the endpoints restart after some seconds.

Guards against unlimited restarts of such a task, which crash the runs beside it again and again.
"""

from __future__ import annotations

import asyncio
import itertools
from pathlib import Path

import pytest

from foldloom.seed_discovery.jobs.spec import TaskId
from platform_system import Answer, PlatformSystem, crashing_steps, job_id, play, steps

_CRASHING = 9_000
# Endpoint crashes after which a task is given up.
_CRASHES_MAX = 3
_CALLERS = 3
# Longer than any test.
_NEVER_S = 100.0
# Until the restarted endpoints are polled again.
_SETTLED_S = 1.5


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


@pytest.mark.parametrize("births", [False, True])
class TestStartInFlight:
    """An endpoint crashes while a start order of a healthy task is in flight to it."""

    def test_it_runs_elsewhere(self, tmp_path: Path, births: bool) -> None:
        """The job completes on another endpoint, before the crashed one restarts."""

        async def scenario(system: PlatformSystem) -> None:
            if births:
                await _restart_with_births(system)
            for endpoint in system.endpoints:
                endpoint.starts_late_s = _NEVER_S
            answer = asyncio.create_task(system.submit("e0", 1, steps(1, estimate_ms=500)))
            name = await _placed_on(system, job_id(1))
            for endpoint in system.endpoints:
                endpoint.starts_late_s = 0.0
                if endpoint.name == name:
                    endpoint.crash(TaskId(job_id(1), 0, 0, 0))
            assert (await answer).status == 200

        play(scenario, tmp_path)


async def _restart_with_births(system: PlatformSystem) -> None:
    """Replace each endpoint by its next incarnation under the same id, which reports its birth."""
    for number, endpoint in enumerate(system.endpoints):
        await endpoint.stop()
        system.endpoints[number] = endpoint.next_incarnation_same_id()
        await system.endpoints[number].start(system.control_addresses)
    known = [f"w{number}" for number in range(len(system.endpoints))]

    async def are_known() -> bool:
        began = system.events(system.owner(), "endpoint.began_again")
        return {event["endpoint"] for event in began} >= set(known)

    await system.until(are_known, "the owner knows the births")
    await asyncio.sleep(_SETTLED_S)


async def _placed_on(system: PlatformSystem, job: str) -> str:
    """Return the endpoint to which the start order of *job* was sent."""
    placed = []

    async def is_placed() -> bool:
        events = [event for name in system.entries for event in system.events(name, "run.placed")]
        placed[:] = [event["endpoint"] for event in events if event["job"] == job]
        return bool(placed)

    await system.until(is_placed, "the start order is in flight")
    return placed[0]
