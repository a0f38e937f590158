# SPDX-License-Identifier: MIT
"""The replicated log of one controller: entries in memory, written and synced in groups.

Owns the entries, the term and the vote, and the lock for changes on disk. Any write to storage may
fail.
"""

from __future__ import annotations

import asyncio
import errno
import os
from collections.abc import Callable
from threading import Lock
from weakref import WeakValueDictionary

from foldloom.controllers.records import Entry, RecoveredLog, Snapshot, TermVote
from foldloom.controllers.storage import LogStorage, format_folder, quarantine_files
from foldloom.daemon_threads import DaemonThread
from foldloom.exceptions import DataLossError
from foldloom.logs import CONTROLLER_LOG
from foldloom.settings import Settings

# How long opening a folder waits for a write in progress. Only a write that was given up lasts
# longer; a process that exits ends it.
_BUSY_TIMEOUT_S = 0.1
# By data folder: held during each write, also by one that outlives its controller.
_LOCKS: WeakValueDictionary[str, Lock] = WeakValueDictionary()


class ReplicatedLog:
    """Entries after a snapshot, the term and the vote.

    Changes on disk run in a thread, one at a time. Entries added during a sync are part of the next
    one.

    Args:
        storage: The opened storage.
        recovered: The contents of the storage.
    """

    def __init__(self, storage: LogStorage, recovered: RecoveredLog) -> None:
        self._storage = storage
        self._term_vote = recovered.term_vote
        self._snapshot = recovered.snapshot
        self._entries = list(recovered.entries)
        self._written_index = self.last_index
        self._durable_index = self.last_index
        self._lock = asyncio.Lock()
        self._disk_lock = _lock_of(storage.folder)
        self._disk_thread = DaemonThread("log")
        self._is_closed = False

    @property
    def term(self) -> int:
        """The newest known term."""
        return self._term_vote.term

    @property
    def voted_for(self) -> str:
        """The candidate voted for in this term, or an empty string."""
        return self._term_vote.voted_for

    @property
    def snapshot(self) -> Snapshot:
        """The snapshot that the entries follow."""
        return self._snapshot

    @property
    def last_index(self) -> int:
        """The index of the last entry, synced or not."""
        return self._snapshot.last_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry."""
        return self._entries[-1].term if self._entries else self._snapshot.term

    @property
    def durable_index(self) -> int:
        """The index up to which entries are synced."""
        return self._durable_index

    @property
    def entry_count(self) -> int:
        """The number of entries after the snapshot."""
        return len(self._entries)

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at *index*, or ``None`` if the log doesn't hold it."""
        if index == self._snapshot.last_index:
            return self._snapshot.term
        if not self._snapshot.last_index < index <= self.last_index:
            return None
        return self._entries[index - self._snapshot.last_index - 1].term

    def entry(self, index: int) -> Entry:
        """Return the entry at *index*."""
        return self._entries[index - self._snapshot.last_index - 1]

    def entries_from(self, index: int, limit: int) -> list[Entry]:
        """Return at most *limit* entries, starting at *index*."""
        start = index - self._snapshot.last_index - 1
        return self._entries[start : start + limit]

    def add(self, payload: bytes) -> Entry:
        """Append an entry in memory, as leader; :meth:`flush` makes it durable."""
        entry = Entry(self.last_index + 1, self.term, payload)
        self._entries.append(entry)
        return entry

    def drop_unwritten(self) -> None:
        """Discard the entries that were never written to disk."""
        del self._entries[self._written_index - self._snapshot.last_index :]

    async def flush(self) -> None:
        """Write and sync all added entries.

        Raises:
            OSError: The disk failed; the entries must not be acknowledged.
        """
        async with self._lock:
            new_entries = self.entries_from(self._written_index + 1, len(self._entries))
            if not new_entries:
                return
            last = new_entries[-1].log_index
            self._written_index = last
            await self._run_on_disk(lambda: self._write(new_entries))
            self._durable_index = min(last, self.last_index)

    async def save_term_vote(self, term: int, voted_for: str) -> None:
        """Make a newer term, or a vote in this term, durable.

        Raises:
            OSError: The disk failed.
        """
        self._term_vote = TermVote(term, voted_for)
        async with self._lock:
            await self._run_on_disk(lambda: self._write_term_vote(self._term_vote))

    async def accept(self, entries: list[Entry]) -> None:
        """Append a leader's *entries* durably, replacing conflicting ones.

        Raises:
            OSError: The disk failed.
        """
        async with self._lock:
            new_entries = self._missing_entries(entries)
            if not new_entries:
                return
            first = new_entries[0].log_index
            truncate_from = first if first <= self.last_index else 0
            if truncate_from:
                del self._entries[first - self._snapshot.last_index - 1 :]
            self._entries.extend(new_entries)
            self._written_index = self.last_index
            await self._run_on_disk(lambda: self._write(new_entries, truncate_from))
            self._durable_index = self.last_index

    async def compact(self, snapshot: Snapshot) -> None:
        """Replace the log up to ``snapshot.last_index`` by *snapshot*, durably.

        Raises:
            OSError: The disk failed.
        """
        async with self._lock:
            if snapshot.last_index <= self._snapshot.last_index:
                return
            retains_suffix = self.term_at(snapshot.last_index) == snapshot.term
            suffix = (
                self._entries[snapshot.last_index - self._snapshot.last_index :]
                if retains_suffix
                else []
            )
            written_suffix = [entry for entry in suffix if entry.log_index <= self._written_index]
            self._snapshot = snapshot
            self._entries = suffix
            self._written_index = snapshot.last_index + len(written_suffix)
            await self._run_on_disk(
                lambda: self._storage.save_snapshot(snapshot, self._term_vote, written_suffix)
            )
            self._durable_index = self._written_index

    async def rewrite(self) -> None:
        """Write and sync the snapshot, the term, the vote and all entries again.

        Raises:
            OSError: The disk failed.
        """
        async with self._lock:
            entries = list(self._entries)
            await self._run_on_disk(
                lambda: self._storage.save_snapshot(self._snapshot, self._term_vote, entries)
            )

    def close(self) -> None:
        """Wait for the write in progress, then close the storage; later writes fail."""
        with self._disk_lock:
            self._is_closed = True
            self._storage.close()

    async def aclose(self) -> None:
        """Do the same as :meth:`close` without blocking the event loop."""
        try:
            await self._disk_thread.call(self.close)
        finally:
            self._disk_thread.close()

    def give_up(self) -> None:
        """Refuse later writes, without waiting for the write in progress."""
        self._is_closed = True

    async def _run_on_disk(self, operation: Callable[[], None]) -> None:
        """Run *operation* in a thread, which continues if the caller is cancelled.

        After a failed operation all later ones are refused: a record after a partially written one
        would be read back as corruption.

        Raises:
            OSError: The disk failed, now or in an earlier operation.
        """

        def run() -> None:
            with self._disk_lock:
                if self._is_closed:
                    raise OSError(errno.EIO, "an earlier write failed, or the log is closed")
                try:
                    operation()
                except OSError:
                    self._is_closed = True
                    raise

        await self._disk_thread.call(run)

    def _write(self, entries: list[Entry], truncate_from: int = 0) -> None:
        """Write and sync *entries*; first drop those from *truncate_from* on unless it is 0.

        Runs in a thread, as a stalled disk blocks writes as well as syncs.
        """
        if truncate_from:
            self._storage.truncate_from(truncate_from)
        self._storage.append(entries)
        self._storage.sync()

    def _write_term_vote(self, term_vote: TermVote) -> None:
        self._storage.save_term_vote(term_vote)
        self._storage.sync()

    def _missing_entries(self, entries: list[Entry]) -> list[Entry]:
        """Return the tail of *entries* that this log doesn't hold."""
        for position, entry in enumerate(entries):
            if entry.log_index <= self._snapshot.last_index:
                continue
            if self.term_at(entry.log_index) != entry.term:
                return entries[position:]
        return []


def open_storage(settings: Settings) -> tuple[LogStorage, ReplicatedLog]:
    """Open the data folder; set a damaged one aside and format a new one.

    Raises:
        OSError: The disk failed, or an earlier write to the folder has not ended.
    """
    lock = _lock_of(settings.data_folder)
    if not lock.acquire(timeout=_BUSY_TIMEOUT_S):
        raise OSError(errno.EBUSY, "an earlier write to the data folder is still in progress")
    try:
        return _open_unlocked(settings)
    finally:
        lock.release()


def _lock_of(folder: str) -> Lock:
    return _LOCKS.setdefault(os.path.abspath(folder), Lock())


def _open_unlocked(settings: Settings) -> tuple[LogStorage, ReplicatedLog]:
    storage = LogStorage(settings.data_folder, settings.timings.sync_delay_ms)
    try:
        recovered = storage.open()
    except DataLossError as error:
        CONTROLLER_LOG.error(
            "Data folder lost or damaged: {}. Voting is disabled until readmission.", error
        )
        quarantine_files(settings.data_folder)
        format_folder(settings.data_folder, is_first=False)
        storage = LogStorage(settings.data_folder, settings.timings.sync_delay_ms)
        recovered = storage.open()
    return storage, ReplicatedLog(storage, recovered)
