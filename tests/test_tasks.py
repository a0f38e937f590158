# SPDX-License-Identifier: MIT
"""Tasks that a part has started."""

from __future__ import annotations

import asyncio

from foldloom.tasks import TaskSet


class TestTaskSet:
    """Start, wait, stop."""

    def test_wait_includes_tasks_started_meanwhile(self) -> None:
        """A task may start another one."""
        ended = []

        async def play() -> None:
            tasks = TaskSet()

            async def second() -> None:
                await asyncio.sleep(0.01)
                ended.append("second")

            async def first() -> None:
                tasks.spawn(second())
                ended.append("first")

            tasks.spawn(first())
            await tasks.wait()

        asyncio.run(play())
        assert ended == ["first", "second"]

    def test_stop_waits_for_what_is_cancelled(self) -> None:
        """What a task does on its way out is done when stop() returns."""
        ended = []

        async def play() -> None:
            tasks = TaskSet()

            async def run() -> None:
                try:
                    await asyncio.sleep(60)
                finally:
                    ended.append("cleaned up")

            tasks.spawn(run())
            await asyncio.sleep(0)
            await tasks.stop()

        asyncio.run(play())
        assert ended == ["cleaned up"]
