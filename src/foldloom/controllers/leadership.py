# SPDX-License-Identifier: MIT
"""What a controller does while it leads: replicate, commit, prove that it still leads."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from foldloom.controllers.commands import Command, VoterReadyCommand, encode_command
from foldloom.controllers.members import Standby, next_change
from foldloom.controllers.messages import Append, AppendReply, InstallSnapshot
from foldloom.controllers.participant import Leader
from foldloom.controllers.state import Answer
from foldloom.exceptions import NotLeaderError, PeerUnreachableError
from foldloom.logs import CONTROLLER_LOG
from foldloom.peers.wire import monotonic_ms

ANY_STORAGE = "?"
# Entries in one append. Not measured: chosen to bound a message to some hundred kilobytes.
_ENTRIES_PER_APPEND = 500
# Heartbeats in an election time-out, so that several may be lost before a follower stands.
_HEARTBEATS_PER_ELECTION_TIMEOUT = 6
# Election time-outs of silence after which a controller may be replaced by a standby. Not measured:
# chosen above a restart, which takes 1 to 2 s on the users' bench.
_GONE_AFTER_TIMEOUTS = 2.5
# Election time-outs without a request after which a standby is forgotten. Not measured.
_STANDBY_KEPT_TIMEOUTS = 10


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
    answered_ms: float = 0.0
    storage_id: str = ""
    is_first: bool = False


class _Candidacy(NamedTuple):
    """A controller that asks to be counted, and when it asked."""

    storage_id: str
    since_ms: float


class Leadership:
    """One term of leading.

    Args:
        controller: The controller that leads.
    """

    def __init__(self, controller: Leader) -> None:
        self._controller = controller
        self._term = controller.log.term
        self._first_index = controller.log.last_index + 1
        self._followers: dict[str, Follower] = {}
        self._wakeups: dict[str, asyncio.Event] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._proposals: dict[int, asyncio.Future[Answer]] = {}
        self._dirty = asyncio.Event()
        self._answered = asyncio.Condition()
        self._candidacies: dict[str, _Candidacy] = {}
        self._standbys: dict[str, _Candidacy] = {}
        self._member_index = 0
        self._pinned: set[tuple[str, str]] = set()
        self._started_ms = monotonic_ms()

    def start(self) -> None:
        """Begin the term with an entry of its own and start the tasks."""
        self._controller.log.add(self._controller.applied.first_payload())
        self._tasks["flush"] = asyncio.create_task(self._flush())
        self._tasks["watch"] = asyncio.create_task(self._watch())
        self._dirty.set()
        self.follow_members()

    def stop(self) -> None:
        """End the tasks; what was proposed and not committed stays unknown."""
        for task in self._tasks.values():
            task.cancel()
        for future in self._proposals.values():
            if not future.done():
                future.set_exception(NotLeaderError())
                future.exception()
        self._proposals.clear()

    def follow_members(self) -> None:
        """Replicate to each controller that counts and each standby, and to no other."""
        members = {*self._controller.controllers, *self._standbys} - {self._controller.box}
        for box in members - set(self._followers):
            self._followers[box] = Follower(self._controller.log.last_index + 1)
            self._wakeups[box] = asyncio.Event()
            self._tasks[box] = asyncio.create_task(self._replicate(box))
        for box in set(self._followers) - members:
            self._tasks.pop(box).cancel()
            del self._followers[box], self._wakeups[box]

    def successor(self) -> str:
        """Return the controller that could lead at once, or an empty string."""
        ready = [
            box
            for box in self._controller.controllers
            if self._counts(box)
            and box != self._controller.box
            and self._followers[box].match_index >= self._controller.log.last_index
        ]
        return max(ready, key=lambda box: self._followers[box].answered_ms, default="")

    async def propose(self, payload: bytes) -> Answer:
        """Append *payload* and return its answer once it is committed and applied.

        Raises:
            NotLeaderError: Leadership was lost; the entry may still be committed.
        """
        entry = self._controller.log.add(payload)
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._proposals[entry.log_index] = future
        self._dirty.set()
        self._wake_all()
        return await future

    def resolve(self, index: int, answer: Answer) -> None:
        """Give the applied entry's answer to whoever proposed it."""
        future = self._proposals.pop(index, None)
        if future is not None and not future.done():
            future.set_result(answer)

    async def barrier(self) -> None:
        """Return once a majority has confirmed that this controller leads now.

        Raises:
            NotLeaderError: It does not, or can't show it in time.
        """
        started = monotonic_ms()
        self._wake_all()
        try:
            async with asyncio.timeout(self._controller.election_timeout_ms / 1_000):
                async with self._answered:
                    await self._answered.wait_for(lambda: self._is_current_since(started))
        except TimeoutError:
            raise NotLeaderError() from None

    def admit(self, box: str, storage_id: str) -> None:
        """Note that *box* wants to be counted; take it in once that is safe.

        It is safe when every other controller has answered this term since the request
        came: none of them can then win with a vote that *box* gave before it lost its
        memory. *box* must also hold everything that is committed.
        """
        if box not in self._controller.controllers:
            self._note_standby(box, storage_id)
            return
        known = self._candidacies.get(box)
        if known is None or known.storage_id != storage_id:
            known = _Candidacy(storage_id, monotonic_ms())
            self._candidacies[box] = known
        follower = self._followers.get(box)
        if follower is None or follower.storage_id != storage_id:
            return
        if (
            follower.match_index < self._controller.applied.commit_index
            or not self._has_committed_own()
        ):
            return
        others = [
            name for name in self._controller.controllers if name not in (box, self._controller.box)
        ]
        if any(self._followers[name].answered_ms < known.since_ms for name in others):
            return
        self._take_in(box, storage_id)

    def _take_in(self, box: str, storage_id: str) -> None:
        if (box, storage_id) in self._pinned:
            return
        self._pinned.add((box, storage_id))
        CONTROLLER_LOG.info("Take in {} with data folder {}.", box, storage_id)
        self._add(VoterReadyCommand(box, storage_id))

    def _add(self, command: Command) -> None:
        """Append a command that nobody waits for."""
        entry = self._controller.log.add(encode_command(command))
        self._member_index = entry.log_index
        self.follow_members()
        self._dirty.set()
        self._wake_all()

    def _note_standby(self, box: str, storage_id: str) -> None:
        """Replicate to a controller that does not count, so that it can come in at once."""
        if box == self._controller.box:
            return
        if box not in self._standbys:
            CONTROLLER_LOG.info("Controller {} stands by with data folder {}.", box, storage_id)
        self._standbys[box] = _Candidacy(storage_id, monotonic_ms())
        self.follow_members()

    def _change_members(self) -> None:
        """Replace a controller that is gone by one that stands by, a step at a time."""
        now_ms = monotonic_ms()
        timeout_ms = self._controller.election_timeout_ms
        for box, known in list(self._standbys.items()):
            if now_ms - known.since_ms > _STANDBY_KEPT_TIMEOUTS * timeout_ms:
                del self._standbys[box]
                self.follow_members()
        if (
            not self._has_committed_own()
            or self._controller.applied.commit_index < self._member_index
        ):
            return
        silent = [
            box
            for box, follower in self._followers.items()
            if now_ms - max(follower.answered_ms, self._started_ms)
            > _GONE_AFTER_TIMEOUTS * timeout_ms
        ]
        standbys = [
            Standby(box, known.storage_id, self._is_current(box, known.storage_id))
            for box, known in self._standbys.items()
        ]
        command = next_change(
            self._controller.controllers,
            self._controller.applied.state.founder_count,
            silent,
            standbys,
            self._controller.box,
        )
        if command is not None:
            CONTROLLER_LOG.info("Change of controllers: {}.", command)
            self._add(command)

    def _is_current(self, box: str, storage_id: str) -> bool:
        follower = self._followers.get(box)
        if follower is None or follower.storage_id != storage_id:
            return False
        return follower.match_index >= self._controller.applied.commit_index

    async def _flush(self) -> None:
        """Make added entries durable, as many as there are at a time."""
        while True:
            await self._dirty.wait()
            self._dirty.clear()
            try:
                await self._controller.log.flush()
            except OSError as error:
                self._controller.fail(error)
                return
            self._advance()

    async def _watch(self) -> None:
        """Step down when no majority has answered for an election time-out."""
        timeout = self._controller.election_timeout_ms
        while True:
            await asyncio.sleep(timeout / 2_000)
            self._change_members()
            since = monotonic_ms() - timeout
            if since > self._started_ms and not self._is_acknowledged_since(since):
                CONTROLLER_LOG.warning("Step down: no majority answers.")
                self._controller.step_down()
                return

    async def _replicate(self, box: str) -> None:
        """Send *box* what it misses, and heartbeats, one append at a time."""
        interval = self._controller.election_timeout_ms / _HEARTBEATS_PER_ELECTION_TIMEOUT / 1_000
        while True:
            self._wakeups[box].clear()
            is_behind = await self._replicate_once(box)
            if is_behind:
                continue
            try:
                async with asyncio.timeout(interval):
                    await self._wakeups[box].wait()
            except TimeoutError:
                # Nothing to send: a heartbeat is due.
                continue

    async def _replicate_once(self, box: str) -> bool:
        """Send one append; return whether there is more to send at once."""
        message = self._next_message(box)
        sent_ms = monotonic_ms()
        try:
            reply: AppendReply = await self._controller.network.request(
                box, message, self._controller.election_timeout_ms / 2
            )
        except PeerUnreachableError:
            # It is silent: its time of contact stays, and the next heartbeat asks it again.
            return False
        if reply.term > self._term:
            self._controller.notice_term(reply.term)
            return False
        self._note(box, reply, sent_ms)
        async with self._answered:
            self._answered.notify_all()
        return self._followers[box].next_index <= self._controller.log.last_index

    def _next_message(self, box: str) -> Append | InstallSnapshot:
        log = self._controller.log
        next_index = min(self._followers[box].next_index, log.last_index + 1)
        prev_term = log.term_at(next_index - 1)
        if prev_term is None:
            return InstallSnapshot(self._term, log.snapshot)
        entries = log.entries_from(next_index, _ENTRIES_PER_APPEND)
        return Append(
            self._term, next_index - 1, prev_term, entries, self._controller.applied.commit_index
        )

    def _note(self, box: str, reply: AppendReply, sent_ms: float) -> None:
        known = self._followers[box]
        if reply.is_ok:
            changed = known._replace(
                next_index=reply.match_index + 1, match_index=reply.match_index
            )
        else:
            hint = min(known.next_index - 1, reply.match_index + 1)
            changed = known._replace(next_index=max(1, hint), match_index=0)
        self._followers[box] = changed._replace(
            answered_ms=sent_ms, storage_id=reply.storage_id, is_first=reply.is_first
        )
        self._pin(box, reply.storage_id, reply.is_first)
        self._advance()

    def _pin(self, box: str, storage_id: str, is_first: bool) -> None:
        """Write down the data folder of a controller of a new system."""
        if self._controller.controllers.get(box) == ANY_STORAGE and is_first:
            self._take_in(box, storage_id)

    def _counts(self, box: str) -> bool:
        """Return whether *box*'s answers count toward a majority."""
        if box == self._controller.box:
            return self._controller.may_vote
        follower = self._followers.get(box)
        if follower is None:
            return False
        return self._controller.is_counted(box, follower.storage_id, follower.is_first)

    def _is_acknowledged_since(self, since_ms: float) -> bool:
        answering = [
            box
            for box in self._controller.controllers
            if self._counts(box)
            and (box == self._controller.box or self._followers[box].answered_ms >= since_ms)
        ]
        return len(answering) >= self._controller.majority

    def _is_current_since(self, since_ms: float) -> bool:
        return self._has_committed_own() and self._is_acknowledged_since(since_ms)

    def _has_committed_own(self) -> bool:
        return self._controller.applied.commit_index >= self._first_index

    def _advance(self) -> None:
        """Commit what a majority holds, if it is of this term."""
        log = self._controller.log
        matches = [
            log.durable_index if box == self._controller.box else self._followers[box].match_index
            for box in self._controller.controllers
            if self._counts(box)
        ]
        if len(matches) < self._controller.majority:
            return
        matches.sort(reverse=True)
        agreed = matches[self._controller.majority - 1]
        if agreed > self._controller.applied.commit_index and log.term_at(agreed) == self._term:
            self._controller.commit(agreed)
            self._pin(self._controller.box, self._controller.storage_id, self._controller.is_first)
            self._wake_all()

    def _wake_all(self) -> None:
        for wakeup in self._wakeups.values():
            wakeup.set()
