# SPDX-License-Identifier: MIT
"""Leader election: requesting votes and granting them.

Implements Raft's RequestVote (Ongaro and Ousterhout, 2014, sections 5.2 and 5.4.1) with pre-votes
(Ongaro's dissertation, 2014, section 9.6). A vote is valid only for the data folder that it came
from. Term, log and role belong to the controller.
"""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from foldloom.controllers.messages import RequestVote, StandNow, VoteReply
from foldloom.controllers.participant import Voter
from foldloom.exceptions import PeerUnreachableError
from foldloom.logs import CONTROLLER_LOG


class _VoteResponse(NamedTuple):
    """The reply of *box* to a vote request, or ``None`` if it sent none."""

    box: str
    reply: VoteReply | None


class Elections:
    """Runs elections for one controller and answers vote requests.

    Args:
        controller: The controller.
    """

    def __init__(self, controller: Voter) -> None:
        self._controller = controller
        controller.network.on(RequestVote, self._on_request_vote)
        controller.network.on(StandNow, self._on_stand_now)

    async def run_election(self, is_handover: bool = False) -> None:
        """Run a pre-vote, then an election; become leader if a majority grants its vote."""
        if not await self._gather_votes(self._controller.log.term + 1, True, is_handover):
            return
        async with self._controller.state_lock:
            has_leader = self._controller.contact.silent_ms < self._controller.election_timeout_ms
            if has_leader and not is_handover:
                return
            term = self._controller.log.term + 1
            await self._controller.log.save_term_vote(term, self._controller.box)
        self._controller.contact.clear_leader()
        CONTROLLER_LOG.info("Starting election in term {}.", term)
        is_won = await self._gather_votes(term, False, is_handover)
        # Another controller may have made contact as the leader of this term in the meantime.
        if is_won and self._controller.log.term == term and not self._controller.leader:
            CONTROLLER_LOG.info("Became leader in term {}.", term)
            self._controller.lead()

    async def _gather_votes(self, term: int, is_trial: bool, is_handover: bool) -> bool:
        log = self._controller.log
        request = RequestVote(term, log.last_index, log.last_term, is_trial, is_handover)
        others = [box for box in self._controller.controllers if box != self._controller.box]
        vote_requests = [asyncio.create_task(self._request_vote(box, request)) for box in others]
        try:
            return await self._has_majority(term, vote_requests)
        finally:
            for task in vote_requests:
                task.cancel()

    async def _has_majority(
        self, term: int, vote_requests: list[asyncio.Task[_VoteResponse]]
    ) -> bool:
        """Return whether a majority grants its vote, without waiting for the remaining replies."""
        votes = 1
        for next_vote in asyncio.as_completed(vote_requests):
            box, reply = await next_vote
            if reply is None:
                continue
            if reply.term > term:
                self._controller.observe_term(reply.term)
                return False
            if reply.is_granted and self._controller.is_voter(
                box, reply.storage_id, reply.is_first
            ):
                votes += 1
            if votes >= self._controller.quorum_size:
                return True
        return votes >= self._controller.quorum_size

    async def _request_vote(self, box: str, request: RequestVote) -> _VoteResponse:
        timeout_ms = self._controller.election_timeout_ms / 2
        try:
            return _VoteResponse(
                box, await self._controller.network.request(box, request, timeout_ms)
            )
        except PeerUnreachableError:
            # Counts as no vote: the other controllers may still form a majority.
            return _VoteResponse(box, None)

    async def _on_stand_now(self, sender: str, message: StandNow) -> None:
        if sender != self._controller.leader or message.term != self._controller.log.term:
            return
        if self._controller.may_vote and not self._controller.is_leading:
            await self.run_election(is_handover=True)

    async def _on_request_vote(self, sender: str, request: RequestVote) -> VoteReply | None:
        async with self._controller.state_lock:
            if self._controller.is_failed:
                return None
            try:
                is_granted = await self._grant_vote(sender, request)
            except OSError as error:
                self._controller.fail(error)
                return None
            return VoteReply(
                self._controller.log.term,
                is_granted,
                self._controller.storage_id,
                self._controller.is_first,
            )

    async def _grant_vote(self, sender: str, request: RequestVote) -> bool:
        """Return whether the vote goes to *sender*; a real vote is durable on return.

        Raises:
            OSError: The disk failed.
        """
        has_leader = self._controller.contact.silent_ms < self._controller.election_timeout_ms
        if self._controller.is_leading or (has_leader and not request.is_handover):
            return False
        is_up_to_date = (request.last_term, request.last_index) >= (
            self._controller.log.last_term,
            self._controller.log.last_index,
        )
        if (
            not self._controller.may_vote
            or request.term < self._controller.log.term
            or not is_up_to_date
        ):
            return False
        if request.is_trial:
            return request.term > self._controller.log.term
        voted_for = (
            self._controller.log.voted_for if request.term == self._controller.log.term else ""
        )
        if voted_for not in ("", sender):
            return False
        await self._controller.log.save_term_vote(request.term, sender)
        self._controller.contact.restart_election_timer()
        return True
