# SPDX-License-Identifier: MIT
"""Threads for blocking calls that must not hold up the end of their process."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from threading import Event, current_thread

import pytest

from foldloom.daemon_threads import DaemonThread, call_in_daemon_thread

_EXIT_S = 20.0


def _fail() -> None:
    raise OSError("disk")


class TestDaemonThread:
    """Calls in one thread, in turn."""

    def test_results(self) -> None:
        """A result or an error reaches the caller; a call after the end starts a new thread."""

        async def scenario() -> None:
            thread = DaemonThread("disk")
            first = await thread.call(current_thread)
            with pytest.raises(OSError, match="disk"):
                await thread.call(_fail)
            assert await thread.call(current_thread) is first
            thread.close()
            assert await thread.call(current_thread) is not first
            thread.close()
            first.join()

        asyncio.run(scenario())

    def test_cancelled_caller(self) -> None:
        """The call goes on, and the next one begins after it."""

        async def scenario() -> None:
            is_unblocked = Event()
            ended: list[int] = []

            def block() -> None:
                is_unblocked.wait()
                ended.append(1)

            thread = DaemonThread("disk")
            caller = asyncio.create_task(thread.call(block))
            await asyncio.sleep(0)
            caller.cancel()
            following = asyncio.create_task(thread.call(lambda: ended.append(2)))
            await asyncio.sleep(0)
            thread.close()
            assert caller.cancelled()
            is_unblocked.set()
            await following
            assert ended == [1, 2]

        asyncio.run(scenario())

    def test_the_process_exits(self) -> None:
        """A blocked call does not hold up the exit, as one of asyncio's executor would."""
        program = (
            "import asyncio, time\n"
            "from foldloom.daemon_threads import call_in_daemon_thread\n"
            "async def run():\n"
            "    call = call_in_daemon_thread(lambda: time.sleep(60.0), 'disk')\n"
            "    await asyncio.wait([asyncio.create_task(call)], timeout=0.1)\n"
            "asyncio.run(run())\n"
        )
        subprocess.run([sys.executable, "-c", program], timeout=_EXIT_S, check=True)

    def test_single_call(self) -> None:
        """The thread has the given name."""
        thread = asyncio.run(call_in_daemon_thread(current_thread, "cache"))
        assert thread.name == "cache"
        assert thread.daemon
