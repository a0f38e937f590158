# SPDX-License-Identifier: MIT
"""Guards against tasks that outlive their set."""

from __future__ import annotations

import asyncio

from foldloom.tasks import TaskSet


class TestTaskSet:
    """Guards against tasks that outlive wait() or stop()."""

    def test_wait_includes_tasks_started_meanwhile(self) -> None:
        """wait() also waits for tasks that a running task starts."""
        ended = []

        async def scenario() -> None:
            tasks = TaskSet()

            async def second() -> None:
                await asyncio.sleep(0.01)
                ended.append("second")

            async def first() -> None:
                tasks.spawn(second())
                ended.append("first")

            tasks.spawn(first())
            await tasks.wait()

        asyncio.run(scenario())
        assert ended == ["first", "second"]

    def test_stop_waits_for_what_is_cancelled(self) -> None:
        """stop() returns only after the cleanup of cancelled tasks."""
        ended = []

        async def scenario() -> None:
            tasks = TaskSet()

            async def run() -> None:
                try:
                    await asyncio.sleep(60)
                finally:
                    ended.append("cleaned up")

            tasks.spawn(run())
            await asyncio.sleep(0)
            await tasks.stop()

        asyncio.run(scenario())
        assert ended == ["cleaned up"]
