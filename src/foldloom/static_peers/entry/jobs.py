# SPDX-License-Identifier: MIT
"""The job table of a box: open jobs, and finished jobs retained for resubmissions.

Owns the jobs of this incarnation and the responses inherited from stopped boxes. Finished jobs are
limited by age, their responses also by total size. The coordinator runs the jobs.
"""

from __future__ import annotations

import asyncio
from enum import StrEnum
from typing import Any, NamedTuple

import msgspec

from foldloom.clock import monotonic_ms
from foldloom.metrics import Metrics
from foldloom.verdicts import Problem, Verdict, may_have_run

_ENCODER = msgspec.json.Encoder()
_ANSWER_EXPIRED = may_have_run("answer-expired", "the answer is kept no longer", status=410)


class JobState(StrEnum):
    """State of a job on this box."""

    CLAIMING = "claiming"
    FOLLOWING = "following"
    RUNNING = "running"
    DONE = "done"
    WITHDRAWN = "withdrawn"


class Response(NamedTuple):
    """A response to a caller, ready to send.

    Args:
        status: The HTTP status.
        body: The JSON body.
        retry_after_ms: Value of the ``Retry-After`` header; 0 to omit it.
    """

    status: int
    body: bytes
    retry_after_ms: int = 0


def complete_response(submission: str, zone: str, answers: list[Any]) -> Response:
    """Return the response of a job whose tasks have all been answered."""
    fields = {
        "submission": submission,
        "verdict": Verdict.COMPLETE,
        "zone": zone,
        "answers": answers,
    }
    return Response(200, _ENCODER.encode(fields))


def problem_response(submission: str, zone: str, problem: Problem) -> Response:
    """Return the ``application/problem+json`` response for *problem*."""
    fields: dict[str, Any] = {
        "type": f"urn:foldloom:problem:{problem.reason}",
        "title": problem.reason.replace("-", " "),
        "status": problem.status,
        "detail": problem.detail,
        "submission": submission,
        "zone": zone,
        "verdict": problem.verdict,
        "run": problem.run,
        "reason": problem.reason,
    }
    if problem.retry_after_ms:
        fields["retry_after_ms"] = problem.retry_after_ms
    return Response(problem.status, _ENCODER.encode(fields), problem.retry_after_ms)


class Job:
    """One submission on this box.

    Args:
        submission: The submission id.
        digest: Digest of the job's content.
        attempt: Attempt number of the claim.
    """

    def __init__(self, submission: str, digest: str, attempt: int) -> None:
        self.submission = submission
        self.digest = digest
        self.attempt = attempt
        self.state = JobState.CLAIMING
        self.response: Response | None = None
        self.expires_ms = 0.0
        self._claim_outcome_known = asyncio.Event()
        self._finished = asyncio.Event()

    @property
    def is_open(self) -> bool:
        """Whether the job has no response yet."""
        return self.response is None

    def enter_state(self, state: JobState) -> None:
        """Enter *state* and wake the callers of :meth:`wait_claim_outcome`."""
        self.state = state
        self._claim_outcome_known.set()

    def claim_again(self) -> None:
        """Start the next claim attempt."""
        self.attempt += 1
        self.state = JobState.CLAIMING
        self._claim_outcome_known.clear()

    def finish(self, state: JobState, response: Response) -> None:
        """Enter the final *state* and set the response."""
        self.response = response
        self.enter_state(state)
        self._finished.set()

    async def wait_claim_outcome(self) -> None:
        """Wait until the claim has been won or lost, or the job has finished."""
        await self._claim_outcome_known.wait()

    async def wait_finished(self) -> None:
        """Wait for the response."""
        await self._finished.wait()


class InheritedKey(NamedTuple):
    """Key of a finished job that another box handed over at its planned stop."""

    submission: str
    coordinator: str
    incarnation: int


class JobTable:
    """All jobs of this box.

    A finished job is kept for the retention time even if its response is evicted, so that a
    resubmission does not run again.

    Args:
        retention_ms: Retention time of a finished job.
        jobs_max: Maximum number of retained responses; the oldest are evicted.
        bytes_max: Maximum total size of retained responses; the oldest are evicted.
        metrics: Gauges.
    """

    def __init__(self, retention_ms: int, jobs_max: int, bytes_max: int, metrics: Metrics) -> None:
        self._retention_ms = retention_ms
        self._jobs_max = jobs_max
        self._bytes_max = bytes_max
        self._metrics = metrics
        self._jobs: dict[str, Job] = {}
        # Finished jobs, the first to expire first; the sizes are of those with a retained response.
        self._finished: dict[str, None] = {}
        self._retained_sizes: dict[str, int] = {}
        self._retained_bytes = 0
        self._running = 0
        self._inherited: dict[InheritedKey, tuple[Response, float]] = {}

    @property
    def running_count(self) -> int:
        """Number of jobs running on this box."""
        return self._running

    def get(self, submission: str) -> Job | None:
        """Return the job of *submission*, or ``None`` if there is none."""
        return self._jobs.get(submission)

    def start(self, submission: str, digest: str) -> Job:
        """Create the job of *submission*, with an unused attempt number."""
        previous = self._jobs.get(submission)
        attempt = 1 if previous is None else previous.attempt + 1
        self._forget_response(submission)
        job = Job(submission, digest, attempt)
        self._jobs[submission] = job
        return job

    def run(self, job: Job) -> None:
        """Mark *job* as running; it holds its claim."""
        self._running += 1
        job.enter_state(JobState.RUNNING)

    def finish(self, job: Job, state: JobState, response: Response) -> None:
        """Finish *job* with *response* and retain it."""
        if job.state is JobState.RUNNING:
            self._running -= 1
        job.expires_ms = monotonic_ms() + self._retention_ms
        job.finish(state, response)
        self._finished[job.submission] = None
        self._retained_sizes[job.submission] = len(response.body)
        self._retained_bytes += len(response.body)
        self._evict_over_limits()
        self._metrics.gauge("jobs.kept_bytes", self._retained_bytes)

    def completed_responses(self) -> list[tuple[str, Response]]:
        """Return the retained responses of the jobs that ran here, by submission."""
        return [
            (job.submission, job.response)
            for job in self._jobs.values()
            if job.state is JobState.DONE and job.response is not None
        ]

    def inherit(self, key: InheritedKey, response: Response) -> None:
        """Store a response handed over by another box."""
        self._inherited[key] = (response, monotonic_ms() + self._retention_ms)

    def inherited(self, key: InheritedKey) -> Response | None:
        """Return the response handed over for *key*, or ``None`` if there is none."""
        entry = self._inherited.get(key)
        return None if entry is None else entry[0]

    def expire(self) -> None:
        """Remove the jobs and inherited responses whose retention time has passed."""
        now_ms = monotonic_ms()
        for submission in list(self._finished):
            if self._jobs[submission].expires_ms > now_ms:
                break
            self._forget_response(submission)
            del self._jobs[submission]
        for key in [key for key, (_, expires) in self._inherited.items() if expires <= now_ms]:
            del self._inherited[key]

    def _forget_response(self, submission: str) -> None:
        self._finished.pop(submission, None)
        self._retained_bytes -= self._retained_sizes.pop(submission, 0)

    def _evict_over_limits(self) -> None:
        """Over a limit, replace the oldest responses by "answer expired"; the jobs remain."""
        while len(self._retained_sizes) > self._jobs_max or self._retained_bytes > self._bytes_max:
            submission = next(iter(self._retained_sizes))
            self._retained_bytes -= self._retained_sizes.pop(submission)
            job = self._jobs[submission]
            if job.state is JobState.DONE:
                job.response = problem_response(submission, "", _ANSWER_EXPIRED)
