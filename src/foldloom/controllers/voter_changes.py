# SPDX-License-Identifier: MIT
"""How a leader changes who counts: lost memory is readmitted, who is gone is replaced by a standby.

Owns who asked to be counted in this term, and the index of the newest change. Relies on the
followers' answers. Which change is next is decided in :mod:`foldloom.controllers.members`; one
begins only when the one before is committed, as in Raft (Ongaro's dissertation, 2014, section 4.1).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from foldloom.clock import monotonic_ms
from foldloom.controllers.commands import Command, VoterReadyCommand
from foldloom.controllers.config import ANY_STORAGE
from foldloom.controllers.followers import FollowerTable
from foldloom.controllers.members import Standby, next_change
from foldloom.controllers.participant import Leader
from foldloom.logs import CONTROLLER_LOG

# Election time-outs of silence after which a controller may be replaced by a standby: above a
# restart, which takes 1 to 2 s on the users' bench.
_REPLACE_AFTER_ELECTION_TIMEOUTS = 2.5
# Election time-outs without a request after which a standby is forgotten.
_STANDBY_TTL_ELECTION_TIMEOUTS = 10


class _MembershipRequest(NamedTuple):
    """A controller that asks to be counted, and when it asked."""

    storage_id: str
    requested_ms: float


class VoterChanges:
    """The changes of who counts, in one term.

    Args:
        controller: The controller that leads.
        followers: What is known of the others.
        first_index: The first entry of the term.
        append: Appends a command that nobody waits for, and returns its index.
        follow: Replicates to whoever counts or stands by, and to nobody else.
    """

    def __init__(
        self,
        controller: Leader,
        followers: FollowerTable,
        first_index: int,
        append: Callable[[Command], int],
        update_followers: Callable[[], None],
    ) -> None:
        self._controller = controller
        self._followers = followers
        self._first_index = first_index
        self._append = append
        self._update_followers = update_followers
        self._started_ms = monotonic_ms()
        self._readmission_requests: dict[str, _MembershipRequest] = {}
        self._standbys: dict[str, _MembershipRequest] = {}
        self._last_change_index = 0
        self._admitted: set[tuple[str, str]] = set()

    @property
    def standbys(self) -> set[str]:
        """Who follows the log without a vote."""
        return set(self._standbys)

    @property
    def _has_committed_in_term(self) -> bool:
        return self._controller.applied.commit_index >= self._first_index

    def handle_readmit(self, box: str, storage_id: str) -> None:
        """Note that *box* wants to be counted; take it in once that is safe.

        It is safe when every other controller has answered this term since the request
        came: none of them can then win with a vote that *box* gave before it lost its
        memory. *box* must also hold everything that is committed.
        """
        if box not in self._controller.controllers:
            self._register_standby(box, storage_id)
            return
        request = self._readmission_requests.get(box)
        if request is None or request.storage_id != storage_id:
            request = _MembershipRequest(storage_id, monotonic_ms())
            self._readmission_requests[box] = request
        if not self._has_committed_in_term or not self._followers.holds_committed(box, storage_id):
            return
        others = self._controller.controllers.keys() - {box, self._controller.box}
        if any(self._followers.acknowledged_ms(other) < request.requested_ms for other in others):
            return
        self._append_voter_ready(box, storage_id)

    def record_storage_id(self, box: str, storage_id: str, is_first: bool) -> None:
        """Write down the data folder of a controller of a new system."""
        if self._controller.controllers.get(box) == ANY_STORAGE and is_first:
            self._append_voter_ready(box, storage_id)

    def propose_next_change(self) -> None:
        """Replace a controller that is gone by one that stands by, a step at a time."""
        now_ms = monotonic_ms()
        timeout_ms = self._controller.election_timeout_ms
        self._expire_standbys(now_ms - _STANDBY_TTL_ELECTION_TIMEOUTS * timeout_ms)
        commit_index = self._controller.applied.commit_index
        if not self._has_committed_in_term or commit_index < self._last_change_index:
            return
        unresponsive_since_ms = now_ms - _REPLACE_AFTER_ELECTION_TIMEOUTS * timeout_ms
        # Nobody could answer this term's leader before it led.
        has_observed_long_enough = self._started_ms < unresponsive_since_ms
        standbys = [
            Standby(
                box, request.storage_id, self._followers.holds_committed(box, request.storage_id)
            )
            for box, request in self._standbys.items()
        ]
        command = next_change(
            self._controller.controllers,
            self._controller.applied.state.founder_count,
            self._followers.unresponsive_since(unresponsive_since_ms)
            if has_observed_long_enough
            else [],
            standbys,
            self._controller.box,
        )
        if command is not None:
            CONTROLLER_LOG.info("Change of controllers: {}.", command)
            self._last_change_index = self._append(command)

    def _append_voter_ready(self, box: str, storage_id: str) -> None:
        if (box, storage_id) in self._admitted:
            return
        self._admitted.add((box, storage_id))
        CONTROLLER_LOG.info("Take in {} with data folder {}.", box, storage_id)
        self._last_change_index = self._append(VoterReadyCommand(box, storage_id))

    def _register_standby(self, box: str, storage_id: str) -> None:
        """Replicate to a controller that does not count, so that it can come in at once."""
        if box == self._controller.box:
            return
        if box not in self._standbys:
            CONTROLLER_LOG.info("Controller {} stands by with data folder {}.", box, storage_id)
        self._standbys[box] = _MembershipRequest(storage_id, monotonic_ms())
        self._update_followers()

    def _expire_standbys(self, before_ms: float) -> None:
        """Forget those that have not asked since *before_ms*."""
        for box, request in list(self._standbys.items()):
            if request.requested_ms < before_ms:
                del self._standbys[box]
                self._update_followers()
