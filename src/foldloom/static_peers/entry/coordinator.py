# SPDX-License-Identifier: MIT
"""A caller's job from its arrival to its one response: claim, run or follow, answer.

Owns the tasks of the jobs that arrived here. Relies on the claim for who may run a job, and on the
table of jobs for what was answered. Decides which job is refused at once.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from foldloom.clock import monotonic_ms
from foldloom.logs import CLAIM_LOG, ENTRY_LOG
from foldloom.settings import Settings
from foldloom.static_peers.claims.acquire import AcquireResult, Acquisition, ClaimAcquirer
from foldloom.static_peers.claims.messages import Claim
from foldloom.static_peers.entry.follow import CONFLICT, Followed, FollowEnd, JobFollower
from foldloom.static_peers.entry.jobs import (
    Job,
    JobState,
    JobTable,
    Response,
    complete_response,
    problem_response,
)
from foldloom.static_peers.entry.lookup import RETRY_AFTER_MS, no_quorum_problem
from foldloom.static_peers.entry.requests import JobRequest
from foldloom.static_peers.entry.run import JobRun, RunContext
from foldloom.tasks import TaskSet
from foldloom.verdicts import Problem, Verdict, may_have_run, not_run

# How often a claim is tried whose votes were split between boxes, because each try waits longer, so
# that one of two boxes wins.
_CLAIM_ATTEMPTS_MAX = 4
# Seconds until the first try after a split vote, drawn between these two and doubled: a few round
# trips between zones.
_BACKOFF_MIN_S = 0.002
# The longest such pause.
_BACKOFF_MAX_S = 0.02
# Milliseconds after which a caller refused by a box that stops should come back: any other box can
# take the job at once.
_STOPPING_RETRY_AFTER_MS = 100


class Coordinator:
    """Bring the jobs that arrive at this box to their answers.

    Args:
        settings: This box's settings.
        acquirer: Gets claims for this box.
        follower: Follows jobs on other boxes.
        jobs: This box's jobs.
        context: What its runs share.
        is_stopping: Returns whether a planned stop began.
    """

    def __init__(
        self,
        settings: Settings,
        acquirer: ClaimAcquirer,
        follower: JobFollower,
        jobs: JobTable,
        context: RunContext,
        is_stopping: Callable[[], bool],
    ) -> None:
        self._settings = settings
        self._acquirer = acquirer
        self._follower = follower
        self._jobs = jobs
        self._context = context
        self._metrics = context.metrics
        self._is_stopping = is_stopping
        self._tasks = TaskSet()

    async def submit(self, submission: str, request: JobRequest) -> Response:
        """Return the one response of *submission*; the same call again gets the same one."""
        self._metrics.count("jobs.submitted")
        job = self._jobs.get(submission)
        if job is not None and (job.is_open or job.state is JobState.DONE):
            if job.digest != request.digest:
                return self._problem_response(submission, CONFLICT)
            ENTRY_LOG.info("Job {} is known here: attach.", submission)
        else:
            job = self._jobs.start(submission, request.digest)
            self._tasks.spawn(self._serve(job, request))
        await job.wait_finished()
        assert job.response is not None
        return job.response

    async def finish_all(self) -> None:
        """Return when no job of this box is open."""
        await self._tasks.wait()

    async def _serve(self, job: Job, request: JobRequest) -> None:
        """Bring *job* to its response; it goes on when the caller has left."""
        try:
            await self._claim_and_run(job, request)
        except Exception:
            ENTRY_LOG.exception("Job {}: an internal error.", job.submission)
            problem = may_have_run("internal-error", "see the box's log", status=500)
            self._finish(job, JobState.DONE, self._problem_response(job.submission, problem))

    async def _claim_and_run(self, job: Job, request: JobRequest) -> None:
        started_ms = monotonic_ms()
        deadline_ms = started_ms + request.deadline_ms
        result = None
        for _ in range(_CLAIM_ATTEMPTS_MAX):
            result = await self._acquirer.acquire(job.submission, job.digest, job.attempt)
            if result.how is Acquisition.WON:
                self._metrics.timing("claim_ms", monotonic_ms() - started_ms)
                await self._run(job, request, started_ms, deadline_ms)
                return
            CLAIM_LOG.info(
                "Job {}: claim {} ({}).", job.submission, result.how.value, result.detail
            )
            job.enter_state(JobState.FOLLOWING)
            self._acquirer.withdraw(job.submission, job.attempt)
            response = await self._follow_holders(job, result, deadline_ms)
            if response is not None:
                self._finish(job, JobState.FOLLOWING, response)
                return
            await asyncio.sleep(random.uniform(_BACKOFF_MIN_S, _BACKOFF_MAX_S))
            job.claim_again()
        job.enter_state(JobState.FOLLOWING)
        detail = "" if result is None else result.detail
        response = self._problem_response(
            job.submission, no_quorum_problem(job.submission, self._settings.zone, detail)
        )
        self._finish(job, JobState.FOLLOWING, response)

    async def _follow_holders(
        self, job: Job, result: AcquireResult, deadline_ms: float
    ) -> Response | None:
        """Return another coordinator's response, or ``None`` if every claim met is withdrawn."""
        for holder in result.holders:
            followed = await self._follow(job, holder, deadline_ms)
            if followed.end is FollowEnd.RESPONSE:
                return followed.response
            self._acquirer.release_held(job.submission, holder)
        return None

    async def _follow(self, job: Job, holder: Claim, deadline_ms: float) -> Followed:
        if self._acquirer.is_own(holder):
            # An earlier attempt of this box: it started nothing, else the job were known here.
            return Followed(FollowEnd.RELEASED, None)
        ENTRY_LOG.info("Job {}: follow it on {}.", job.submission, holder.coordinator)
        return await self._follower.follow(job.submission, job.digest, holder, deadline_ms)

    async def _run(
        self, job: Job, request: JobRequest, started_ms: float, deadline_ms: float
    ) -> None:
        """Run a job that holds its claim; withdraw the claim if nothing started."""
        refusal = self._admission_problem()
        if refusal is not None:
            self._withdraw(job, refusal)
            return
        self._jobs.run(job)
        run = JobRun(self._context, job.submission, request, deadline_ms)
        result = await run.execute()
        if result.is_error():
            if result.error.verdict is Verdict.REFUSED:
                self._withdraw(job, result.error)
                return
            ENTRY_LOG.info("Job {} failed: {}.", job.submission, result.error.reason)
            self._metrics.count(f"jobs.failed.{result.error.reason}")
            self._finish(job, JobState.DONE, self._problem_response(job.submission, result.error))
            return
        elapsed_ms = monotonic_ms() - started_ms
        self._metrics.count("jobs.completed")
        self._metrics.timing("job_ms", elapsed_ms)
        if run.max_service_ms > 0:
            self._metrics.timing(
                "response_over_longest_permille", elapsed_ms / run.max_service_ms * 1000
            )
        ENTRY_LOG.info("Job {} is complete in {:.0f} ms.", job.submission, elapsed_ms)
        response = complete_response(job.submission, self._settings.zone, result.ok)
        self._finish(job, JobState.DONE, response)

    def _admission_problem(self) -> Problem | None:
        """Return why no job may begin on this box now, if so."""
        if self._is_stopping():
            return not_run("stopping", "this box is being stopped", _STOPPING_RETRY_AFTER_MS)
        if self._jobs.running_count >= self._settings.limits.jobs_in_flight_max:
            return not_run("too-many-jobs", "this box runs as many jobs as it may", RETRY_AFTER_MS)
        return None

    def _withdraw(self, job: Job, problem: Problem) -> None:
        """Refuse *job*: it holds the claim, so nothing of it ran anywhere."""
        self._acquirer.withdraw(job.submission, job.attempt)
        ENTRY_LOG.info("Job {} refused: {}.", job.submission, problem.reason)
        self._metrics.count(f"jobs.refused.{problem.reason}")
        self._finish(job, JobState.WITHDRAWN, self._problem_response(job.submission, problem))

    def _finish(self, job: Job, state: JobState, response: Response) -> None:
        self._jobs.finish(job, state, response)

    def _problem_response(self, submission: str, problem: Problem) -> Response:
        return problem_response(submission, self._settings.zone, problem)
