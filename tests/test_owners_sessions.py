# SPDX-License-Identifier: MIT
"""A box must be notified of a renewed session, since the owner has dropped its runs."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from foldloom.exceptions import PeerUnreachableError
from foldloom.seed_discovery.jobs.spec import RunId, TaskId
from foldloom.seed_discovery.owners.messages import (
    EndCause,
    EndsNoted,
    RunEnd,
    RunsEnded,
    SessionBegan,
    StartOrdered,
    TaskCrashes,
)
from foldloom.seed_discovery.owners.sessions import Sessions
from foldloom.seed_discovery.scheduling.crashes import CrashCount
from foldloom.seed_discovery.scheduling.runs import HolderId

_HOLDER = HolderId("e1", 1)
_TOKEN = 7
_SESSION_MS = 400.0
_TASK = TaskId("a" * 16, 0, 0, 0)


class _Network:
    """Fake box that loses the first *lost* messages and records the others."""

    def __init__(self, lost: int = 0) -> None:
        self.received: list[Any] = []
        self._lost = lost

    async def request(self, _box: str, message: Any, _timeout_ms: float) -> Any:
        """Acknowledge the message, or lose it."""
        if self._lost:
            self._lost -= 1
            raise PeerUnreachableError
        self.received.append(message)
        return EndsNoted()


def _sessions(network: Any) -> Sessions:
    return Sessions("z", _TOKEN, network, _SESSION_MS)


def _run(test: Coroutine[Any, Any, None]) -> None:
    asyncio.run(test)


class TestLapsedSessions:
    """A session that lapsed and was renewed with the same owner."""

    def test_first_session_is_not_announced(self) -> None:
        """The first session with a box is not announced."""

        async def play() -> None:
            network = _Network()
            sessions = _sessions(network)
            sessions.grant(_HOLDER, 0.0)
            await asyncio.sleep(0)
            sessions.close()
            assert network.received == []

        _run(play())

    def test_announced_before_any_end(self) -> None:
        """A renewed session is announced before any end, also after a lost message."""

        async def play() -> None:
            network = _Network(lost=1)
            sessions = _sessions(network)
            sessions.grant(_HOLDER, 0.0)
            assert [right.holder for right in sessions.end_lapsed(_SESSION_MS)] == [_HOLDER]
            sessions.grant(_HOLDER, 1_000.0)
            end = RunEnd(RunId(TaskId("a" * 16, 0, 0, 0), 1), EndCause.DONE)
            sessions.queue_end(_HOLDER, end)
            await asyncio.sleep(0.01)
            sessions.close()
            assert network.received == [SessionBegan("z", _TOKEN), RunsEnded("z", [end], _TOKEN)]

        _run(play())

    def test_another_life_is_another_box(self) -> None:
        """The first session with a new incarnation is not announced."""

        async def play() -> None:
            network = _Network()
            sessions = _sessions(network)
            sessions.grant(_HOLDER, 0.0)
            sessions.end_lapsed(_SESSION_MS)
            sessions.grant(_HOLDER._replace(incarnation=2), 1_000.0)
            await asyncio.sleep(0)
            sessions.close()
            assert network.received == []

        _run(play())


class TestCrashReports:
    """Crash counts go to all boxes: any of them may deliver the task to another owner."""

    def test_every_box_is_told(self) -> None:
        """A count reaches each box once, also after a lost message."""

        async def play() -> None:
            network = _Network(lost=1)
            sessions = _sessions(network)
            sessions.grant(_HOLDER, 0.0)
            sessions.grant(HolderId("e2", 1), 0.0)
            report = TaskCrashes(_TASK, CrashCount(1, 1))
            sessions.queue_for_all(report)
            await asyncio.sleep(0.01)
            sessions.close()
            assert network.received == [RunsEnded("z", [], _TOKEN, (report,))] * 2

        _run(play())


class TestStarts:
    """Start orders, of which a box must know if their owner ends."""

    def test_order_is_sent_at_once(self) -> None:
        """The answer to the order needs no message of its own."""

        async def play() -> None:
            network = _Network()
            sessions = _sessions(network)
            sessions.grant(_HOLDER, 0.0)
            run_id = RunId(TaskId("a" * 16, 0, 0, 0), 1)
            ordered, answered = (StartOrdered(run_id, "w1", is_it) for is_it in (False, True))
            sessions.queue_start(_HOLDER, ordered)
            await asyncio.sleep(0.01)
            sessions.queue_start(_HOLDER, answered)
            await asyncio.sleep(0.01)
            orders = RunsEnded("z", [], _TOKEN, starts=(ordered,))
            assert network.received == [orders]
            end = RunEnd(run_id, EndCause.DONE)
            sessions.queue_end(_HOLDER, end)
            await asyncio.sleep(0.01)
            sessions.close()
            assert network.received == [orders, RunsEnded("z", [end], _TOKEN, starts=(answered,))]

        _run(play())

    def test_order_of_the_owners_box(self) -> None:
        """It is told apart from the orders for the box's own runs."""

        async def play() -> None:
            network = _Network()
            sessions = _sessions(network)
            sessions.grant(_HOLDER, 0.0)
            run_id = RunId(TaskId("a" * 16, 0, 0, 0), 1)
            ordered, answered = (StartOrdered(run_id, "w1", is_it) for is_it in (False, True))
            sessions.queue_owner_start(_HOLDER, ordered)
            await asyncio.sleep(0.01)
            sessions.queue_owner_start(_HOLDER, answered)
            await asyncio.sleep(0.01)
            sessions.close()
            assert network.received == [RunsEnded("z", [], _TOKEN, owner_starts=(ordered,))]

        _run(play())
