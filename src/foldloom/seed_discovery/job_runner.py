# SPDX-License-Identifier: MIT
"""Execution of a non-durable job, from its submission to its single result.

Owns the jobs running on this box; a duplicate submission attaches to the running job. The owner
client delivers runs and returns their ends. This module decides on task retries and on the
cancellation of a job.
"""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import NamedTuple

from expression import Error, Ok, Result

from foldloom.clock import monotonic_ms
from foldloom.logs import ENTRY_LOG
from foldloom.metrics import Metrics
from foldloom.seed_discovery.jobs.queues import Queue
from foldloom.seed_discovery.jobs.spec import Job, Step, TaskId
from foldloom.seed_discovery.owners.client import OwnerClient
from foldloom.seed_discovery.owners.messages import (
    EndCause,
    Objective,
    RunEnd,
    RunOrder,
    SubmitRuns,
    SubmitStatus,
)
from foldloom.seed_discovery.owners.open_job import OpenJob
from foldloom.seed_discovery.scheduling.crashes import exceeds_crash_limit
from foldloom.time_limits import SuspendAwareTimeout
from foldloom.verdicts import Problem, Run, may_have_run, not_run

# About the duration of an owner failover.
_RETRY_AFTER_MS = 500


class JobState(Enum):
    """The final state of an executed job."""

    COMPLETED = "completed"
    FAILED = "failed"


class JobEnd(NamedTuple):
    """The end of an executed job; ``reason`` is set if it failed."""

    state: JobState
    reason: str = ""


JobResult = Result[JobEnd, Problem]
"""A job's end, or a problem, which states whether any task may have run."""


def outcome_of(result: JobResult) -> str:
    """Return the name of *result* in logs and counters."""
    if result.is_ok():
        return result.ok.state.value
    return "refused" if result.error.run is Run.NOT_RUN else "expired"


def reason_of(result: JobResult) -> str:
    """Return the reason for *result*, or an empty string."""
    return result.ok.reason if result.is_ok() else result.error.reason


class _TaskAttempts:
    """The latest attempt of a task, and its number of failures."""

    __slots__ = ("attempt", "failures")

    def __init__(self) -> None:
        self.attempt = 1
        self.failures = 0


class JobRunner:
    """Runs one job.

    Args:
        job: The job.
        queue: The queue that it was submitted to.
        client: The client of the zone owners.
        deadline_ms: When the job is cancelled; own monotonic clock.
    """

    def __init__(self, job: Job, queue: Queue, client: OwnerClient, deadline_ms: float) -> None:
        self._job = job
        self._queue = queue
        self._client = client
        self._deadline_ms = deadline_ms
        self._open_job = OpenJob(job.job_id)
        self._templates: dict[int, SubmitRuns] = {}
        self._attempts: dict[TaskId, _TaskAttempts] = {}
        self._remaining_tasks = [step.tasks for step in job.steps]

    async def run(self) -> JobResult:
        """Run the job and return its result; runs that remain are stopped."""
        ENTRY_LOG.event(
            "job.accepted",
            job=self._job.job_id,
            queue=self._queue.name,
            service=self._queue.service,
            steps=len(self._job.steps),
            tasks=sum(step.tasks for step in self._job.steps),
            estimate_ms=int(self._critical_path_ms()),
            objective_ms=int(self._queue.objective_ms(self._critical_path_ms())),
            deadline_in_ms=int(self._deadline_ms - self._open_job.began_ms),
        )
        result = await self._run()
        ENTRY_LOG.event(
            "job.ended",
            job=self._job.job_id,
            outcome=outcome_of(result),
            reason=reason_of(result),
            retry_after_ms=0 if result.is_ok() else result.error.retry_after_ms,
            took_ms=int(monotonic_ms() - self._open_job.began_ms),
            tasks_left=sum(self._remaining_tasks),
        )
        return result

    async def _run(self) -> JobResult:
        try:
            return await self._run_until_deadline()
        except asyncio.CancelledError:
            # No caller is waiting any more, or a planned stop has timed out; this may interrupt a
            # cancellation at an owner.
            return Error(may_have_run("given up"))
        finally:
            self._client.cancel_in_background(self._open_job)

    async def _run_until_deadline(self) -> JobResult:
        try:
            async with SuspendAwareTimeout(self._deadline_ms - monotonic_ms()):
                return await self._run_steps()
        except TimeoutError:
            # The deadline may interrupt any await in _run_steps.
            return await self._cancel("deadline", _RETRY_AFTER_MS)

    async def _run_steps(self) -> JobResult:
        refusal = await self._start_ready_steps()
        while refusal is None and any(self._remaining_tasks):
            end = await self._open_job.ends.get()
            if end.cause is EndCause.DONE:
                refusal = await self._on_run_done(end)
            elif end.cause is EndCause.UNATTAINABLE:
                refusal = await self._cancel("too late", _RETRY_AFTER_MS)
            else:
                refusal = await self._on_run_failed(end)
        return Ok(JobEnd(JobState.COMPLETED)) if refusal is None else refusal

    async def _start_ready_steps(self) -> JobResult | None:
        for number, step in enumerate(self._job.steps):
            if number in self._templates or any(
                self._remaining_tasks[dependency] for dependency in step.depends_on
            ):
                continue
            self._templates[number] = self._template(step)
            orders = [RunOrder(number, task, 1) for task in range(step.tasks)]
            refusal = await self._submit(number, orders)
            if refusal is not None:
                return refusal
        return None

    async def _on_run_done(self, end: RunEnd) -> JobResult | None:
        step = end.run_id.task.step
        self._remaining_tasks[step] -= 1
        if self._remaining_tasks[step]:
            return None
        return await self._start_ready_steps()

    async def _on_run_failed(self, end: RunEnd) -> JobResult | None:
        """Retry the task of a failed or lost run, or fail the job."""
        task = end.run_id.task
        if exceeds_crash_limit(end.crashes):
            return Ok(JobEnd(JobState.FAILED, "a task crashes its endpoints"))
        attempts = self._attempts.setdefault(task, _TaskAttempts())
        if end.cause in (EndCause.FAILED, EndCause.REFUSED):
            attempts.failures += 1
        if attempts.failures >= self._queue.attempts_max:
            return Ok(JobEnd(JobState.FAILED, f"a task failed {attempts.failures} times"))
        attempts.attempt = max(attempts.attempt, end.run_id.attempt) + 1
        ENTRY_LOG.event(
            "run.retried",
            job=self._job.job_id,
            run=end.run_id.text,
            endpoint=end.endpoint,
            cause=end.cause.label,
            failures=attempts.failures,
            failures_max=self._queue.attempts_max,
            next_run=attempts.attempt,
        )
        order = RunOrder(task.step, task.position, attempts.attempt, crashes=end.crashes)
        return await self._submit(task.step, [order])

    async def _submit(self, step: int, orders: list[RunOrder]) -> JobResult | None:
        reply = await self._client.submit(self._open_job, self._templates[step], orders)
        if reply.status is SubmitStatus.REFUSED:
            return await self._cancel(reply.reason, reply.retry_after_ms)
        return None

    async def _cancel(self, reason: str, retry_after_ms: int) -> JobResult:
        """Cancel the job; report ``not_run`` only if every contacted owner confirms it."""
        if await self._client.cancel_and_wait(self._open_job):
            return Error(may_have_run(reason))
        return Error(not_run(reason, retry_after_ms=retry_after_ms))

    def _template(self, step: Step) -> SubmitRuns:
        return SubmitRuns(
            token=0,
            job_id=self._job.job_id,
            repeat=0,
            queue=self._queue.name,
            service=self._queue.service,
            spec=self._job.spec,
            demand=step.demand,
            placement=step.placement,
            priority=self._queue.priority,
            tasks=step.tasks,
            estimate_ms=step.estimate_ms,
            objective=Objective(
                stretch=self._queue.stretch,
                slack_ms=self._queue.slack_ms,
                other_steps_ms=int(self._critical_path_ms() - step.estimate_ms),
            ),
            deadline_ms=int(self._deadline_ms - self._open_job.began_ms),
            old_right_ms=0,
            orders=[],
        )

    def _critical_path_ms(self) -> float:
        """Return the estimated duration of the longest chain of dependent steps."""
        ends: list[float] = []
        for step in self._job.steps:
            before = max((ends[dependency] for dependency in step.depends_on), default=0.0)
            ends.append(before + step.estimate_ms)
        return max(ends, default=0.0)


class JobRegistry:
    """The jobs running on this box; a duplicate submission attaches to the running job.

    Args:
        client: The client of the zone owners.
        metrics: This box's metrics.
    """

    def __init__(self, client: OwnerClient, metrics: Metrics) -> None:
        self._client = client
        self._metrics = metrics
        self._running: dict[str, asyncio.Task[JobResult]] = {}
        self._waiters: dict[str, int] = {}

    @property
    def running_count(self) -> int:
        """The number of running jobs."""
        return len(self._running)

    async def run(self, job: Job, queue: Queue, deadline_ms: float) -> JobResult:
        """Run *job*, or attach to it, and return its result; cancelled with its last caller."""
        began_ms = monotonic_ms()
        task = self._running.get(job.job_id)
        if task is None:
            runner = JobRunner(job, queue, self._client, deadline_ms)
            task = asyncio.create_task(runner.run())
            self._running[job.job_id] = task
            self._waiters[job.job_id] = 0
            self._metrics.count("jobs.submitted")
        else:
            ENTRY_LOG.event("job.attached", job=job.job_id, waiters=self._waiters[job.job_id])
        self._waiters[job.job_id] += 1
        try:
            result = await asyncio.shield(task)
        finally:
            self._release(job.job_id, task)
        outcome, reason = outcome_of(result), reason_of(result)
        self._metrics.count(f"jobs.{outcome}")
        self._metrics.timing(f"job_ms.{outcome}", monotonic_ms() - began_ms)
        if reason:
            self._metrics.count(f"jobs.{outcome}.{reason.replace(' ', '_')}")
        return result

    def cancel_all(self) -> None:
        """Cancel all jobs; each returns a problem with reason ``given up``."""
        for task in self._running.values():
            task.cancel()

    def _release(self, job_id: str, task: asyncio.Task[JobResult]) -> None:
        if self._running.get(job_id) is not task:
            return
        self._waiters[job_id] -= 1
        if self._waiters[job_id]:
            return
        del self._running[job_id], self._waiters[job_id]
        task.cancel()
