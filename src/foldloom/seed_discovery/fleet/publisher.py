# SPDX-License-Identifier: MIT
"""Commits and linearizable reads of the published configuration, from any controller.

Both go through the leader of the replicated log and complete only with a quorum.
"""

from __future__ import annotations

import asyncio

from expression import Error, Ok, Result

from foldloom.clock import monotonic_ms
from foldloom.controllers.commands import Answer, PublishCommand, encode_command
from foldloom.controllers.controller import Controller
from foldloom.controllers.messages import Propose, ProposeReply
from foldloom.controllers.proposals import newest_version, propose
from foldloom.controllers.state import Publication
from foldloom.exceptions import NotLeaderError, PeerUnreachableError
from foldloom.peers.wire import PeerNetwork
from foldloom.seed_discovery.fleet.messages import ReadPublished, ReadReply
from foldloom.time_limits import SuspendAwareTimeout
from foldloom.verdicts import Problem, may_have_run, not_run

# Small against the default election timeout.
_RETRY_INTERVAL_S = 0.03
# At most half of the caller's usual timeout, so that a read can be retried at a second leader.
_READ_TIMEOUT_MS = 400.0
# About the duration of an election.
_RETRY_AFTER_MS = 500


class Publisher:
    """Forwards publications and reads to the leader.

    Args:
        controller: This controller.
        network: The peer network.
    """

    def __init__(self, controller: Controller, network: PeerNetwork) -> None:
        self._controller = controller
        self._network = network
        network.on(ReadPublished, self._on_read)

    async def publish(
        self, version: int, document: bytes, timeout_ms: float
    ) -> Result[int, Problem]:
        """Commit *document* as *version*; return the version in effect afterwards.

        A problem states whether the document may still be committed.
        """
        payload = encode_command(PublishCommand(version, document))
        deadline_ms = monotonic_ms() + timeout_ms
        is_unknown = False
        while (left_ms := deadline_ms - monotonic_ms()) > 0:
            try:
                answer = await self._propose(payload, left_ms)
            except NotLeaderError:
                # Nothing was appended: an election is in progress, or the leader is unknown here.
                await asyncio.sleep(_RETRY_INTERVAL_S)
                continue
            except PeerUnreachableError:
                # The entry may be in the log, so the outcome is unknown.
                is_unknown = True
                continue
            return Ok(answer.version)
        detail = "no majority of the controllers answered"
        if is_unknown:
            return Error(may_have_run("no-quorum", detail, _RETRY_AFTER_MS, status=503))
        return Error(not_run("no-quorum", detail, _RETRY_AFTER_MS))

    async def newest(self, timeout_ms: float) -> Result[Publication, Problem]:
        """Return the current publication by a linearizable read."""
        deadline_ms = monotonic_ms() + timeout_ms
        while (left_ms := deadline_ms - monotonic_ms()) > 0:
            reply = await self._read_from_leader(min(left_ms, _READ_TIMEOUT_MS))
            if reply is not None and reply.is_current:
                return Ok(reply.publication)
            await asyncio.sleep(_RETRY_INTERVAL_S)
        return Error(not_run("no-quorum", "no leader could show the newest", _RETRY_AFTER_MS))

    async def _propose(self, payload: bytes, left_ms: float) -> Answer:
        """Make one proposal.

        Raises:
            NotLeaderError: No leader is known, or the contacted controller is not the leader.
            PeerUnreachableError: The outcome is unknown.
        """
        if self._controller.is_leading:
            try:
                async with SuspendAwareTimeout(left_ms):
                    return await propose(self._controller, payload)
            except TimeoutError:
                raise PeerUnreachableError("proposal not committed in time") from None
        leader = self._controller.leader
        if not leader:
            raise NotLeaderError
        reply: ProposeReply = await self._network.request(leader, Propose(payload), left_ms)
        if reply.answer is not None:
            return reply.answer
        if reply.is_unknown:
            raise PeerUnreachableError("outcome of the proposal unknown at the leader")
        raise NotLeaderError(reply.leader)

    async def _read_from_leader(self, left_ms: float) -> ReadReply | None:
        leader = self._controller.leader
        if not leader:
            return None
        if self._controller.is_leading:
            return await self._read_locally()
        try:
            reply: ReadReply = await self._network.request(leader, ReadPublished(), left_ms)
        except PeerUnreachableError:
            # The caller retries until its deadline, then reports no quorum.
            return None
        return reply

    async def _read_locally(self) -> ReadReply:
        try:
            await newest_version(self._controller)
        except NotLeaderError:
            # Leadership is unconfirmed, so the local state may be outdated.
            return ReadReply(False, Publication(0, b""))
        return ReadReply(True, self._controller.state.publication)

    async def _on_read(self, _sender: str, _message: ReadPublished) -> ReadReply:
        return await self._read_locally()
