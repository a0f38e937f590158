# SPDX-License-Identifier: MIT
"""Soak tests of the platform's programs with connection faults among the others.

``FOLDLOOM_SOAK_SEEDS`` is the number of seeds, starting at ``FOLDLOOM_SOAK_FIRST``; each takes
about 30 s.
"""

from __future__ import annotations

import asyncio
import os
import random
from pathlib import Path

import pytest

from proxied_system import ProxiedSystem
from soak_links import LinkFaults
from test_soak import _SIZES, _play

_FIRST_SEED = int(os.environ.get("FOLDLOOM_SOAK_FIRST", "0"))
_SEEDS = int(os.environ.get("FOLDLOOM_SOAK_SEEDS", "2"))
# 102: a connection that goes silent during its handshake.
_REGRESSION_SEEDS = [102]


@pytest.mark.parametrize("seed", [*_REGRESSION_SEEDS, *range(_FIRST_SEED, _FIRST_SEED + _SEEDS)])
class TestSoakOfLinks:
    """Guards the guarantees under connection and process faults."""

    def test_the_promises_hold(
        self, tmp_path: Path, seed: int, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Refused jobs never run, completed ones are done, no task runs on two endpoints."""
        monkeypatch.setattr("test_soak.Faults", LinkFaults)
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
                await _play(seed, system, size)

        asyncio.run(run())
