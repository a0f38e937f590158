# SPDX-License-Identifier: MIT
"""Boxes that are suspended by their machine: the steady clock leaves the time out.

Seen: an entry box that was suspended for 3 s completed no job any more, until it was restarted:
each waited for its deadline, while the other boxes completed all. Two of three controllers that
were suspended one after the other acknowledged no configuration any more.

Cause: a message's age is its sender's clock held against the receiver's, by the least difference
ever seen. ``CLOCK_MONOTONIC`` of a suspended machine falls back against all others, so all that it
sent looked as much older, for good, and was dropped as expired: the counter
``messages.dropped.expired`` of its peers rose with each of its messages, and nothing was logged.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from platform_system import PlatformSystem, play, steps

_SUSPENDED_S = 3.0
# Seconds after a resumed box is back by which it must serve: it catches up meanwhile.
_RECOVERY_S = 4.0
_JOBS = 6


async def _suspend(system: PlatformSystem, name: str, seconds: float = _SUSPENDED_S) -> None:
    system.suspend(name)
    await asyncio.sleep(seconds)
    system.resume(name)


async def _submit_jobs(system: PlatformSystem, name: str, first_job: int) -> list[int]:
    """Hand jobs in at a box, one after the other, and return the statuses."""
    body = steps(2, ms=20, estimate_ms=500)
    return [(await system.submit(name, first_job + n, body, 2_000)).status for n in range(_JOBS)]


class TestSuspendedEntryBox:
    """A box that was suspended serves again within seconds, and the others all the while."""

    @pytest.mark.parametrize("is_owner", [True, False])
    def test_it_serves_again(self, tmp_path: Path, is_owner: bool) -> None:
        """Jobs handed in there are completed, whether it owned its zone or not."""

        async def scenario(system: PlatformSystem) -> None:
            owner = system.owner()
            name = owner if is_owner else next(one for one in system.entries if one != owner)
            await _suspend(system, name)
            await asyncio.sleep(_RECOVERY_S)
            for first_job, entry in enumerate(system.entries):
                assert await _submit_jobs(system, entry, 100 * first_job) == [200] * _JOBS

        play(scenario, tmp_path)

    def test_twice(self, tmp_path: Path) -> None:
        """The second suspension is over as soon as the first_job."""

        async def scenario(system: PlatformSystem) -> None:
            for first_job in (0, 100):
                await _suspend(system, "e0", 1.5)
                await asyncio.sleep(_RECOVERY_S)
                assert await _submit_jobs(system, "e0", first_job) == [200] * _JOBS

        play(scenario, tmp_path)

    def test_a_whole_zone_at_once(self, tmp_path: Path) -> None:
        """All entry boxes stand still together, and serve again together."""

        async def scenario(system: PlatformSystem) -> None:
            await asyncio.gather(*(_suspend(system, name) for name in system.entries))
            await asyncio.sleep(_RECOVERY_S)
            for first_job, entry in enumerate(system.entries):
                assert await _submit_jobs(system, entry, 100 * first_job) == [200] * _JOBS

        play(scenario, tmp_path)


class TestPausedGuest:
    """A box of which every clock but the time of day stops, as that of a guest that is paused.

    Its peers see its clock fall back, for good. All that it sends then looks too old to them, until
    a reply to one of their own messages shows how old it can be.
    """

    def test_it_serves_again(self, tmp_path: Path) -> None:
        """Jobs handed in there are completed, and at the other boxes."""

        async def scenario(system: PlatformSystem) -> None:
            await _suspend(system, "e0")
            await asyncio.sleep(_RECOVERY_S)
            for first_job, entry in enumerate(system.entries):
                assert await _submit_jobs(system, entry, 100 * first_job) == [200] * _JOBS

        play(scenario, tmp_path, boot_clock_stops=True)

    def test_controllers(self, tmp_path: Path) -> None:
        """Two of three in turn: a configuration is acknowledged."""

        async def scenario(system: PlatformSystem) -> None:
            for name in ("c0", "c1"):
                await _suspend(system, name)
                await asyncio.sleep(_RECOVERY_S)
            started_s = time.monotonic()
            await system.until(lambda: system.configure(2), "version 2 is acknowledged")
            assert time.monotonic() - started_s < _RECOVERY_S

        play(scenario, tmp_path, controllers=3, boot_clock_stops=True)


class TestSuspendedControllers:
    """Controllers that were suspended agree again."""

    def test_two_of_three_in_turn(self, tmp_path: Path) -> None:
        """A configuration is acknowledged by any controller within the bound of a change."""

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
    """A job whose deadline passes while its box is suspended is answered at once afterwards."""

    def test_it_is_answered_at_once(self, tmp_path: Path) -> None:
        """The job had 1.5 s; its box was suspended for 3 s soon after it arrived."""

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
    """On-call engineers see a suspension in the log of the box itself."""

    def test_a_pause_tells_it(self, tmp_path: Path) -> None:
        """The pause is as long as the suspension, and says how much the steady clock left out."""

        async def scenario(system: PlatformSystem) -> None:
            await _suspend(system, "e0", 1.0)
            await asyncio.sleep(0.5)
            pauses = system.events("e0", "process.paused")
            longest = max(pauses, key=lambda event: event["paused_ms"])
            assert 900 <= longest["paused_ms"] < 2_000
            assert longest["suspended_ms"] >= 900
            assert longest["processor_ms"] < 500

        play(scenario, tmp_path)
