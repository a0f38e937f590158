# SPDX-License-Identifier: MIT
"""Blocking calls in daemon threads, which a process does not wait for when it exits."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent.futures import Future
from functools import partial
from queue import SimpleQueue
from threading import Thread
from typing import TypeVar

_ResultT = TypeVar("_ResultT")
_Calls = SimpleQueue[Callable[[], None] | None]


class DaemonThread:
    """A thread for blocking calls, one at a time, started by the first of them.

    The process can exit during a call, unlike with :func:`asyncio.to_thread`.

    Args:
        name: The name of the thread.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._calls: _Calls | None = None

    async def call(self, function: Callable[[], _ResultT]) -> _ResultT:
        """Return the result of *function*, which goes on if the caller is cancelled."""
        if self._calls is None:
            self._calls = SimpleQueue()
            Thread(target=_run, args=(self._calls,), name=self._name, daemon=True).start()
        future: Future[_ResultT] = Future()
        # From now on, a cancelled caller does not cancel the future, which the thread completes.
        future.set_running_or_notify_cancel()
        self._calls.put(partial(_complete, future, function))
        return await asyncio.wrap_future(future)

    def close(self) -> None:
        """End the thread once the calls made so far have ended; a later one starts another."""
        if self._calls is not None:
            self._calls.put(None)
            self._calls = None


async def call_in_daemon_thread(function: Callable[[], _ResultT], name: str) -> _ResultT:
    """Return the result of *function*, called in a daemon thread of its own called *name*.

    Starting a thread takes milliseconds on a busy box; frequent calls share a
    :class:`DaemonThread`.
    """
    thread = DaemonThread(name)
    try:
        return await thread.call(function)
    finally:
        thread.close()


def _run(calls: _Calls) -> None:
    while (call := calls.get()) is not None:
        call()


def _complete(future: Future[_ResultT], function: Callable[[], _ResultT]) -> None:
    try:
        future.set_result(function())
    except Exception as error:
        future.set_exception(error)
