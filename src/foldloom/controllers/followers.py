# SPDX-License-Identifier: MIT
"""The leader's view of its followers in one term.

Owns the replication progress of each follower. Derives the quorum's match index, whether a majority
still replies, and the successor. Sends nothing.
"""

from __future__ import annotations

from typing import NamedTuple

from foldloom.controllers.messages import AppendReply
from foldloom.controllers.participant import Leader


class Follower(NamedTuple):
    """Replication progress of one follower.

    Args:
        next_index: The next entry to send.
        match_index: The durable index up to which both logs agree.
        replied_ms: Send time of the newest append that was replied to; monotonic clock.
        storage_id: The data folder that the reply came from.
        is_first: Whether an operator formatted that folder.
    """

    next_index: int
    match_index: int = 0
    replied_ms: float = 0.0
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
        """The boxes that entries are replicated to."""
        return set(self._followers)

    def add(self, box: str) -> None:
        """Start replication to *box* at the end of the log; its first reply corrects the index."""
        self._followers[box] = Follower(self._controller.log.last_index + 1)

    def remove(self, box: str) -> None:
        """Stop replication to *box*."""
        del self._followers[box]

    def next_index(self, box: str) -> int:
        """Return the next entry to send to *box*."""
        return self._followers[box].next_index

    def replied_ms(self, box: str) -> float:
        """Return when the newest append that *box* replied to was sent; monotonic clock."""
        return self._followers[box].replied_ms

    def record_reply(self, box: str, reply: AppendReply, sent_ms: float) -> None:
        """Record the reply of *box* to an append sent at *sent_ms*."""
        previous = self._followers[box]
        if reply.is_ok:
            updated = previous._replace(
                next_index=reply.match_index + 1, match_index=reply.match_index
            )
        else:
            hint = min(previous.next_index - 1, reply.match_index + 1)
            updated = previous._replace(next_index=max(1, hint), match_index=0)
        self._followers[box] = updated._replace(
            replied_ms=sent_ms, storage_id=reply.storage_id, is_first=reply.is_first
        )

    def is_voter(self, box: str) -> bool:
        """Return whether *box* counts toward a majority."""
        if box == self._controller.box:
            return self._controller.may_vote
        follower = self._followers.get(box)
        if follower is None:
            return False
        return self._controller.is_voter(box, follower.storage_id, follower.is_first)

    def holds_committed(self, box: str, storage_id: str) -> bool:
        """Return whether *box* holds all committed entries in the data folder *storage_id*."""
        follower = self._followers.get(box)
        if follower is None or follower.storage_id != storage_id:
            return False
        return follower.match_index >= self._controller.applied.commit_index

    def has_quorum_since(self, since_ms: float) -> bool:
        """Return whether a majority has replied to an append sent at *since_ms* or later."""
        responsive = [
            box
            for box in self._controller.controllers
            if self.is_voter(box)
            and (box == self._controller.box or self._followers[box].replied_ms >= since_ms)
        ]
        return len(responsive) >= self._controller.quorum_size

    def unresponsive_since(self, since_ms: float) -> list[str]:
        """Return the followers without a reply to an append sent at *since_ms* or later."""
        return [box for box, follower in self._followers.items() if follower.replied_ms < since_ms]

    def successor(self) -> str:
        """Return the most recently responsive voter with the whole log, or an empty string."""
        ready = [
            box
            for box in self._controller.controllers
            if self.is_voter(box)
            and box != self._controller.box
            and self._followers[box].match_index >= self._controller.log.last_index
        ]
        return max(ready, key=lambda box: self._followers[box].replied_ms, default="")

    def quorum_match_index(self) -> int:
        """Return the index up to which a majority holds the log durably; 0 if there is none."""
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
