# SPDX-License-Identifier: MIT
"""One controller of the replicated log, composed of its parts on one data folder.

Owns the role (leader, follower, failed) and the log. Follows Raft (Ongaro and Ousterhout, 2014)
with pre-votes (Ongaro's dissertation, 2014, section 9.6) and step-down without a majority (section
6.2). Every vote carries its data folder's identity.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from foldloom.controllers.applied import AppliedState
from foldloom.controllers.commands import Answer
from foldloom.controllers.compaction import Compaction
from foldloom.controllers.config import UNRECORDED_STORAGE_ID, Config
from foldloom.controllers.election import Elections
from foldloom.controllers.leader_contact import LeaderContact
from foldloom.controllers.leadership import Leadership
from foldloom.controllers.log import ReplicatedLog, open_storage
from foldloom.controllers.members import quorum_size_of
from foldloom.controllers.readmission import request_readmission
from foldloom.controllers.replication_handlers import ReplicationHandlers
from foldloom.controllers.request_handlers import RequestHandlers
from foldloom.controllers.state import ChangeSet, Publication, ReplicatedState
from foldloom.controllers.storage import LogStorage
from foldloom.daemon_threads import call_in_daemon_thread
from foldloom.logs import CONTROLLER_LOG
from foldloom.metrics import Metrics
from foldloom.peers.wire import PeerNetwork
from foldloom.settings import Settings
from foldloom.tasks import TaskSet
from foldloom.time_limits import SuspendAwareTimeout

# Interval between attempts to reopen the log after a disk failure; each one rewrites it whole.
_REOPEN_INTERVAL_S = 1.0
# How long a stop waits for the write in progress.
_CLOSE_TIMEOUT_MS = 1_000.0


class Callbacks(NamedTuple):
    """Callbacks from a controller to its box.

    Args:
        on_config: Called with each newer confirmed configuration and the changes since the last.
        on_publication: Called with each newer published document.
        known_controllers: Returns the controllers to contact when no leader is known.
    """

    on_config: Callable[[Config, list[ChangeSet]], None] = lambda _config, _changes: None
    on_publication: Callable[[Publication], None] = lambda _publication: None
    known_controllers: Callable[[], list[str]] = list


class Controller:
    """A controller.

    Args:
        settings: This box's settings.
        network: The peers.
        metrics: Counters.
        initial: The configuration at version 0.
        callbacks: Callbacks to the box.

    ``contact`` tracks the leader. ``state_lock`` is held while the term or the log changes.
    """

    def __init__(
        self,
        settings: Settings,
        network: PeerNetwork,
        metrics: Metrics,
        initial: Config,
        callbacks: Callbacks,
    ) -> None:
        self.network = network
        self.box = settings.box
        self.election_timeout_ms = settings.timings.election_timeout_ms
        self._metrics = metrics
        self._callbacks = callbacks
        self._settings = settings
        self._initial = initial
        self._leadership: Leadership | None = None
        self._is_failed = False
        self.contact = LeaderContact()
        self.state_lock = asyncio.Lock()
        self._tasks = TaskSet()
        self._compaction = Compaction(self, self._tasks)
        self._load_log(*open_storage(settings))
        self._elections = Elections(self)
        ReplicationHandlers(self)
        RequestHandlers(self)

    def _load_log(self, storage: LogStorage, log: ReplicatedLog) -> None:
        """Load the data folder; of its contents, only the snapshot is known to be committed."""
        self._storage, self.log = storage, log
        on_publication = self._callbacks.on_publication
        self.applied = AppliedState(log, self._initial, self._adopt_config, on_publication)
        self.applied.load(log.snapshot)

    @property
    def state(self) -> ReplicatedState:
        """The state after all applied entries."""
        return self.applied.state

    @property
    def leader(self) -> str:
        """The leader's box, or an empty string if unknown."""
        return self.box if self._leadership is not None else self.contact.leader

    @property
    def is_leading(self) -> bool:
        """Whether this controller considers itself the leader."""
        return self._leadership is not None

    @property
    def is_failed(self) -> bool:
        """Whether the disk failed and the data folder is not reopened yet."""
        return self._is_failed

    @property
    def leadership(self) -> Leadership | None:
        """The current term as leader, or ``None``."""
        return self._leadership

    @property
    def controllers(self) -> dict[str, str]:
        """The voters by this controller's log, with their storage ids."""
        return self.applied.controllers

    @property
    def quorum_size(self) -> int:
        """The number of voters in a majority."""
        return quorum_size_of(self.controllers)

    @property
    def storage_id(self) -> str:
        """The id of this controller's data folder."""
        return self._storage.identity.storage_id

    @property
    def log_bytes(self) -> int:
        """The log file's size in bytes."""
        return self._storage.log_bytes

    @property
    def is_first(self) -> bool:
        """Whether an operator formatted this data folder."""
        return self._storage.identity.is_first

    @property
    def may_vote(self) -> bool:
        """Whether this controller is a voter with its current data folder."""
        return not self._is_failed and self.is_voter(self.box, self.storage_id, self.is_first)

    @property
    def summary(self) -> dict[str, object]:
        """The status shown by ``foldloom status``."""
        return {
            "leader": self.leader,
            "term": self.log.term,
            "commit_index": self.applied.commit_index,
            "may_vote": self.may_vote,
            "is_failed": self._is_failed,
            "log_bytes": self.log_bytes,
            "bytes_written": self._storage.bytes_written,
        }

    def is_voter(self, box: str, storage_id: str, is_first: bool) -> bool:
        """Return whether *box* is a voter with this data folder."""
        expected = self.controllers.get(box, "")
        if expected == UNRECORDED_STORAGE_ID:
            return is_first
        return bool(storage_id) and expected == storage_id

    async def run(self) -> None:
        """Run elections and request readmission when needed, until cancelled."""
        self._tasks.spawn(request_readmission(self, self._callbacks.known_controllers))
        while True:
            if self._is_failed:
                await asyncio.sleep(_REOPEN_INTERVAL_S)
                await self._reopen()
                continue
            timeout = self.election_timeout_ms * random.uniform(1.0, 2.0)
            await asyncio.sleep(timeout / 1_000)
            if self.is_leading or not self.may_vote:
                continue
            if self.contact.silent_ms < self.election_timeout_ms:
                continue
            try:
                await self._elections.run_election()
            except OSError as error:
                self.fail(error)

    async def stop(self) -> None:
        """Stop all tasks, then close the storage once the write in progress has ended.

        A write that does not end in time, because the disk blocks, is given up: until it ends, this
        process does not open the data folder again.
        """
        self.step_down()
        await self._tasks.stop()
        try:
            async with SuspendAwareTimeout(_CLOSE_TIMEOUT_MS):
                await self.log.aclose()
        except TimeoutError:
            self.log.give_up()
            CONTROLLER_LOG.warning(
                "A write of the replicated log was given up after {:.0f} ms.", _CLOSE_TIMEOUT_MS
            )

    def successor(self) -> str:
        """Return the voter that is ready to take over leadership, or an empty string."""
        return "" if self._leadership is None else self._leadership.successor()

    def fail(self, error: OSError) -> None:
        """Stop participating until the data folder is reopened.

        After a failed write the contents of the disk are unknown, so no vote is granted and no
        entry is acknowledged.
        """
        CONTROLLER_LOG.error("Disk failure: {}. Voting is disabled until it is writable.", error)
        self._is_failed = True
        self.step_down()

    async def _reopen(self) -> None:
        """Reload the data folder, as after a restart, if the disk is writable.

        The failed write was never acknowledged, so either outcome on disk is correct. Everything
        read back is written and synced again first: after a failed sync, readable data may not be
        durable.
        """
        async with self.state_lock:
            try:
                await self.log.aclose()
                storage, log = await call_in_daemon_thread(
                    partial(open_storage, self._settings), "log"
                )
                await log.rewrite()
            except OSError as error:
                CONTROLLER_LOG.warning("Reopening the data folder failed: {}.", error)
                return
            self._load_log(storage, log)
            self._is_failed = False
            self.contact.restart_election_timer()
            CONTROLLER_LOG.info("Data folder reopened; the last log index is {}.", log.last_index)

    def follow(self, leader: str) -> None:
        """Accept *leader* as the leader of the current term and restart the election timer."""
        if self.contact.leader != leader:
            CONTROLLER_LOG.info("Following leader {} in term {}.", leader, self.log.term)
        self.contact.follow(leader)

    def lead(self) -> None:
        """Become leader in the current term."""
        self._metrics.count("controller.elections-won")
        self._leadership = Leadership(self)
        self._leadership.start()

    def step_down(self) -> None:
        """Stop leading."""
        if self._leadership is None:
            return
        leadership, self._leadership = self._leadership, None
        self.contact.clear_leader()
        self.log.drop_unwritten()
        leadership.stop()

    def observe_term(self, term: int) -> None:
        """Adopt a peer's newer *term* in a background task."""
        if term > self.log.term:
            self._tasks.spawn(self._adopt_term_in_turn(term))

    async def _adopt_term_in_turn(self, term: int) -> None:
        async with self.state_lock:
            try:
                await self.adopt_term(term)
            except OSError as error:
                self.fail(error)

    async def adopt_term(self, term: int) -> None:
        """Adopt *term* durably and step down if it is newer.

        Raises:
            OSError: The disk failed.
        """
        if term <= self.log.term:
            return
        self.step_down()
        await self.log.save_term_vote(term, "")

    def commit(self, index: int) -> None:
        """Commit and apply the entries up to *index*."""
        self.applied.commit(index, self._resolve)
        self._compaction.run_if_due()

    def _resolve(self, index: int, answer: Answer) -> None:
        """Pass an applied entry's answer to its local proposer, if any."""
        if self._leadership is not None:
            self._leadership.resolve(index, answer)

    def _adopt_config(self, config: Config, changes: list[ChangeSet]) -> None:
        """Replicate to the new voters, or step down if this box is not one."""
        if self._leadership is not None:
            if self.box in config.controllers:
                self._leadership.update_followers()
            else:
                self.step_down()
        self._callbacks.on_config(config, changes)
