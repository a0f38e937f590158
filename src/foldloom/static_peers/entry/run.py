# SPDX-License-Identifier: MIT
"""Run a claimed job: acquire a slot for each task and start the task on its endpoint.

Owns the attempts of one job. :mod:`foldloom.static_peers.placement.retries` decides whether a
failed attempt may be retried.
"""

from __future__ import annotations

import asyncio
import itertools
from collections import Counter, deque
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec
from expression import Error, Ok, Result

from foldloom.clock import monotonic_ms
from foldloom.controllers.config import ACTIVE, Config, Service
from foldloom.logs import PLACE_LOG
from foldloom.metrics import Metrics
from foldloom.static_peers.endpoints.adapter import EndpointAdapter, TaskAnswer, TaskCall
from foldloom.static_peers.entry.requests import JobRequest
from foldloom.static_peers.placement.messages import SlotOutcome, SlotRefusal
from foldloom.static_peers.placement.retries import (
    RetryBudget,
    is_endpoint_crash,
    may_retry,
)
from foldloom.static_peers.placement.slots import Slot, SlotSource, SlotWaiter
from foldloom.time_limits import SuspendAwareTimeout
from foldloom.verdicts import Problem, Run, may_have_run, not_run

_RETRY_AFTER_MS = 500
# Delay before a slot is requested for a retry.
_RETRY_DELAY_S = 0.01
_SLOT_EXPIRED = "slot-expired"
_DEADLINE = may_have_run("deadline", "the job did not end in time", status=504)
_ATTEMPT_TIMEOUT = "worker-timeout"
# Not counted as endpoint failures; the lease manager detects overdue tasks itself.
_NON_ENDPOINT_FAULTS = (_SLOT_EXPIRED, _ATTEMPT_TIMEOUT)
# Strong references to the background stop calls until they end.
_STOP_TASKS: set[asyncio.Task[None]] = set()


class RunContext(NamedTuple):
    """Dependencies shared by all jobs of a box.

    Args:
        attempt_prefix: Prefix that makes attempt ids unique: box and incarnation.
        attempt_numbers: Numbers the attempts.
        adapter: Client for the endpoints.
        slots: Source of slots.
        budget: The box's retry budget.
        metrics: Counters.
        config: Returns the configuration in effect.
        leaving: Returns the endpoints that the platform lists as leaving.
    """

    attempt_prefix: str
    attempt_numbers: itertools.count[int]
    adapter: EndpointAdapter
    slots: SlotSource
    budget: RetryBudget
    metrics: Metrics
    config: Callable[[], Config]
    leaving: Callable[[], frozenset[str]]


class AttemptEnd(NamedTuple):
    """The result of one attempt at a task."""

    task_index: int
    result: Result[TaskAnswer, Problem]


class JobRun:
    """The execution of one job that holds its claim.

    Args:
        context: Dependencies shared by all jobs of the box.
        submission: The submission id.
        request: The job.
        deadline_ms: The job's deadline on this box's monotonic clock.
    """

    def __init__(
        self, context: RunContext, submission: str, request: JobRequest, deadline_ms: float
    ) -> None:
        self._context = context
        self._submission = submission
        self._request = request
        self._deadline_ms = deadline_ms
        self._service: Service | None = None
        self._pending = deque(range(len(request.payloads)))
        self._answers: list[msgspec.Raw | None] = [None] * len(request.payloads)
        self._unfinished = len(request.payloads)
        self._events: asyncio.Queue[Any] = asyncio.Queue()
        self._attempts: dict[asyncio.Task[Result[TaskAnswer, Problem]], tuple[int, str]] = {}
        self._endpoint_crashes: Counter[int] = Counter()
        self._possible_starts = 0
        self._max_service_ms = 0.0

    @property
    def max_service_ms(self) -> float:
        """The longest service time of a task so far, in milliseconds."""
        return self._max_service_ms

    async def execute(self) -> Result[list[msgspec.Raw], Problem]:
        """Run all tasks; return their answers in task order, or the problem that failed the job."""
        self._service = self._context.config().services.get(self._request.service)
        if self._service is None:
            detail = f"service: {self._request.service} is unknown"
            # Retryable: the service may be confirmed but not yet in effect on this box.
            return Error(not_run("unknown-service", detail, _RETRY_AFTER_MS, status=404))
        waiter = self._context.slots.open_waiter(
            self._request.service, self._request.customer, self._deadline_ms, self._unfinished
        )
        try:
            self._context.slots.request(waiter, self._unfinished)
            problem = await self._run_tasks(waiter)
        finally:
            self._context.slots.close(waiter)
        if problem is None:
            return Ok([answer for answer in self._answers if answer is not None])
        self._stop_attempts()
        return Error(self._for_whole_job(problem))

    async def _run_tasks(self, waiter: SlotWaiter) -> Problem | None:
        """Start tasks on arriving slots until all are answered or the job has failed."""
        self._events = waiter.arrivals
        while self._unfinished:
            event = await self._next_event()
            problem: Problem | None = _DEADLINE
            if isinstance(event, AttemptEnd):
                problem = await self._handle_end(event, waiter)
            elif event is not None:
                problem = self._handle_arrival(event, waiter)
            if problem is not None:
                return problem
        return None

    async def _next_event(self) -> Slot | SlotRefusal | AttemptEnd | None:
        """Return the next event, or ``None`` at the deadline."""
        if not self._events.empty():
            return self._events.get_nowait()
        try:
            async with SuspendAwareTimeout(self._deadline_ms - monotonic_ms()):
                return await self._events.get()
        except TimeoutError:
            # At the deadline, _run_tasks fails the job.
            return None

    def _return_unused(self, arrival: Slot | SlotRefusal) -> None:
        if isinstance(arrival, Slot):
            self._context.slots.release(arrival, 0.0, SlotOutcome.UNUSED)

    def _handle_arrival(self, arrival: Slot | SlotRefusal, waiter: SlotWaiter) -> Problem | None:
        if isinstance(arrival, SlotRefusal):
            detail = f"no slot for {len(self._pending)} tasks in time"
            self._context.metrics.count(f"refusals.{arrival.reason}")
            return not_run(arrival.reason, detail, arrival.retry_after_ms)
        if not self._pending:
            self._return_unused(arrival)
            return None
        url = self._usable_url(arrival)
        if not url:
            self._return_unused(arrival)
            self._context.slots.request(waiter, 1)
            return None
        index = self._pending.popleft()
        task = asyncio.create_task(self._attempt(index, arrival, url))
        self._attempts[task] = (index, url)
        task.add_done_callback(lambda ended: self._on_attempt_done(ended, index, arrival))
        return None

    def _usable_url(self, slot: Slot) -> str:
        """Return the base URL of the slot's endpoint, or '' if the slot must not be used now."""
        endpoint = self._context.config().endpoints.get(slot.endpoint)
        if endpoint is None or endpoint["state"] != ACTIVE:
            return ""
        if slot.endpoint in self._context.leaving() or monotonic_ms() >= slot.expires_ms:
            return ""
        return endpoint["endpoint"]

    async def _attempt(self, index: int, slot: Slot, url: str) -> Result[TaskAnswer, Problem]:
        """Make one attempt to run task *index*."""
        context = self._context
        now_ms = monotonic_ms()
        remaining_ms = self._deadline_ms - now_ms
        # Checked again here, so that a paused process starts no task on an expired slot.
        if remaining_ms <= 0 or now_ms >= slot.expires_ms:
            return Error(not_run(_SLOT_EXPIRED))
        attempt = f"{context.attempt_prefix}-{next(context.attempt_numbers)}"
        call = TaskCall(
            attempt=attempt,
            lease=slot.lease_id,
            service=self._request.service,
            member=self._request.customer,
            deadline_ms=int(remaining_ms),
            payload=self._request.payloads[index],
        )
        PLACE_LOG.info(
            "Starting task {}/{} on {} as attempt {} with lease {}.",
            self._submission,
            index,
            slot.endpoint,
            attempt,
            slot.lease_id,
        )
        self._possible_starts += 1
        context.budget.record_start()
        context.metrics.count("tasks.started")
        return await context.adapter.start_task(url, self._submission, index, call, remaining_ms)

    def _on_attempt_done(
        self, task: asyncio.Task[Result[TaskAnswer, Problem]], index: int, slot: Slot
    ) -> None:
        """Return the slot; queue the attempt's result unless it was cancelled."""
        self._attempts.pop(task, None)
        if task.cancelled():
            self._context.slots.release(slot, 0.0, SlotOutcome.UNUSED)
            return
        result = task.result()
        use, service_ms = _slot_use(result)
        self._context.slots.release(slot, service_ms, use)
        self._events.put_nowait(AttemptEnd(index, result))

    async def _handle_end(self, end: AttemptEnd, waiter: SlotWaiter) -> Problem | None:
        if end.result.is_ok():
            answer = end.result.ok
            self._answers[end.task_index] = answer.answer
            self._unfinished -= 1
            self._max_service_ms = max(self._max_service_ms, answer.service_ms)
            return None
        problem = end.result.error
        if problem.run is Run.NOT_RUN and problem.reason != _SLOT_EXPIRED:
            self._possible_starts -= 1
        assert self._service is not None
        self._context.metrics.count(f"attempts.{problem.reason}")
        if problem.reason == _ATTEMPT_TIMEOUT:
            # Attempts share the job's deadline, and their timer may fire first. The caller gets
            # 504 in either case.
            return _DEADLINE
        self._endpoint_crashes[end.task_index] += is_endpoint_crash(problem)
        crashes = self._endpoint_crashes[end.task_index]
        if not may_retry(problem, self._service, self._request.repeatable, crashes):
            return problem
        if not self._context.budget.consume():
            return problem._replace(detail=f"{problem.detail}; the retry budget is used up")
        PLACE_LOG.info("Retrying task {}/{}: {}.", self._submission, end.task_index, problem.reason)
        self._context.metrics.count("tasks.retried")
        await asyncio.sleep(_RETRY_DELAY_S)
        self._pending.appendleft(end.task_index)
        self._context.slots.request(waiter, 1)
        return None

    def _stop_attempts(self) -> None:
        """Cancel the running attempts of a failed job and send stop calls in the background."""
        stops = [
            self._context.adapter.stop_task(url, self._submission, index)
            for index, url in self._attempts.values()
        ]
        for attempt in list(self._attempts):
            attempt.cancel()
        for stop in stops:
            task = asyncio.create_task(stop)
            _STOP_TASKS.add(task)
            task.add_done_callback(_STOP_TASKS.discard)

    def _for_whole_job(self, problem: Problem) -> Problem:
        """Return *problem* with ``run`` set for the whole job instead of one attempt."""
        return problem._replace(run=Run.MAY_HAVE_RUN if self._possible_starts else Run.NOT_RUN)


def _slot_use(result: Result[TaskAnswer, Problem]) -> tuple[SlotOutcome, float]:
    """Return the slot use that an attempt's result implies, and its service time."""
    if result.is_ok():
        return SlotOutcome.DONE, result.ok.service_ms
    if result.error.reason in _NON_ENDPOINT_FAULTS:
        return SlotOutcome.UNUSED, 0.0
    if result.error.run is Run.NOT_RUN:
        return SlotOutcome.NOT_RUN, 0.0
    return SlotOutcome.FAILED, 0.0
