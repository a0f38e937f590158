# SPDX-License-Identifier: MIT
"""Own interface: a task of a live endpoint that is started a second time.

A lost connection and an unreadable answer count as a crash of the endpoint.
"""

from __future__ import annotations

import asyncio
import itertools
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest
from aiohttp import web

from foldloom.clock import monotonic_ms
from foldloom.metrics import Metrics
from foldloom.static_peers.endpoints.adapter import EndpointAdapter
from foldloom.static_peers.entry.requests import JobRequest
from foldloom.static_peers.entry.run import JobRun, RunContext
from foldloom.static_peers.placement.retries import RetryBudget
from test_entry_run import _ImmediateSlots

_TASK_S = 0.3
_RESET_AFTER_S = 0.05
_ANSWER_BYTES = 10
_ANSWER_MAX_BYTES = 1_000
_DEADLINE_MS = 3_000


class _Endpoint:
    """An endpoint that runs tasks to their end, whatever becomes of the connection."""

    def __init__(self, answer_bytes: int, resets: bool) -> None:
        self.starts = 0
        self.ends = 0
        self.most_running = 0
        self._answer = "x" * answer_bytes
        self._resets = resets
        self._running: set[asyncio.Task[None]] = set()

    async def handle(self, request: web.Request) -> web.Response:
        """Start a task; the connection may be reset while it runs."""
        if request.path.endswith("/stop"):
            return web.Response()
        call = await request.json()
        self.starts += 1
        task = asyncio.create_task(self._run())
        self._running.add(task)
        self.most_running = max(self.most_running, len(self._running))
        if self._resets and self.starts == 1:
            await asyncio.sleep(_RESET_AFTER_S)
            assert request.transport is not None
            request.transport.abort()
            return web.Response()
        await asyncio.shield(task)
        return web.json_response({"attempt": call["attempt"], "answer": self._answer})

    async def _run(self) -> None:
        await asyncio.sleep(_TASK_S)
        self.ends += 1
        task = asyncio.current_task()
        assert task is not None
        self._running.discard(task)


async def _play(endpoint: _Endpoint, is_repeatable: bool) -> Any:
    app = web.Application()
    app.router.add_route("*", "/{path:.*}", endpoint.handle)
    runner = web.AppRunner(app)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = runner.addresses[0][1]
    limits = SimpleNamespace(connections_per_endpoint=8, answer_max_bytes=_ANSWER_MAX_BYTES)
    settings: Any = SimpleNamespace(endpoint_ca_file="", limits=limits)
    adapter = EndpointAdapter(settings)
    await adapter.start()
    service = {"workers": ["*"], "concurrency_max": 0, "restart": "after-worker-death"}
    endpoints = {"w1": {"endpoint": f"http://127.0.0.1:{port}", "state": "active"}}
    config: Any = SimpleNamespace(services={"svc": service}, endpoints=endpoints)
    context = RunContext(
        attempt_prefix="b1-1",
        attempt_numbers=itertools.count(1),
        adapter=adapter,
        slots=_ImmediateSlots(),
        budget=RetryBudget(0.1),
        metrics=Metrics(),
        config=lambda: config,
        leaving=frozenset,
    )
    request = JobRequest("svc", "c", is_repeatable, _DEADLINE_MS, [msgspec.Raw(b"1")], "")
    result = await JobRun(context, "job", request, monotonic_ms() + _DEADLINE_MS).execute()
    await adapter.stop()
    await runner.cleanup()
    return result


class TestLiveEndpoint:
    """The endpoint has not crashed; the task may be repeated only after a crash."""

    @pytest.mark.parametrize("is_repeatable", [False, True])
    def test_reset_connection(self, is_repeatable: bool) -> None:
        """Known to fail if repeatable, see KNOWN-RED.txt: the task runs on beside the second."""
        endpoint = _Endpoint(_ANSWER_BYTES, resets=True)
        asyncio.run(_play(endpoint, is_repeatable))
        assert (endpoint.starts, endpoint.most_running) == (1, 1)

    @pytest.mark.parametrize("is_repeatable", [False, True])
    def test_large_answer(self, is_repeatable: bool) -> None:
        """Known to fail if repeatable, see KNOWN-RED.txt: the task has ended and runs again."""
        endpoint = _Endpoint(_ANSWER_MAX_BYTES * 5, resets=False)
        asyncio.run(_play(endpoint, is_repeatable))
        assert (endpoint.starts, endpoint.ends) == (1, 1)
