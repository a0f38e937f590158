# SPDX-License-Identifier: MIT
"""How a controller commits what an operator publishes, and reads the newest for certain.

Owns nothing. Relies on the replicated log: a commit and a read go through its leader, wherever it
is, and an answer is only given on a majority's word.
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
from foldloom.time_limits import TimeLimit
from foldloom.verdicts import Problem, may_have_run, not_run

# Seconds until the leader is looked for again: small against an election (600 ms).
_RETRY_INTERVAL_S = 0.03
# Milliseconds for one read at the leader: half of the 800 ms that a caller gives, so that a second
# leader can be asked.
_READ_TIMEOUT_MS = 400.0
# Milliseconds after which a caller should come back: about an election.
_RETRY_AFTER_MS = 500


class Publisher:
    """Reach the leader from any controller.

    Args:
        controller: This controller.
        network: The peers.
    """

    def __init__(self, controller: Controller, network: PeerNetwork) -> None:
        self._controller = controller
        self._network = network
        network.on(ReadPublished, self._on_read)

    async def publish(
        self, version: int, document: bytes, timeout_ms: float
    ) -> Result[int, Problem]:
        """Commit *document* under *version*; return the version held after it.

        A problem says whether it may still be committed.
        """
        payload = encode_command(PublishCommand(version, document))
        deadline_ms = monotonic_ms() + timeout_ms
        is_unknown = False
        while (left_ms := deadline_ms - monotonic_ms()) > 0:
            try:
                answer = await self._propose(payload, left_ms)
            except NotLeaderError:
                # Nothing was appended: an election is under way, or the leader is not known here.
                await asyncio.sleep(_RETRY_INTERVAL_S)
                continue
            except PeerUnreachableError:
                # It may be in the log: the caller must not take it for not committed.
                is_unknown = True
                continue
            return Ok(answer.version)
        detail = "no majority of the controllers answered"
        if is_unknown:
            return Error(may_have_run("no-quorum", detail, _RETRY_AFTER_MS, status=503))
        return Error(not_run("no-quorum", detail, _RETRY_AFTER_MS))

    async def newest(self, timeout_ms: float) -> Result[Publication, Problem]:
        """Return what is published now, for certain."""
        deadline_ms = monotonic_ms() + timeout_ms
        while (left_ms := deadline_ms - monotonic_ms()) > 0:
            reply = await self._read_from_leader(min(left_ms, _READ_TIMEOUT_MS))
            if reply is not None and reply.is_current:
                return Ok(reply.publication)
            await asyncio.sleep(_RETRY_INTERVAL_S)
        return Error(not_run("no-quorum", "no leader could show the newest", _RETRY_AFTER_MS))

    async def _propose(self, payload: bytes, left_ms: float) -> Answer:
        """Propose once.

        Raises:
            NotLeaderError: No leader is known, or the one asked does not lead.
            PeerUnreachableError: It may be committed.
        """
        if self._controller.is_leading:
            try:
                async with TimeLimit(left_ms):
                    return await propose(self._controller, payload)
            except TimeoutError:
                raise PeerUnreachableError("not committed in time") from None
        leader = self._controller.leader
        if not leader:
            raise NotLeaderError
        reply: ProposeReply = await self._network.request(leader, Propose(payload), left_ms)
        if reply.answer is not None:
            return reply.answer
        if reply.is_unknown:
            raise PeerUnreachableError("the leader does not know whether it is committed")
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
            # Tried again until the caller's time is up, then answered as no quorum.
            return None
        return reply

    async def _read_locally(self) -> ReadReply:
        try:
            await newest_version(self._controller)
        except NotLeaderError:
            # It can't show that it leads, so what it holds need not be the newest.
            return ReadReply(False, Publication(0, b""))
        return ReadReply(True, self._controller.state.publication)

    async def _on_read(self, _sender: str, _message: ReadPublished) -> ReadReply:
        return await self._read_locally()
