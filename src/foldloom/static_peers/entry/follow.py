# SPDX-License-Identifier: MIT
"""Follow a job claimed by another box and return that box's response.

Handles attach requests from other boxes and the handover of responses at a planned stop. Membership
provides the successor that holds the responses of a stopped box.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from foldloom.clock import monotonic_ms
from foldloom.exceptions import PeerUnreachableError
from foldloom.logs import ENTRY_LOG
from foldloom.peers.wire import PeerNetwork
from foldloom.settings import Settings
from foldloom.static_peers.claims.messages import Claim
from foldloom.static_peers.entry.jobs import (
    InheritedKey,
    Job,
    JobState,
    JobTable,
    Response,
    problem_response,
)
from foldloom.static_peers.entry.messages import (
    Attach,
    AttachReply,
    AttachState,
    Handover,
    HandoverJob,
    HandoverReply,
)
from foldloom.static_peers.membership import Membership
from foldloom.time_limits import SuspendAwareTimeout
from foldloom.verdicts import Problem, may_have_run, not_run

# How long the coordinator holds one attach request; bounds the delay caused by a lost reply.
_LONG_POLL_MS = 1_000
# Wait of an attach request for a lookup, which does not wait for the job to end.
_LOOKUP_WAIT_MS = 1
# Timeout of an attach request; longer than _LONG_POLL_MS.
_ATTACH_TIMEOUT_MS = 1_500
# Sent to callers whose job may be running on another box.
_RETRY_AFTER_MS = 1_000
# Consecutive failed polls after which the coordinator is treated as unreachable.
_FAILED_POLLS_MAX = 2
# Responses per handover message; bounds its size to a few megabytes.
_HANDOVER_BATCH_SIZE = 200
_HANDOVER_TIMEOUT_MS = 3_000

CONFLICT = not_run("other-content", "this submission was used for other content", status=409)
COORDINATOR_LOST = may_have_run(
    "coordinator-restarted", "the box that ran this job lost it; it will not run again"
)
COORDINATOR_UNREACHABLE = may_have_run(
    "coordinator-unreachable", "the box that runs this job can't be reached", _RETRY_AFTER_MS, 503
)
DEADLINE = may_have_run("deadline", "the job did not end in time", _RETRY_AFTER_MS, 504)


class FollowEnd(Enum):
    """Outcome of following a job."""

    RESPONSE = "response"
    """The coordinator has answered with the job's response."""
    NO_RESPONSE = "no-response"
    """The coordinator can't answer; the response says so."""
    RELEASED = "released"
    RUNNING = "running"


class Followed(NamedTuple):
    """The outcome of following; ``response`` is set if it is ``RESPONSE`` or ``NO_RESPONSE``."""

    end: FollowEnd
    response: Response | None


class JobFollower:
    """Follows jobs on other boxes, and lets other boxes follow the jobs of this box.

    Args:
        settings: This box's settings.
        network: Messages to and from the peers.
        membership: Liveness of the boxes and the successors of stopped boxes.
        jobs: The job table of this box.
    """

    def __init__(
        self, settings: Settings, network: PeerNetwork, membership: Membership, jobs: JobTable
    ) -> None:
        self._settings = settings
        self._network = network
        self._membership = membership
        self._jobs = jobs
        network.on(Attach, self._on_attach)
        network.on(Handover, self._on_handover)

    async def follow(
        self,
        submission: str,
        digest: str,
        claim: Claim,
        deadline_ms: float,
        is_waiting: bool = True,
    ) -> Followed:
        """Return the response of the job that holds *claim*.

        Polls until the job ends or *deadline_ms* has passed. If *is_waiting* is false, returns
        ``RUNNING`` for a job that has not ended.
        """
        failed_polls = 0
        while (remaining_ms := deadline_ms - monotonic_ms()) > 0:
            target = self._target(claim)
            if isinstance(target, Problem):
                return self._ended(submission, target)
            wait_ms = min(_LONG_POLL_MS, int(remaining_ms)) if is_waiting else _LOOKUP_WAIT_MS
            attach = Attach(
                submission, digest, claim.coordinator, claim.incarnation, claim.attempt, wait_ms
            )
            timeout_ms = min(_ATTACH_TIMEOUT_MS, remaining_ms)
            try:
                reply: AttachReply = await self._network.request(target, attach, timeout_ms)
            except PeerUnreachableError:
                # A single lost reply is retried; then the caller gets "may have run".
                failed_polls += 1
                if failed_polls >= _FAILED_POLLS_MAX:
                    return self._ended(submission, COORDINATOR_UNREACHABLE)
                continue
            if reply.state is AttachState.RUNNING:
                if is_waiting:
                    continue
                return Followed(FollowEnd.RUNNING, None)
            return self._followed_from(submission, reply)
        return self._ended(submission, DEADLINE)

    async def hand_over_responses(self, successor: str) -> int:
        """Send all retained responses to *successor*; return the number it accepted."""
        completed = self._jobs.completed_responses()
        taken = 0
        for start in range(0, len(completed), _HANDOVER_BATCH_SIZE):
            jobs = [
                HandoverJob(submission, response.status, response.body, response.retry_after_ms)
                for submission, response in completed[start : start + _HANDOVER_BATCH_SIZE]
            ]
            message = Handover(self._network.incarnation, jobs)
            try:
                reply: HandoverReply = await self._network.request(
                    successor, message, _HANDOVER_TIMEOUT_MS
                )
            except PeerUnreachableError:
                # The remaining responses are lost; resubmissions get "may have run".
                break
            taken += reply.taken
        return taken

    def _target(self, claim: Claim) -> str | Problem:
        """Return the box to poll for *claim*, or the problem if there is none."""
        box = claim.coordinator
        successor = self._membership.successor_of(box, claim.incarnation)
        if self._network.known_incarnation(box) > claim.incarnation:
            return successor or COORDINATOR_LOST
        if not self._membership.is_live(box):
            return successor or COORDINATOR_UNREACHABLE
        return box

    def _followed_from(self, submission: str, reply: AttachReply) -> Followed:
        if reply.state in (AttachState.WITHDRAWN, AttachState.REFUSED):
            return Followed(FollowEnd.RELEASED, None)
        if reply.state is AttachState.CONFLICT:
            return self._ended(submission, CONFLICT)
        if reply.state is AttachState.UNKNOWN:
            return self._ended(submission, COORDINATOR_LOST)
        response = Response(reply.status, reply.body, reply.retry_after_ms)
        return Followed(FollowEnd.RESPONSE, response)

    def _ended(self, submission: str, problem: Problem) -> Followed:
        response = problem_response(submission, self._settings.zone, problem)
        return Followed(FollowEnd.NO_RESPONSE, response)

    async def _on_attach(self, sender: str, message: Attach) -> AttachReply:
        is_own_incarnation = (
            message.coordinator == self._settings.box
            and message.incarnation == self._network.incarnation
        )
        if not is_own_incarnation:
            return self._inherited_reply(message)
        job = self._jobs.get(message.submission)
        if job is None:
            return AttachReply(AttachState.UNKNOWN)
        if message.attempt < job.attempt:
            return AttachReply(AttachState.WITHDRAWN)
        ENTRY_LOG.info("Job {}: followed by {}.", message.submission, sender)
        await self._wait(job, message.wait_ms)
        return _attach_reply(job, message.digest)

    async def _wait(self, job: Job, wait_ms: int) -> None:
        """Wait up to *wait_ms* until *job* has ended or does not run on this box."""
        try:
            async with SuspendAwareTimeout(wait_ms):
                await job.wait_claim_outcome()
                if job.state is JobState.RUNNING:
                    await job.wait_finished()
        except TimeoutError:
            # The reply is RUNNING, and the follower polls again.
            return

    def _inherited_reply(self, message: Attach) -> AttachReply:
        key = InheritedKey(message.submission, message.coordinator, message.incarnation)
        response = self._jobs.inherited(key)
        if response is None:
            return AttachReply(AttachState.UNKNOWN)
        return AttachReply(AttachState.DONE, *response)

    def _on_handover(self, sender: str, message: Handover) -> HandoverReply:
        for job in message.jobs:
            key = InheritedKey(job.submission, sender, message.incarnation)
            self._jobs.inherit(key, Response(job.status, job.body, job.retry_after_ms))
        return HandoverReply(len(message.jobs))


def _attach_reply(job: Job, digest: str) -> AttachReply:
    """Return the reply to a box that follows *job*.

    A refusal is reported as ``WITHDRAWN`` without its response: another box may have claimed and
    run the job since. The follower then claims the job itself.
    """
    if job.state in (JobState.WITHDRAWN, JobState.FOLLOWING):
        return AttachReply(AttachState.WITHDRAWN)
    if job.digest != digest:
        return AttachReply(AttachState.CONFLICT)
    if job.response is None:
        return AttachReply(AttachState.RUNNING)
    return AttachReply(AttachState.DONE, *job.response)
