# SPDX-License-Identifier: MIT
"""Execution of one job: reaching its deadline, and repeated endpoint failures."""

from __future__ import annotations

import asyncio
import itertools
from types import SimpleNamespace
from typing import Any

import msgspec
from expression import Error

from foldloom.clock import monotonic_ms
from foldloom.metrics import Metrics
from foldloom.static_peers.entry.requests import JobRequest
from foldloom.static_peers.entry.run import JobRun, RunContext
from foldloom.static_peers.placement.messages import SlotOutcome
from foldloom.static_peers.placement.retries import RetryBudget
from foldloom.static_peers.placement.slots import Slot, SlotWaiter
from foldloom.verdicts import Run, may_have_run

_TIMEOUT_MS = 50.0


class _ImmediateSlots:
    """A slot source that grants every request immediately."""

    def open_waiter(
        self, service: str, customer: str, deadline_ms: float, job_tasks: int
    ) -> SlotWaiter:
        """Return a new waiter."""
        return SlotWaiter(1, service, customer, deadline_ms, job_tasks)

    def request(self, waiter: SlotWaiter, count: int) -> None:
        """Grant *count* slots."""
        now_ms = monotonic_ms()
        for lease in range(count):
            slot = Slot(lease, "w1", waiter.service, waiter.customer, now_ms, now_ms + 1_000)
            waiter.arrivals.put_nowait(slot)

    def close(self, waiter: SlotWaiter) -> None:
        """Do nothing."""

    def release(self, slot: Slot, service_ms: float, use: SlotOutcome) -> None:
        """Do nothing."""


class _TimeoutAdapter:
    """An adapter whose attempts time out 5 ms before the job's deadline."""

    async def start_task(
        self, _url: str, _job: str, _index: int, _call: Any, remaining_ms: float
    ) -> Any:
        """Return a timeout."""
        await asyncio.sleep((remaining_ms - 5) / 1_000)
        return Error(may_have_run("worker-timeout", "no whole answer by the deadline"))

    async def stop_task(self, _url: str, _job: str, _index: int) -> None:
        """Do nothing."""


class _LostEndpointAdapter(_TimeoutAdapter):
    """An adapter whose endpoints fail during every attempt."""

    def __init__(self) -> None:
        self.starts = 0

    async def start_task(
        self, _url: str, _job: str, _index: int, _call: Any, _left_ms: float
    ) -> Any:
        """Return a lost connection."""
        self.starts += 1
        return Error(may_have_run("worker-lost", "ServerDisconnectedError"))


def _execute(
    adapter: Any, timeout_ms: float, restart: str = "never", repeatable: bool = False
) -> Any:
    """Return the result of a job with one task whose endpoint is called by *adapter*."""

    async def run_job() -> Any:
        service = {"workers": ["*"], "concurrency_max": 0, "restart": restart}
        endpoints = {"w1": {"endpoint": "http://w1", "state": "active"}}
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
        request = JobRequest("svc", "c", repeatable, int(timeout_ms), [msgspec.Raw(b"1")], "")
        return await JobRun(context, "job", request, monotonic_ms() + timeout_ms).execute()

    return asyncio.run(run_job())


class TestDeadline:
    """Attempts share the job's deadline; either timer may fire first."""

    def test_attempt_times_out_first(self) -> None:
        """An attempt that times out first still fails the job with 504, not 502."""
        result = _execute(_TimeoutAdapter(), _TIMEOUT_MS)
        assert result.is_error()
        problem = result.error
        assert (problem.status, problem.run, problem.reason) == (504, Run.MAY_HAVE_RUN, "deadline")


class TestEndpointFailures:
    """Retries of a task whose endpoints fail, for a service that allows such retries."""

    def test_fails_after_two_endpoint_failures(self) -> None:
        """The job fails after two endpoint failures, before its deadline or retry budget ends."""
        adapter = _LostEndpointAdapter()
        result = _execute(adapter, 60_000.0, "after-worker-death", repeatable=True)
        assert result.error.reason == "worker-lost"
        assert adapter.starts == 2
