# SPDX-License-Identifier: MIT
"""Sets of asyncio tasks that hold strong references until the tasks end.

The event loop itself keeps only weak references to tasks.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any


class TaskSet:
    """The running tasks of one component."""

    def __init__(self) -> None:
        # A dict as an ordered set: tasks are cancelled in the order in which they were started.
        self._tasks: dict[asyncio.Task[Any], None] = {}

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a task for *coroutine*."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks[task] = None
        task.add_done_callback(self._tasks.pop)
        return task

    def cancel(self) -> None:
        """Cancel every task without waiting for it to end."""
        for task in list(self._tasks):
            task.cancel()

    async def stop(self) -> None:
        """Cancel every task and wait until all of them have ended."""
        tasks = list(self._tasks)
        self.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def wait(self) -> None:
        """Wait until every task has ended, including tasks started meanwhile."""
        while self._tasks:
            await asyncio.wait(list(self._tasks))
