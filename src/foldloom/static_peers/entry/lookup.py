# SPDX-License-Identifier: MIT
"""Look up the state of a submission on all boxes, without starting or claiming it.

Reads this box's job table, then queries the claim replicas and the coordinators that hold claims.
"""

from __future__ import annotations

import asyncio

from foldloom.clock import monotonic_ms
from foldloom.exceptions import PeerUnreachableError
from foldloom.ids import zone_of
from foldloom.peers.wire import PeerNetwork
from foldloom.settings import Settings
from foldloom.static_peers.claims.messages import Claim, Lookup, LookupReply
from foldloom.static_peers.claims.service import ClaimService
from foldloom.static_peers.entry.follow import FollowEnd, JobFollower
from foldloom.static_peers.entry.jobs import JobState, JobTable, Response, problem_response
from foldloom.verdicts import Problem, may_have_run, not_run

RETRY_AFTER_MS = 500
# States on this box in which the job may run, or have run, on another box.
_MAYBE_REMOTE_STATES = (JobState.FOLLOWING, JobState.WITHDRAWN)


class JobLookup:
    """Looks up submissions.

    Args:
        settings: This box's settings.
        network: Messages to and from the peers.
        claims: The claim replica of this box.
        follower: Follows jobs on other boxes.
        jobs: The job table of this box.
    """

    def __init__(
        self,
        settings: Settings,
        network: PeerNetwork,
        claims: ClaimService,
        follower: JobFollower,
        jobs: JobTable,
    ) -> None:
        self._settings = settings
        self._network = network
        self._claims = claims
        self._follower = follower
        self._jobs = jobs

    async def look_up(self, submission: str) -> Response | None:
        """Return the response of *submission*, or ``None`` if the job has not ended."""
        job = self._jobs.get(submission)
        if job is not None and job.state not in _MAYBE_REMOTE_STATES:
            return job.response
        holders, has_quorum = await self._query_replicas(submission)
        for holder in holders:
            deadline_ms = monotonic_ms() + self._settings.timings.claim_timeout_ms
            followed = await self._follower.follow(
                submission, holder.digest, holder, deadline_ms, is_waiting=False
            )
            if followed.end is not FollowEnd.RELEASED:
                return followed.response
        if has_quorum and job is not None and job.state is JobState.WITHDRAWN:
            return job.response
        if has_quorum:
            return self._problem(submission, not_run("unknown", "no such job", status=404))
        return self._problem(
            submission, no_quorum_problem(submission, self._settings.zone, "too few claim replicas")
        )

    async def _query_replicas(self, submission: str) -> tuple[list[Claim], bool]:
        """Return the claims held by the replicas, and whether a majority of voters replied."""
        replicas = self._claims.replicas_of(submission)
        queries = [self._query_replica(box, submission) for box in replicas.boxes]
        replies = dict(zip(replicas.boxes, await asyncio.gather(*queries), strict=True))
        holders = [claim for reply in replies.values() if reply for claim in reply.holders]
        voters = {box for box, reply in replies.items() if reply is not None and reply.can_vote}
        return list(dict.fromkeys(holders)), replicas.is_majority(voters)

    async def _query_replica(self, box: str, submission: str) -> LookupReply | None:
        try:
            timeout_ms = self._settings.timings.claim_timeout_ms
            return await self._network.request(box, Lookup(submission), timeout_ms)
        except PeerUnreachableError:
            # Counts as no reply, not as "no claim".
            return None

    def _problem(self, submission: str, problem: Problem) -> Response:
        return problem_response(submission, self._settings.zone, problem)


def no_quorum_problem(submission: str, zone: str, detail: str) -> Problem:
    """Return the problem for a claim without a quorum.

    "May have run", because an unreachable box may be running the submission.
    """
    if not zone_of(submission):
        detail += f"; ids that begin with {zone}~ need this zone only"
    return may_have_run("claim-no-quorum", detail, RETRY_AFTER_MS, status=503)
