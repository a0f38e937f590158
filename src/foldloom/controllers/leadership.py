# SPDX-License-Identifier: MIT
"""One term as leader: replication, commitment and proof of leadership.

Owns the term's tasks and the proposals that wait for their entry to be applied. Follows Raft
(Ongaro and Ousterhout, 2014, sections 5.3, 5.4.2 and 8): only entries of the current term are
committed by counting replicas.
"""

from __future__ import annotations

import asyncio

from foldloom.clock import monotonic_ms
from foldloom.controllers.commands import Answer, Command, encode_command
from foldloom.controllers.followers import FollowerTable
from foldloom.controllers.messages import Append, AppendReply, InstallSnapshot
from foldloom.controllers.participant import Leader
from foldloom.controllers.voter_changes import VoterChanges
from foldloom.exceptions import NotLeaderError, PeerUnreachableError
from foldloom.logs import CONTROLLER_LOG
from foldloom.time_limits import SuspendAwareTimeout

# Maximum number of entries per append; limits it to a few hundred kilobytes.
_ENTRIES_PER_APPEND = 500
# Several heartbeats may be lost before a follower starts an election.
_HEARTBEATS_PER_ELECTION_TIMEOUT = 6


class Leadership:
    """One term as leader.

    Args:
        controller: The controller that leads.
    """

    def __init__(self, controller: Leader) -> None:
        self._controller = controller
        self._term = controller.log.term
        self._first_index = controller.log.last_index + 1
        self._followers = FollowerTable(controller)
        self._voter_changes = VoterChanges(
            controller, self._followers, self._first_index, self._append, self.update_followers
        )
        self._wakeups: dict[str, asyncio.Event] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._proposals: dict[int, asyncio.Future[Answer]] = {}
        self._flush_requested = asyncio.Event()
        self._reply_received = asyncio.Condition()
        self._started_ms = monotonic_ms()

    def start(self) -> None:
        """Append the first entry of the term and start the tasks."""
        self._controller.log.add(self._controller.applied.initial_payload())
        self._tasks["flush"] = asyncio.create_task(self._flush())
        self._tasks["watch"] = asyncio.create_task(self._monitor_quorum())
        self._flush_requested.set()
        self.update_followers()

    def stop(self) -> None:
        """Cancel the tasks and fail the pending proposals, whose outcome is unknown."""
        for task in self._tasks.values():
            task.cancel()
        for future in self._proposals.values():
            if not future.done():
                future.set_exception(NotLeaderError())
                future.exception()
        self._proposals.clear()

    def update_followers(self) -> None:
        """Replicate to the current voters and standbys only."""
        members = {*self._controller.controllers, *self._voter_changes.standbys} - {
            self._controller.box
        }
        for box in members - self._followers.boxes:
            self._followers.add(box)
            self._wakeups[box] = asyncio.Event()
            self._tasks[box] = asyncio.create_task(self._replicate(box))
        for box in self._followers.boxes - members:
            self._tasks.pop(box).cancel()
            self._followers.remove(box)
            del self._wakeups[box]

    def successor(self) -> str:
        """Return the voter that is ready to take over leadership, or an empty string."""
        return self._followers.successor()

    def handle_readmit(self, box: str, storage_id: str) -> None:
        """Handle a request of *box* to become a voter."""
        self._voter_changes.handle_readmit(box, storage_id)

    async def propose(self, payload: bytes) -> Answer:
        """Append *payload* and return its answer once it is committed and applied.

        Raises:
            NotLeaderError: Leadership was lost; the entry may still be committed.
        """
        entry = self._controller.log.add(payload)
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._proposals[entry.log_index] = future
        self._flush_requested.set()
        self._wake_replication()
        return await future

    def resolve(self, index: int, answer: Answer) -> None:
        """Complete the proposal of the applied entry at *index* with *answer*."""
        future = self._proposals.pop(index, None)
        if future is not None and not future.done():
            future.set_result(answer)

    async def barrier(self) -> None:
        """Return once a majority has confirmed that this controller is still the leader.

        Raises:
            NotLeaderError: No majority confirmed it within the election timeout.
        """
        started = monotonic_ms()
        self._wake_replication()
        try:
            async with (
                SuspendAwareTimeout(self._controller.election_timeout_ms),
                self._reply_received,
            ):
                await self._reply_received.wait_for(
                    lambda: self._is_leader_confirmed_since(started)
                )
        except TimeoutError:
            raise NotLeaderError() from None

    def _append(self, command: Command) -> int:
        """Append a command without waiting for its answer, and return its index."""
        entry = self._controller.log.add(encode_command(command))
        self.update_followers()
        self._flush_requested.set()
        self._wake_replication()
        return entry.log_index

    async def _flush(self) -> None:
        """Write and sync added entries in groups (group commit)."""
        while True:
            await self._flush_requested.wait()
            self._flush_requested.clear()
            try:
                await self._controller.log.flush()
            except OSError as error:
                self._controller.fail(error)
                return
            self._advance_commit_index()

    async def _monitor_quorum(self) -> None:
        """Step down if no majority has replied within the election timeout."""
        timeout = self._controller.election_timeout_ms
        while True:
            await asyncio.sleep(timeout / 2_000)
            self._voter_changes.propose_next_change()
            since = monotonic_ms() - timeout
            if since > self._started_ms and not self._followers.has_quorum_since(since):
                CONTROLLER_LOG.warning(
                    "Stepping down: no quorum replied within the election timeout."
                )
                self._controller.step_down()
                return

    async def _replicate(self, box: str) -> None:
        """Send entries and heartbeats to *box*, one append at a time."""
        interval_ms = self._controller.election_timeout_ms / _HEARTBEATS_PER_ELECTION_TIMEOUT
        while True:
            self._wakeups[box].clear()
            is_behind = await self._replicate_once(box)
            if is_behind:
                continue
            try:
                async with SuspendAwareTimeout(interval_ms):
                    await self._wakeups[box].wait()
            except TimeoutError:
                # No new entries: send a heartbeat.
                continue

    async def _replicate_once(self, box: str) -> bool:
        """Send one append; return whether *box* still lacks entries."""
        message = self._next_message(box)
        sent_ms = monotonic_ms()
        try:
            reply: AppendReply = await self._controller.network.request(
                box, message, self._controller.election_timeout_ms / 2
            )
        except PeerUnreachableError:
            # The follower's reply time stays unchanged; the next heartbeat tries again.
            return False
        if reply.term > self._term:
            self._controller.observe_term(reply.term)
            return False
        self._followers.record_reply(box, reply, sent_ms)
        self._voter_changes.record_storage_id(box, reply.storage_id, reply.is_first)
        self._advance_commit_index()
        async with self._reply_received:
            self._reply_received.notify_all()
        return self._followers.next_index(box) <= self._controller.log.last_index

    def _next_message(self, box: str) -> Append | InstallSnapshot:
        log = self._controller.log
        next_index = min(self._followers.next_index(box), log.last_index + 1)
        prev_term = log.term_at(next_index - 1)
        if prev_term is None:
            return InstallSnapshot(self._term, log.snapshot)
        entries = log.entries_from(next_index, _ENTRIES_PER_APPEND)
        return Append(
            self._term, next_index - 1, prev_term, entries, self._controller.applied.commit_index
        )

    def _is_leader_confirmed_since(self, since_ms: float) -> bool:
        has_committed_in_term = self._controller.applied.commit_index >= self._first_index
        return has_committed_in_term and self._followers.has_quorum_since(since_ms)

    def _advance_commit_index(self) -> None:
        """Commit up to the quorum's match index if that entry is of this term."""
        controller = self._controller
        quorum_index = self._followers.quorum_match_index()
        is_current_term = controller.log.term_at(quorum_index) == self._term
        if quorum_index > controller.applied.commit_index and is_current_term:
            controller.commit(quorum_index)
            self._voter_changes.record_storage_id(
                controller.box, controller.storage_id, controller.is_first
            )
            self._wake_replication()

    def _wake_replication(self) -> None:
        for wakeup in self._wakeups.values():
            wakeup.set()
