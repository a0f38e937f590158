# SPDX-License-Identifier: MIT
"""Soak test of the platform's programs with owners that are paused while endpoints restart.

``FOLDLOOM_SOAK_SEEDS`` is the number of seeds, starting at ``FOLDLOOM_SOAK_FIRST``; each takes
about 30 s.
"""

from __future__ import annotations

import asyncio
import os
import random
import time
from pathlib import Path

import msgspec
import pytest

from cluster import free_port
from platform_system import job_id
from proxied_system import ProxiedSystem
from soak_callers import Operator
from soak_paused_owners import LongTaskCallers, PausedOwnersFaults
from standins.run_endpoint import RunEndpoint, Sightings
from test_soak import _SIZES, _check

_FIRST_SEED = int(os.environ.get("FOLDLOOM_SOAK_FIRST", "0"))
_SEEDS = int(os.environ.get("FOLDLOOM_SOAK_SEEDS", "1"))
# 1002, 1004: runs declared lost by an owner that knew no endpoint.
_REGRESSION_SEEDS = [1002, 1004]
_FAULTS = 12
# Enough for jobs at every box while callers wait for paused ones.
_CALLERS_PER_BOX = 5


async def _play(seed: int, system: ProxiedSystem) -> None:
    callers = LongTaskCallers(system, random.Random(f"{seed} paused owners callers"))
    operator = Operator(system, random.Random(f"{seed} paused owners operator"))
    faults = PausedOwnersFaults(system, random.Random(f"{seed} paused owners faults"))
    is_over = asyncio.Event()
    await asyncio.gather(
        callers.run(_CALLERS_PER_BOX * len(system.entries), is_over),
        operator.run(is_over),
        faults.run(_FAULTS, is_over),
    )
    await _check(seed, system, [callers], operator, faults)


@pytest.mark.parametrize("seed", [*_REGRESSION_SEEDS, *range(_FIRST_SEED, _FIRST_SEED + _SEEDS)])
class TestPausedOwnersSoak:
    """Guards against two runs of a task when owners are paused while the endpoints restart."""

    def test_the_promises_hold(self, tmp_path: Path, seed: int) -> None:
        """The guarantees hold, although the next owner may not know the earlier one's endpoints."""
        size = _SIZES[seed % len(_SIZES)]

        async def run() -> None:
            async with ProxiedSystem(
                tmp_path,
                size.entries,
                size.endpoints,
                size.controllers,
                size.zones,
                random.Random(f"{seed} links"),
            ) as system:
                await _play(seed, system)

        asyncio.run(run())


_HOST = "127.0.0.1"
# Lease of the start order; longer than the test.
_LEASE_S = 60.0
# Enough for the order to be executed.
_TURNS_MAX = 20


class TestStoppedEndpoint:
    """Guards against an endpoint stand-in that executes start orders after its end."""

    def test_request_in_progress(self) -> None:
        """A start order that was received just before the end is executed before it or never."""
        for turns in range(_TURNS_MAX):
            assert not asyncio.run(_runs_after_stop(turns))


async def _runs_after_stop(turns: int) -> int:
    """Stop an endpoint some turns of the event loop after an order was sent; return its runs."""
    endpoint = RunEndpoint("w", _HOST, free_port(), "a", Sightings())
    await endpoint.start([f"{_HOST}:{free_port()}"])
    host, _, port = endpoint.address.partition(":")
    _, writer = await asyncio.open_connection(host, int(port))
    writer.write(_start_order())
    for _ in range(turns):
        await asyncio.sleep(0)
    await endpoint.stop()
    writer.close()
    return len(endpoint.simulated.active)


def _start_order() -> bytes:
    """Return the request of a start order."""
    order = {
        "task": f"{job_id(1)}.0.0.0",
        "run_id": 1,
        "fencing_token": 1,
        "until_ms": (time.monotonic() + _LEASE_S) * 1_000,
        "spec": "{}",
    }
    body = msgspec.json.encode(order)
    lines = [
        "POST /foldloom/run-start HTTP/1.1",
        f"Host: {_HOST}",
        "X-Foldloom-Expected-Instance: w",
        f"Content-Length: {len(body)}",
        "",
        "",
    ]
    return "\r\n".join(lines).encode() + body
