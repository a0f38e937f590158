# SPDX-License-Identifier: MIT
"""A soak of the real programs: faults drawn by seed, promises checked meanwhile and afterwards.

``FOLDLOOM_SOAK_SEEDS`` plays so many seeds from ``FOLDLOOM_SOAK_FIRST`` on; each takes about half a
minute. ``FOLDLOOM_SOAK_CROWDED=1`` plays them with many more processes than the machine has cores.
A seed draws the same faults again, but real processes meet them at other moments.
"""

from __future__ import annotations

import asyncio
import os
import random
import time
from pathlib import Path
from typing import NamedTuple

import pytest

from platform_system import PlatformSystem, steps
from soak_callers import END_OF_JOBS, Callers, Operator
from soak_faults import Faults

# Seconds until all is served again after the last fault.
_RECOVERED_S = 12.0
# Seconds after the last answer by which nothing of any job may run any more.
_GONE_S = 4.0
_FAULTS = 14


class _Size(NamedTuple):
    """How many of each there are."""

    zones: str
    controllers: int
    entries: int
    endpoints: int
    callers: int


# Every fourth seed has as many processes as a run beside other tests bears; by hand, more.
_SMALL = _Size("a", 3, 2, 3, 6)
_USUAL = _Size("ab", 3, 4, 6, 10)
_LARGE = _Size("abc", 3, 9, 12, 20)
_CROWDED = _Size("abc", 5, 40, 40, 40)
_SIZES = [_USUAL, _SMALL, _USUAL, _LARGE]


async def _is_served(system: PlatformSystem, numbers: list[int]) -> bool:
    """Return whether each entry process completes a job now."""
    for entry in system.entries:
        number = numbers.pop()
        answer = await system.submit(entry, number, steps(1, 20, estimate_ms=500), 1_500)
        if answer.status != 200:
            return False
    return True


async def _play(seed: int, system: PlatformSystem, size: _Size) -> None:
    callers = Callers(system, random.Random(f"{seed} callers"))
    operator = Operator(system, random.Random(f"{seed} operator"))
    faults = Faults(system, random.Random(f"{seed} faults"))
    is_over = asyncio.Event()
    await asyncio.gather(
        callers.run(size.callers, is_over), operator.run(is_over), faults.run(_FAULTS, is_over)
    )
    numbers = list(range(END_OF_JOBS, END_OF_JOBS + 10_000))
    recovering = time.monotonic()
    await system.until(lambda: _is_served(system, numbers), "all entry processes serve again")
    recovered_s = time.monotonic() - recovering
    await operator.change()
    await system.until(operator.read, "the configuration is read back")
    await asyncio.sleep(_GONE_S)
    running = [
        f"{task} still runs on {endpoint.name}"
        for endpoint in system.endpoints
        for task in endpoint.simulated.active
    ]
    ended = [
        f"{name} ended by itself"
        for name, process in system.processes.items()
        if process.returncode is not None
    ]
    print(f"seed {seed}: {', '.join(faults.log)}; {callers.summary()}; {recovered_s:.1f} s")
    broken = [
        *callers.broken_promises(),
        *operator.broken,
        *faults.broken,
        *running,
        *ended,
        *(f"{task} ran in two places" for task in system.sightings.doubled),
    ]
    assert not broken, "\n".join(broken)
    assert callers.completed
    assert recovered_s < _RECOVERED_S


_FIRST_SEED = int(os.environ.get("FOLDLOOM_SOAK_FIRST", "0"))
_SEEDS = int(os.environ.get("FOLDLOOM_SOAK_SEEDS", "4"))
# 127: an entry process stood still for 10 s while it stopped, and was ended; not traced.
_KEPT_SEEDS = [127]
_IS_CROWDED = bool(os.environ.get("FOLDLOOM_SOAK_CROWDED"))


@pytest.mark.parametrize("seed", [*_KEPT_SEEDS, *range(_FIRST_SEED, _FIRST_SEED + _SEEDS)])
class TestSoak:
    """Processes are stopped, killed, frozen; disks emptied; endpoints late, silent, replaced."""

    def test_the_promises_hold(self, tmp_path: Path, seed: int) -> None:
        """Refused is not run, completed is done, one task is in one place, all is served again."""
        size = _CROWDED if _IS_CROWDED else _SIZES[seed % len(_SIZES)]

        async def run() -> None:
            async with PlatformSystem(
                tmp_path, size.entries, size.endpoints, size.controllers, size.zones
            ) as system:
                await _play(seed, system, size)

        asyncio.run(run())
