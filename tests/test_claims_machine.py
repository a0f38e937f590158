# SPDX-License-Identifier: MIT
"""Stateful property test of the claim replicas."""

from __future__ import annotations

from typing import Any

from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from foldloom.controllers.config import BoxList
from foldloom.metrics import Metrics
from foldloom.static_peers.claims.messages import ClaimReply, ClaimRequest, CopyRequest, Withdraw
from foldloom.static_peers.claims.recovery import Recovery
from foldloom.static_peers.claims.replicas import ReplicaSets
from foldloom.static_peers.claims.service import ClaimService
from foldloom.static_peers.claims.table import ClaimTable
from foldloom.static_peers.claims.votes import is_won
from strategies import coordinator_numbers, replica_numbers

_RETENTION_MS = 10**9
_BOXES = ("a1", "b1", "c1")
_LIST = BoxList(epoch=0, current={"a1": "a", "b1": "b", "c1": "c"}, next=None, dead=[])
_REPLICAS = ReplicaSets(0, (_BOXES,))
_DIGEST = "00" * 16


class Lives:
    """Incarnations known to a replica, without a network."""

    def __init__(self, incarnation: int) -> None:
        """Start an incarnation."""
        self.incarnation = incarnation
        self.known: dict[str, int] = {}

    def on(self, _message_type: type, _handler: Any) -> None:
        """Ignore the handler: the state machine calls the service directly."""

    def known_incarnation(self, box: str) -> int:
        """Return the newest known incarnation."""
        return self.known.get(box, 0)


class Replica:
    """One incarnation of a claim replica, with the real service and table."""

    def __init__(self, box: str, life: int, is_whole: bool) -> None:
        """Start with an empty table."""
        self.lives = Lives(life)
        self.table = ClaimTable(_RETENTION_MS, 100)
        network: Any = self.lives
        client: Any = None
        self.recovery = Recovery(box, network, client, self.table, lambda: _LIST, _RETENTION_MS)
        self.recovery._is_whole = is_whole
        self.service = ClaimService(
            box, network, self.table, self.recovery, lambda: _LIST, Metrics()
        )


class ClaimMachine(RuleBasedStateMachine):
    """Two coordinators, three replicas; requests and votes are delayed, duplicated or lost."""

    def __init__(self) -> None:
        """Start the first incarnation of every replica."""
        super().__init__()
        self.replicas = {box: Replica(box, 1, is_whole=True) for box in _BOXES}
        self.attempts = [1, 1]
        self.votes: list[dict[str, ClaimReply]] = [{}, {}]
        self.late: list[list[tuple[int, str, ClaimReply]]] = [[], []]
        self.is_withdrawn = [False, False]
        self.starts = [0, 0]

    def name(self, who: int) -> str:
        """Return the box of a coordinator."""
        return f"x{who}"

    @rule(who=coordinator_numbers, number=replica_numbers)
    def deliver_request(self, who: int, number: int) -> None:
        """Deliver a request of the current attempt, possibly again."""
        box = _BOXES[number]
        request = ClaimRequest("s", _DIGEST, 1, self.attempts[who], 0)
        reply = self.replicas[box].service.vote(self.name(who), request)
        self.late[who].append((self.attempts[who], box, reply))

    @precondition(lambda self: self.late[0] or self.late[1])
    @rule(who=coordinator_numbers)
    def deliver_vote(self, who: int) -> None:
        """Deliver the oldest vote in flight."""
        if not self.late[who]:
            return
        attempt, box, reply = self.late[who].pop(0)
        if attempt == self.attempts[who] and not self.is_withdrawn[who]:
            self.votes[who][box] = reply

    @rule(who=coordinator_numbers)
    def start(self, who: int) -> None:
        """Start a coordinator that holds the claim, once."""
        if self.is_withdrawn[who] or self.starts[who]:
            return
        if is_won(_REPLICAS, self.votes[who], lambda _box: 0):
            self.starts[who] += 1

    @rule(who=coordinator_numbers)
    def withdraw(self, who: int) -> None:
        """Withdraw the current attempt of a coordinator that has not started."""
        if not self.starts[who]:
            self.is_withdrawn[who] = True
            self.votes[who].clear()

    @rule(who=coordinator_numbers, number=replica_numbers)
    def deliver_withdrawal(self, who: int, number: int) -> None:
        """Deliver a withdrawal of the current attempt, or a late one of the previous attempt."""
        attempt = self.attempts[who] if self.is_withdrawn[who] else self.attempts[who] - 1
        service = self.replicas[_BOXES[number]].service
        service.withdraw(self.name(who), Withdraw("s", 1, attempt))

    @rule(who=coordinator_numbers)
    def try_again(self, who: int) -> None:
        """Begin a new attempt after a withdrawal."""
        if self.is_withdrawn[who] and self.attempts[who] < 4:
            self.attempts[who] += 1
            self.is_withdrawn[who] = False

    @rule(number=replica_numbers)
    def lose_memory(self, number: int) -> None:
        """Restart a replica with an empty table; it does not vote."""
        box = _BOXES[number]
        life = self.replicas[box].lives.incarnation + 1
        self.replicas[box] = Replica(box, life, is_whole=False)

    @rule(asker=replica_numbers, server=replica_numbers)
    def copy(self, asker: int, server: int) -> None:
        """Copy claims from one replica to a restarted one."""
        if asker == server:
            return
        asking, serving = self.replicas[_BOXES[asker]], self.replicas[_BOXES[server]]
        serving.lives.known[_BOXES[asker]] = asking.lives.incarnation
        reply = serving.service._on_copy(_BOXES[asker], CopyRequest(0))
        asking.lives.known[_BOXES[server]] = serving.lives.incarnation
        if not reply.is_whole_memory:
            return
        for claim in reply.claims:
            asking.table.merge(claim, 0)
        asking.recovery._copied_from.add(_BOXES[server])
        if len(asking.recovery._copied_from) == len(_BOXES) - 1:
            asking.recovery._is_whole = True

    @invariant()
    def at_most_one_starts(self) -> None:
        """At most one coordinator starts."""
        assert sum(self.starts) <= 1


TestClaimMachine = ClaimMachine.TestCase
TestClaimMachine.settings = settings(max_examples=300, stateful_step_count=60, deadline=None)
