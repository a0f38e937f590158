# SPDX-License-Identifier: MIT
"""Client of the controllers' leader for any box: proposals and read barriers.

Owns which controller led last; controllers name the leader in their replies. A command without a
reply may have taken effect and is sent again.
"""

from __future__ import annotations

import asyncio
from typing import Any

from expression import Error, Ok, Result

from foldloom.clock import monotonic_ms
from foldloom.controllers.commands import Answer, Command, encode_command
from foldloom.controllers.messages import BarrierReply, Propose, ProposeReply, ReadBarrier
from foldloom.exceptions import PeerUnreachableError
from foldloom.peers.wire import PeerNetwork
from foldloom.verdicts import Problem, may_have_run, not_run

# Timeout of a request, including two elections.
_REQUEST_TIMEOUT_MS = 1_500
# Small against an election.
_RETRY_DELAY_S = 0.05
# Retry-after of a refusal; roughly the duration of an election.
_RETRY_AFTER_MS = 500


class ControllerClient:
    """Sends commands to the current leader.

    Commands are retried, which is safe as each carries an id that makes it idempotent.

    Args:
        network: The peers.
        controllers: Boxes with the controller role.
    """

    def __init__(self, network: PeerNetwork, controllers: list[str]) -> None:
        self._network = network
        self._controllers = list(controllers)
        self._leader = ""

    async def propose(self, command: Command, timeout_ms: int) -> Result[Answer, Problem]:
        """Commit *command* and return its answer, or whether it may have taken effect."""
        message = Propose(encode_command(command))
        is_unknown = False
        deadline = monotonic_ms() + timeout_ms
        while monotonic_ms() < deadline:
            for box in self._by_likely_leader():
                try:
                    reply: ProposeReply = await self._request(box, message, deadline)
                except PeerUnreachableError:
                    # The command may be in the log and must not be reported as not committed.
                    is_unknown = True
                    continue
                self._leader = reply.leader
                if reply.answer is not None:
                    return Ok(reply.answer)
                is_unknown = is_unknown or reply.is_unknown
            await asyncio.sleep(_RETRY_DELAY_S)
        detail = "no majority of the controllers answered"
        if is_unknown:
            return Error(may_have_run("no-quorum", detail, _RETRY_AFTER_MS, status=503))
        return Error(not_run("no-quorum", detail, _RETRY_AFTER_MS))

    async def newest_version(self, timeout_ms: int) -> int | None:
        """Return the newest confirmed version, or ``None`` if no leader confirmed it in time."""
        deadline = monotonic_ms() + timeout_ms
        while monotonic_ms() < deadline:
            for box in self._by_likely_leader():
                try:
                    reply: BarrierReply = await self._request(box, ReadBarrier(), deadline)
                except PeerUnreachableError:
                    # Try the next controller until the deadline.
                    continue
                self._leader = reply.leader
                if reply.is_current:
                    return reply.version
            await asyncio.sleep(_RETRY_DELAY_S)
        return None

    def _by_likely_leader(self) -> list[str]:
        """Return the controllers, the last known leader first."""
        if self._leader not in self._controllers:
            return list(self._controllers)
        others = [box for box in self._controllers if box != self._leader]
        return [self._leader, *others]

    async def _request(self, box: str, message: object, deadline: float) -> Any:
        remaining_ms = max(1.0, deadline - monotonic_ms())
        return await self._network.request(box, message, min(_REQUEST_TIMEOUT_MS, remaining_ms))
