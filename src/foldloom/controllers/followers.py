# SPDX-License-Identifier: MIT
"""What a leader knows of the controllers that it replicates to, and what follows from it.

Owns a record of each follower for one term. Relies on its controller for the table of controllers
and the log. Says what is agreed, whether a majority answers, and who could lead next; it sends
nothing.
"""

from __future__ import annotations

from typing import NamedTuple

from foldloom.controllers.messages import AppendReply
from foldloom.controllers.participant import Leader


class Follower(NamedTuple):
    """What the leader knows of one follower.

    Args:
        next_index: The next entry to send.
        match_index: The durable index on which both agree.
        answered_ms: When the newest append that it answered was sent; own monotonic clock.
        storage_id: The data folder that it answered from.
        is_first: Whether an operator formatted that folder.
    """

    next_index: int
    match_index: int = 0
    acknowledged_ms: float = 0.0
    storage_id: str = ""
    is_first: bool = False


class FollowerTable:
    """The followers of one term.

    Args:
        controller: The controller that leads.
    """

    def __init__(self, controller: Leader) -> None:
        self._controller = controller
        self._followers: dict[str, Follower] = {}

    @property
    def boxes(self) -> set[str]:
        """Who is replicated to."""
        return set(self._followers)

    def add(self, box: str) -> None:
        """Begin to replicate to *box*, from the end of the log until it answers what it holds."""
        self._followers[box] = Follower(self._controller.log.last_index + 1)

    def remove(self, box: str) -> None:
        """Replicate to *box* no longer."""
        del self._followers[box]

    def next_index(self, box: str) -> int:
        """Return the next entry to send to *box*."""
        return self._followers[box].next_index

    def acknowledged_ms(self, box: str) -> float:
        """Return when the newest append that *box* answered was sent; own monotonic clock."""
        return self._followers[box].acknowledged_ms

    def record_reply(self, box: str, reply: AppendReply, sent_ms: float) -> None:
        """Note the answer of *box* to an append that was sent at *sent_ms*."""
        previous = self._followers[box]
        if reply.is_ok:
            changed = previous._replace(
                next_index=reply.match_index + 1, match_index=reply.match_index
            )
        else:
            hint = min(previous.next_index - 1, reply.match_index + 1)
            changed = previous._replace(next_index=max(1, hint), match_index=0)
        self._followers[box] = changed._replace(
            acknowledged_ms=sent_ms, storage_id=reply.storage_id, is_first=reply.is_first
        )

    def is_voter(self, box: str) -> bool:
        """Return whether the answers of *box* count toward a majority."""
        if box == self._controller.box:
            return self._controller.may_vote
        follower = self._followers.get(box)
        if follower is None:
            return False
        return self._controller.is_voter(box, follower.storage_id, follower.is_first)

    def holds_committed(self, box: str, storage_id: str) -> bool:
        """Return whether *box* holds, in the folder *storage_id*, everything that is committed."""
        follower = self._followers.get(box)
        if follower is None or follower.storage_id != storage_id:
            return False
        return follower.match_index >= self._controller.applied.commit_index

    def is_acknowledged_since(self, since_ms: float) -> bool:
        """Return whether a majority has answered an append that was sent since then."""
        answering = [
            box
            for box in self._controller.controllers
            if self.is_voter(box)
            and (box == self._controller.box or self._followers[box].acknowledged_ms >= since_ms)
        ]
        return len(answering) >= self._controller.quorum_size

    def unresponsive_since(self, since_ms: float) -> list[str]:
        """Return who has answered no append that was sent since then."""
        return [
            box for box, follower in self._followers.items() if follower.acknowledged_ms < since_ms
        ]

    def successor(self) -> str:
        """Return the controller that could lead at once, or an empty string."""
        ready = [
            box
            for box in self._controller.controllers
            if self.is_voter(box)
            and box != self._controller.box
            and self._followers[box].match_index >= self._controller.log.last_index
        ]
        return max(ready, key=lambda box: self._followers[box].acknowledged_ms, default="")

    def quorum_match_index(self) -> int:
        """Return the index up to which a majority holds the log durably; 0 if none does."""
        log = self._controller.log
        matches = [
            log.durable_index if box == self._controller.box else self._followers[box].match_index
            for box in self._controller.controllers
            if self.is_voter(box)
        ]
        if len(matches) < self._controller.quorum_size:
            return 0
        matches.sort(reverse=True)
        return matches[self._controller.quorum_size - 1]
