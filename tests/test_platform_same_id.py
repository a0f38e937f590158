# SPDX-License-Identifier: MIT
"""Endpoints that restart under the same id.

Guards against dropping a new incarnation's reports because their sequence numbers restart.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

from platform_system import PlatformSystem, play
from soak_same_id import call_until, restart_and_drain, restart_at

# Serving time of each incarnation.
_SERVING_S = 1.8
_FIRST_SERVING_S = 4.0
# Least number of tasks started on the second incarnation.
_STARTS_MIN = 50


class TestSecondLife:
    """An endpoint that crashes and restarts at once, with its counters reset."""

    def test_it_serves_and_leaves(self, tmp_path: Path) -> None:
        """The second incarnation gets tasks, and none after its draining report."""

        async def scenario(system: PlatformSystem) -> None:
            first = await restart_at(system, 0)
            stop_calling = asyncio.Event()
            calling = asyncio.create_task(call_until(system, stop_calling))
            await asyncio.sleep(_FIRST_SERVING_S)
            stop_calling.set()
            await calling
            second = await restart_and_drain(system, _SERVING_S)
            assert second.is_draining_known
            assert not second.late_starts
            started_before = second.starts - second.starts_after_draining
            assert started_before >= _STARTS_MIN, f"{started_before} tasks; {first.starts} before"

        play(scenario, tmp_path)
