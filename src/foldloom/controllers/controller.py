# SPDX-License-Identifier: MIT
"""One controller of the replicated log: its parts put to work on one data folder.

Owns the role (leading, following, failed) and the log. Relies on its parts: elections, following,
leadership, contact with the leader, compaction, what is applied. The rules are Raft's as published
(Ongaro and Ousterhout, 2014), with trial votes before an election (Ongaro's dissertation, section
9.6), step-down without a majority (section 6.2), and a data folder's identity behind every vote.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import NamedTuple

from foldloom.controllers.applied import AppliedState
from foldloom.controllers.commands import Answer
from foldloom.controllers.compaction import Compaction
from foldloom.controllers.config import ANY_STORAGE, Config
from foldloom.controllers.election import ElectionHandlers
from foldloom.controllers.following import ReplicationHandlers
from foldloom.controllers.leader_contact import LeaderContact
from foldloom.controllers.leadership import Leadership
from foldloom.controllers.log import ReplicatedLog, open_storage
from foldloom.controllers.members import quorum_size_of
from foldloom.controllers.readmission import request_readmission
from foldloom.controllers.requests import RequestHandlers
from foldloom.controllers.state import ChangeSet, Publication, ReplicatedState
from foldloom.controllers.storage import LogStorage
from foldloom.logs import CONTROLLER_LOG
from foldloom.metrics import Metrics
from foldloom.peers.wire import PeerNetwork
from foldloom.settings import Settings
from foldloom.tasks import TaskSet

# Seconds between two attempts to open a data folder again whose disk failed, because a disk that is
# full may be freed at any time, and one attempt costs a read and a write of the whole log.
_REOPEN_INTERVAL_S = 1.0


class Callbacks(NamedTuple):
    """What a controller asks of its box, and tells it.

    Args:
        on_config: Called with each newer confirmed configuration and what led to it.
        on_publication: Called with each newer published document.
        contacts: Returns the controllers that may know the leader.
    """

    on_config: Callable[[Config, list[ChangeSet]], None] = lambda _config, _changes: None
    on_publication: Callable[[Publication], None] = lambda _publication: None
    contacts: Callable[[], list[str]] = list


class Controller:
    """A controller.

    Args:
        settings: This box's settings.
        network: The peers.
        metrics: Counters.
        initial: The configuration at version 0.
        callbacks: What it asks of its box, and tells it.

    ``contact``: the contact with the leader. ``turn``: held while a term or the log changes.
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
        self._elections = ElectionHandlers(self)
        ReplicationHandlers(self)
        RequestHandlers(self)

    def _load_log(self, storage: LogStorage, log: ReplicatedLog) -> None:
        """Begin with what the data folder holds; only its snapshot is known to be committed."""
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
        """The leader's box as far as known, or an empty string."""
        return self.box if self._leadership is not None else self.contact.leader

    @property
    def is_leading(self) -> bool:
        """Whether this controller leads, as far as it knows."""
        return self._leadership is not None

    @property
    def is_failed(self) -> bool:
        """Whether the disk failed: this controller takes no part."""
        return self._is_failed

    @property
    def leadership(self) -> Leadership | None:
        """The present term of leading, if any."""
        return self._leadership

    @property
    def controllers(self) -> dict[str, str]:
        """The controllers that count, by the own log, and their data folders' ids."""
        return self.applied.controllers

    @property
    def quorum_size(self) -> int:
        """How many controllers are more than half."""
        return quorum_size_of(self.controllers)

    @property
    def storage_id(self) -> str:
        """This data folder's id."""
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
        """Whether this controller's memory counts."""
        return not self._is_failed and self.is_voter(self.box, self.storage_id, self.is_first)

    @property
    def summary(self) -> dict[str, object]:
        """Facts for ``foldloom status``."""
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
        """Return whether the configuration counts *box* with this data folder."""
        expected = self.controllers.get(box, "")
        if expected == ANY_STORAGE:
            return is_first
        return bool(storage_id) and expected == storage_id

    async def run(self) -> None:
        """Stand for election when the leader is silent, and ask to be counted, until cancelled."""
        self._tasks.spawn(request_readmission(self, self._callbacks.contacts))
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
        """End all tasks; close the storage after the write in hand, which would outlive it."""
        self.step_down()
        await self._tasks.stop()
        await asyncio.to_thread(self.log.close)

    def successor(self) -> str:
        """Return the controller that could lead at once in this leader's place, or ''."""
        return "" if self._leadership is None else self._leadership.successor()

    def fail(self, error: OSError) -> None:
        """Take no part until the data folder can be opened again.

        After a failed write it is not known what is on disk, so nothing may be answered that
        relies on it: no vote, no acknowledgement of entries.
        """
        CONTROLLER_LOG.error("The disk failed: {}. No vote until it takes writes again.", error)
        self._is_failed = True
        self.step_down()

    async def _reopen(self) -> None:
        """Begin again with what is on disk, as after a restart, if the disk takes writes.

        Nothing that the failed write was about has been answered to anyone, so it does not matter
        whether it is on disk. All that is read back is written and synced anew first: after a
        failed sync, what can be read need not be on the disk.
        """
        async with self.state_lock:
            try:
                await asyncio.to_thread(self.log.close)
                storage, log = await asyncio.to_thread(open_storage, self._settings)
                await log.rewrite()
            except OSError as error:
                CONTROLLER_LOG.warning("The data folder can't be opened again yet: {}.", error)
                return
            self._load_log(storage, log)
            self._is_failed = False
            self.contact.restart_election_timer()
            CONTROLLER_LOG.info(
                "The disk takes writes again: entry {} is the last.", log.last_index
            )

    def follow(self, leader: str) -> None:
        """Note that *leader* leads in the present term, and is in contact."""
        if self.contact.leader != leader:
            CONTROLLER_LOG.info("Follow {} in term {}.", leader, self.log.term)
        self.contact.follow(leader)

    def lead(self) -> None:
        """Begin to lead in the present term."""
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
        """Adopt a newer *term* that a peer is in, in a task of its own."""
        if term > self.log.term:
            self._tasks.spawn(self._adopt_term_in_turn(term))

    async def _adopt_term_in_turn(self, term: int) -> None:
        async with self.state_lock:
            try:
                await self.adopt_term(term)
            except OSError as error:
                self.fail(error)

    async def adopt_term(self, term: int) -> None:
        """Adopt *term* durably if it is newer, and stop leading.

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
        """Return an applied entry's answer to its proposer, if that is on this box."""
        if self._leadership is not None:
            self._leadership.resolve(index, answer)

    def _adopt_config(self, config: Config, changes: list[ChangeSet]) -> None:
        """Follow the controllers of a newer configuration, or stop leading if not among them."""
        if self._leadership is not None:
            if self.box in config.controllers:
                self._leadership.update_followers()
            else:
                self.step_down()
        self._callbacks.on_config(config, changes)
