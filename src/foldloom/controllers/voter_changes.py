# SPDX-License-Identifier: MIT
"""Membership changes by the leader: readmission, and replacement by standbys.

Owns this term's readmission requests and standbys, and the index of the newest change.
:mod:`foldloom.controllers.members` selects the next change; it is proposed only once the previous
one is committed, as in Raft (Ongaro's dissertation, 2014, section 4.1).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from foldloom.clock import monotonic_ms
from foldloom.controllers.commands import Command, VoterReadyCommand
from foldloom.controllers.config import UNRECORDED_STORAGE_ID
from foldloom.controllers.followers import FollowerTable
from foldloom.controllers.members import Standby, next_change
from foldloom.controllers.participant import Leader
from foldloom.logs import CONTROLLER_LOG

# Without a reply for this many election timeouts, a voter may be replaced. Longer than a restart.
_REPLACE_AFTER_ELECTION_TIMEOUTS = 2.5
# A standby is dropped after this many election timeouts without a request.
_STANDBY_TTL_ELECTION_TIMEOUTS = 10


class _MembershipRequest(NamedTuple):
    """A controller's newest request to become a voter."""

    storage_id: str
    requested_ms: float


class VoterChanges:
    """Membership changes of one term.

    Args:
        controller: The controller that leads.
        followers: Replication progress of the other controllers.
        first_index: The first entry of the term.
        append: Appends a command without waiting for its answer, and returns its index.
        update_followers: Replicates to the current voters and standbys only.
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
        """The boxes that receive the log without being voters."""
        return set(self._standbys)

    @property
    def _has_committed_in_term(self) -> bool:
        return self._controller.applied.commit_index >= self._first_index

    def handle_readmit(self, box: str, storage_id: str) -> None:
        """Handle a request of *box* to become a voter; admit it once that is safe.

        A box that lost its data is admitted once it holds all committed entries and every other
        voter has replied in this term since the request: then no candidate of an older term can win
        with a vote that *box* gave before the loss. A box that is not in the table becomes a
        standby.
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
        if any(self._followers.replied_ms(other) < request.requested_ms for other in others):
            return
        self._append_voter_ready(box, storage_id)

    def record_storage_id(self, box: str, storage_id: str, is_first: bool) -> None:
        """Record the data folder of an initial controller if it is not recorded yet."""
        if self._controller.controllers.get(box) == UNRECORDED_STORAGE_ID and is_first:
            self._append_voter_ready(box, storage_id)

    def propose_next_change(self) -> None:
        """Propose the next step in replacing an unresponsive voter by a standby, if any."""
        now_ms = monotonic_ms()
        timeout_ms = self._controller.election_timeout_ms
        self._expire_standbys(now_ms - _STANDBY_TTL_ELECTION_TIMEOUTS * timeout_ms)
        commit_index = self._controller.applied.commit_index
        if not self._has_committed_in_term or commit_index < self._last_change_index:
            return
        unresponsive_since_ms = now_ms - _REPLACE_AFTER_ELECTION_TIMEOUTS * timeout_ms
        # Replies are recorded only since this controller became leader.
        has_observed_long_enough = self._started_ms < unresponsive_since_ms
        standbys = [
            Standby(
                box, request.storage_id, self._followers.holds_committed(box, request.storage_id)
            )
            for box, request in self._standbys.items()
        ]
        command = next_change(
            self._controller.controllers,
            self._controller.applied.state.target_voter_count,
            self._followers.unresponsive_since(unresponsive_since_ms)
            if has_observed_long_enough
            else [],
            standbys,
            self._controller.box,
        )
        if command is not None:
            CONTROLLER_LOG.info("Proposing membership change: {}.", command)
            self._last_change_index = self._append(command)

    def _append_voter_ready(self, box: str, storage_id: str) -> None:
        if (box, storage_id) in self._admitted:
            return
        self._admitted.add((box, storage_id))
        CONTROLLER_LOG.info("Admitting voter {} with data folder {}.", box, storage_id)
        self._last_change_index = self._append(VoterReadyCommand(box, storage_id))

    def _register_standby(self, box: str, storage_id: str) -> None:
        """Replicate to a non-voter so that it can become a voter without delay."""
        if box == self._controller.box:
            return
        if box not in self._standbys:
            CONTROLLER_LOG.info("Controller {} is a standby with data folder {}.", box, storage_id)
        self._standbys[box] = _MembershipRequest(storage_id, monotonic_ms())
        self._update_followers()

    def _expire_standbys(self, before_ms: float) -> None:
        """Drop the standbys without a request since *before_ms*."""
        for box, request in list(self._standbys.items()):
            if request.requested_ms < before_ms:
                del self._standbys[box]
                self._update_followers()
