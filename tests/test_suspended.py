# SPDX-License-Identifier: MIT
"""Boxes whose operating system is suspended, so that ``CLOCK_MONOTONIC`` falls behind.

Guards against peers dropping every later message of such a box as expired, because the clock
difference from which they compute a message's age has changed.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from platform_system import PlatformSystem, play, steps

_SUSPENDED_S = 3.0
# Time for a resumed box to catch up.
_RECOVERY_S = 4.0
_JOBS = 6


async def _suspend(system: PlatformSystem, name: str, seconds: float = _SUSPENDED_S) -> None:
    system.suspend(name)
    await asyncio.sleep(seconds)
    system.resume(name)


async def _submit_jobs(system: PlatformSystem, name: str, first_job: int) -> list[int]:
    """Submit jobs to a box one after another and return the statuses."""
    body = steps(2, ms=20, estimate_ms=500)
    return [(await system.submit(name, first_job + n, body, 2_000)).status for n in range(_JOBS)]


class TestSuspendedEntryBox:
    """Entry boxes that are suspended and resumed."""

    @pytest.mark.parametrize("is_owner", [True, False])
    def test_it_serves_again(self, tmp_path: Path, is_owner: bool) -> None:
        """Jobs complete at every box after the owner or another box was suspended."""

        async def scenario(system: PlatformSystem) -> None:
            owner = system.owner()
            name = owner if is_owner else next(other for other in system.entries if other != owner)
            await _suspend(system, name)
            await asyncio.sleep(_RECOVERY_S)
            for first_job, entry in enumerate(system.entries):
                assert await _submit_jobs(system, entry, 100 * first_job) == [200] * _JOBS

        play(scenario, tmp_path)

    def test_twice(self, tmp_path: Path) -> None:
        """The box recovers from a second suspension as it does from the first."""

        async def scenario(system: PlatformSystem) -> None:
            for first_job in (0, 100):
                await _suspend(system, "e0", 1.5)
                await asyncio.sleep(_RECOVERY_S)
                assert await _submit_jobs(system, "e0", first_job) == [200] * _JOBS

        play(scenario, tmp_path)

    def test_a_whole_zone_at_once(self, tmp_path: Path) -> None:
        """All entry boxes of a zone are suspended at once and recover."""

        async def scenario(system: PlatformSystem) -> None:
            await asyncio.gather(*(_suspend(system, name) for name in system.entries))
            await asyncio.sleep(_RECOVERY_S)
            for first_job, entry in enumerate(system.entries):
                assert await _submit_jobs(system, entry, 100 * first_job) == [200] * _JOBS

        play(scenario, tmp_path)


class TestPausedGuest:
    """A paused virtual machine: every clock except the time of day stops.

    Peers take its messages for expired until a reply to one of their own bounds the clock skew.
    """

    def test_it_serves_again(self, tmp_path: Path) -> None:
        """Jobs complete at the resumed box and at the others."""

        async def scenario(system: PlatformSystem) -> None:
            await _suspend(system, "e0")
            await asyncio.sleep(_RECOVERY_S)
            for first_job, entry in enumerate(system.entries):
                assert await _submit_jobs(system, entry, 100 * first_job) == [200] * _JOBS

        play(scenario, tmp_path, boot_clock_stops=True)

    def test_controllers(self, tmp_path: Path) -> None:
        """A configuration is acknowledged after two of three controllers were paused in turn."""

        async def scenario(system: PlatformSystem) -> None:
            for name in ("c0", "c1"):
                await _suspend(system, name)
                await asyncio.sleep(_RECOVERY_S)
            started_s = time.monotonic()
            await system.until(lambda: system.configure(2), "version 2 is acknowledged")
            assert time.monotonic() - started_s < _RECOVERY_S

        play(scenario, tmp_path, controllers=3, boot_clock_stops=True)


class TestSuspendedControllers:
    """Controllers that are suspended and resumed."""

    def test_two_of_three_in_turn(self, tmp_path: Path) -> None:
        """Every controller acknowledges a configuration within the recovery time."""

        async def scenario(system: PlatformSystem) -> None:
            for name in ("c0", "c1"):
                await _suspend(system, name)
                await asyncio.sleep(_RECOVERY_S)
            for version, controller in enumerate(system.controllers, 2):
                started_s = time.monotonic()
                await system.until(
                    lambda version=version, controller=controller: system.configure(
                        version, controller
                    ),
                    f"version {version} is acknowledged by {controller}",
                )
                assert time.monotonic() - started_s < _RECOVERY_S

        play(scenario, tmp_path, controllers=3)


class TestDeadlineWhileSuspended:
    """A job whose deadline expires while its box is suspended."""

    def test_it_is_answered_at_once(self, tmp_path: Path) -> None:
        """The job gets a 504 as soon as the box resumes."""

        async def scenario(system: PlatformSystem) -> None:
            body = steps(1, ms=5_000, estimate_ms=1_000)
            waiting = asyncio.create_task(system.submit("e0", 1, body, 1_500))
            await asyncio.sleep(0.2)
            await _suspend(system, "e0")
            resumed_s = time.monotonic()
            answer = await waiting
            assert answer.status == 504
            assert time.monotonic() - resumed_s < 0.6

        play(scenario, tmp_path)


class TestLogged:
    """Suspensions in the log of the suspended box."""

    def test_a_pause_tells_it(self, tmp_path: Path) -> None:
        """The event has the duration of the pause and the part missing from the monotonic clock."""

        async def scenario(system: PlatformSystem) -> None:
            await _suspend(system, "e0", 1.0)
            await asyncio.sleep(0.5)
            pauses = system.events("e0", "process.paused")
            longest = max(pauses, key=lambda event: event["paused_ms"])
            assert 900 <= longest["paused_ms"] < 2_000
            assert longest["suspended_ms"] >= 900
            assert longest["processor_ms"] < 500

        play(scenario, tmp_path)
