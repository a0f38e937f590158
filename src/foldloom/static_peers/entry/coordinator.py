# SPDX-License-Identifier: MIT
"""Process a job from submission to response: acquire the claim, then run or follow the job.

Owns the asyncio tasks of the jobs submitted to this box, and refuses jobs when the box is stopping
or at its job limit. The claim decides which box may run a job; the job table holds its response.
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

# Attempts without a quorum and without a conflicting claim: too few replicas can vote.
_NO_QUORUM_ATTEMPTS_MAX = 4
# Bounds of the random back-off between claim attempts.
_BACKOFF_MIN_S = 0.002
_BACKOFF_MAX_S = 0.02
# Short, because any other box accepts the job at once.
_STOPPING_RETRY_AFTER_MS = 100


class Coordinator:
    """Coordinates the jobs submitted to this box.

    Args:
        settings: This box's settings.
        acquirer: Acquires claims for this box.
        follower: Follows jobs that run on other boxes.
        jobs: The job table of this box.
        context: Dependencies shared by all job runs.
        is_stopping: Returns whether a planned stop has begun.
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
        """Return the response of *submission*; a resubmission gets the same response."""
        self._metrics.count("jobs.submitted")
        job = self._jobs.get(submission)
        if job is not None and (job.is_open or job.state is JobState.DONE):
            if job.digest != request.digest:
                return self._problem_response(submission, CONFLICT)
            ENTRY_LOG.info("Job {} exists on this box; attaching to it.", submission)
        else:
            job = self._jobs.start(submission, request.digest)
            self._tasks.spawn(self._serve(job, request))
        await job.wait_finished()
        assert job.response is not None
        return job.response

    async def wait_all_finished(self) -> None:
        """Wait until every job of this box has a response."""
        await self._tasks.wait()

    async def _serve(self, job: Job, request: JobRequest) -> None:
        """Process *job* up to its response, even if the caller disconnects."""
        try:
            await self._claim_and_run(job, request)
        except Exception:
            ENTRY_LOG.exception("Job {}: internal error.", job.submission)
            problem = may_have_run("internal-error", "see the box's log", status=500)
            self._finish(job, JobState.DONE, self._problem_response(job.submission, problem))

    async def _claim_and_run(self, job: Job, request: JobRequest) -> None:
        started_ms = monotonic_ms()
        deadline_ms = started_ms + request.deadline_ms
        no_quorum_count = 0
        while True:
            result = await self._acquirer.acquire(job.submission, job.digest, job.attempt)
            if result.outcome is Acquisition.WON:
                self._metrics.timing("claim_ms", monotonic_ms() - started_ms)
                await self._run(job, request, started_ms, deadline_ms)
                return
            CLAIM_LOG.info(
                "Job {}: claim {} ({}).", job.submission, result.outcome.value, result.detail
            )
            response = await self._follow_coordinators(job, result, deadline_ms)
            no_quorum_count += result.outcome is Acquisition.NO_QUORUM
            if response is None and (
                no_quorum_count >= _NO_QUORUM_ATTEMPTS_MAX or monotonic_ms() >= deadline_ms
            ):
                problem = no_quorum_problem(job.submission, self._settings.zone, result.detail)
                response = self._problem_response(job.submission, problem)
            if response is not None:
                if job.state is JobState.CLAIMING:
                    self._yield_claim(job)
                self._finish(job, JobState.FOLLOWING, response)
                return
            await asyncio.sleep(random.uniform(_BACKOFF_MIN_S, _BACKOFF_MAX_S))
            if job.state is JobState.FOLLOWING:
                job.claim_again()

    async def _follow_coordinators(
        self, job: Job, result: AcquireResult, deadline_ms: float
    ) -> Response | None:
        """Return another coordinator's response, or ``None`` if all claims met are withdrawn.

        Split votes are resolved by precedence: the coordinator whose claim should win keeps it and
        requests the votes again, the others withdraw their claims and follow it.
        """
        if not result.has_precedence:
            self._yield_claim(job)
        follows = [
            asyncio.create_task(self._follow(job, holder, deadline_ms))
            for holder in result.conflicting_claims
        ]
        try:
            return await first_response(follows, is_release_enough=result.has_precedence)
        finally:
            for follow in follows:
                follow.cancel()

    def _yield_claim(self, job: Job) -> None:
        """Withdraw the claim of *job*, whose attempt can't be won from now on."""
        job.enter_state(JobState.FOLLOWING)
        self._acquirer.withdraw(job.submission, job.attempt)

    async def _follow(self, job: Job, holder: Claim, deadline_ms: float) -> Followed:
        if self._acquirer.is_own(holder):
            # An earlier attempt of this box that started no task; otherwise the job table has it.
            return Followed(FollowEnd.RELEASED, None)
        ENTRY_LOG.info("Job {}: following it on {}.", job.submission, holder.coordinator)
        followed = await self._follower.follow(job.submission, job.digest, holder, deadline_ms)
        if followed.end is FollowEnd.RELEASED:
            self._acquirer.notify_withdrawn(job.submission, holder)
        return followed

    async def _run(
        self, job: Job, request: JobRequest, started_ms: float, deadline_ms: float
    ) -> None:
        """Run a job that holds its claim; withdraw the claim if no task started."""
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
        ENTRY_LOG.info("Job {} completed in {:.0f} ms.", job.submission, elapsed_ms)
        response = complete_response(job.submission, self._settings.zone, result.ok)
        self._finish(job, JobState.DONE, response)

    def _admission_problem(self) -> Problem | None:
        """Return the reason to refuse a new job now, or ``None`` to admit it."""
        if self._is_stopping():
            return not_run("stopping", "this box is being stopped", _STOPPING_RETRY_AFTER_MS)
        if self._jobs.running_count >= self._settings.limits.jobs_in_flight_max:
            return not_run("too-many-jobs", "this box runs as many jobs as it may", RETRY_AFTER_MS)
        return None

    def _withdraw(self, job: Job, problem: Problem) -> None:
        """Withdraw the claim and refuse *job*; none of its tasks has started on any box."""
        self._acquirer.withdraw(job.submission, job.attempt)
        ENTRY_LOG.info("Job {} refused: {}.", job.submission, problem.reason)
        self._metrics.count(f"jobs.refused.{problem.reason}")
        self._finish(job, JobState.WITHDRAWN, self._problem_response(job.submission, problem))

    def _finish(self, job: Job, state: JobState, response: Response) -> None:
        self._jobs.finish(job, state, response)

    def _problem_response(self, submission: str, problem: Problem) -> Response:
        return problem_response(submission, self._settings.zone, problem)


async def first_response(
    follows: list[asyncio.Task[Followed]], is_release_enough: bool
) -> Response | None:
    """Return the first response of a coordinator, ``None`` if all have released their claims.

    If a coordinator can't answer, the others may still have run the job, so its problem is returned
    only if none of them responds.

    Args:
        follows: One for each conflicting claim.
        is_release_enough: Whether a single release is worth another request for the votes.
    """
    problem: Response | None = None
    for next_followed in asyncio.as_completed(follows):
        followed = await next_followed
        if followed.end is FollowEnd.RESPONSE:
            return followed.response
        if followed.end is FollowEnd.RELEASED and is_release_enough:
            return None
        problem = problem or followed.response
    return problem
