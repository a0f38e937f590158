# SPDX-License-Identifier: MIT
"""A controller's storage under crashes, truncated tails, flipped bits and failed syncs."""

from __future__ import annotations

import asyncio
import errno
import os
import shutil
import tempfile
from pathlib import Path
from typing import NamedTuple

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from foldloom.controllers.log import ReplicatedLog
from foldloom.controllers.records import EMPTY_SNAPSHOT, Entry, Snapshot, TermVote
from foldloom.controllers.storage import LogStorage, format_folder, quarantine_files
from foldloom.exceptions import DataLossError
from strategies import payloads, shares


def overwrite(path: Path, data: bytes | bytearray) -> None:
    """Overwrite *path* with *data* in place.

    Truncating the file first would make file systems flush it when it is closed.
    """
    with path.open("r+b") as file:
        file.write(data)
        file.truncate()


class Held(NamedTuple):
    """The log's contents once its first ``size`` bytes are durable."""

    size: int
    entries: tuple[Entry, ...]
    term_vote: TermVote


class SyncedFiles:
    """Replaces ``fsync`` and records which bytes would survive a power loss.

    Real syncs would make the state machine below exceed the time limit of a test.
    """

    def __init__(self) -> None:
        self._bytes: dict[int, int] = {}

    def sync(self, descriptor: int) -> None:
        """Record a file, or the names in a folder, as durable in its current state."""
        status = os.fstat(descriptor)
        self._bytes[status.st_ino] = status.st_size

    def lose(self, path: Path) -> None:
        """Record that a file, or the names in a folder, is about to change and not durable."""
        if path.exists():
            self._bytes.pop(path.stat().st_ino, None)

    def note_read(self, path: Path) -> None:
        """Record a file as durable in its current state."""
        status = path.stat()
        self._bytes[status.st_ino] = status.st_size

    def bytes_of(self, path: Path) -> int:
        """Return the number of durable bytes of a file, -1 if it was never synced."""
        return self._bytes.get(path.stat().st_ino, -1)

    def holds(self, path: Path) -> bool:
        """Return whether all of a file, or the names in a folder, are durable."""
        return self.bytes_of(path) == path.stat().st_size


class StorageMachine(RuleBasedStateMachine):
    """Compare the storage with the expected contents for each written byte count."""

    def __init__(self) -> None:
        """Create a new folder."""
        super().__init__()
        self.folder = Path(tempfile.mkdtemp(prefix="foldloom-storage-"))
        self.begin()

    def begin(self) -> None:
        """Start with a new, empty folder."""
        self.synced = SyncedFiles()
        format_folder(str(self.folder), is_first=True, fsync=self.synced.sync)
        for name in ("identity", "log", "."):
            assert self.synced.holds(self.folder / name)
        self.snapshot = EMPTY_SNAPSHOT
        self.history = [Held(0, (), TermVote(0, ""))]
        self.is_damaged = False
        self.open()

    def open(self) -> None:
        """Open the folder as after a restart."""
        self.storage = LogStorage(str(self.folder), fsync=self.synced.sync)
        self.recovered = self.storage.open()

    def note(self, entries: tuple[Entry, ...], term_vote: TermVote) -> None:
        """Record the expected contents for the bytes written so far."""
        self.history.append(Held(self.storage.log_bytes, entries, term_vote))

    @precondition(lambda self: not self.is_damaged)
    @rule(payload=payloads)
    def append(self, payload: bytes) -> None:
        """Write one entry, without a sync."""
        held = self.history[-1]
        index = self.snapshot.last_index + len(held.entries) + 1
        entry = Entry(index, held.term_vote.term, payload)
        self.storage.append([entry])
        self.note((*held.entries, entry), held.term_vote)

    @precondition(lambda self: not self.is_damaged and self.history[-1].entries)
    @rule(share=shares)
    def cut(self, share: float) -> None:
        """Drop a tail, without a sync."""
        held = self.history[-1]
        kept = held.entries[: int(len(held.entries) * share)]
        self.storage.truncate_from(held.entries[len(kept)].log_index)
        self.note(kept, held.term_vote)

    @precondition(lambda self: not self.is_damaged)
    @rule(voted_for=st.sampled_from(["", "a1", "b1"]))
    def vote(self, voted_for: str) -> None:
        """Write a newer term and a vote, without a sync."""
        held = self.history[-1]
        term_vote = TermVote(held.term_vote.term + 1, voted_for)
        self.storage.save_term_vote(term_vote)
        self.note(held.entries, term_vote)

    @precondition(lambda self: not self.is_damaged)
    @rule()
    def sync(self) -> None:
        """Make everything written durable."""
        self.storage.sync()
        assert self.synced.holds(self.folder / "log")
        del self.history[:-1]

    @precondition(lambda self: not self.is_damaged and self.history[-1].entries)
    @rule(share=shares)
    def compact(self, share: float) -> None:
        """Replace some of the entries by a snapshot."""
        held = self.history[-1]
        last = held.entries[int(len(held.entries) * share)]
        rest = [entry for entry in held.entries if entry.log_index > last.log_index]
        self.snapshot = Snapshot(last.log_index, last.term, b"state")
        self.synced.lose(self.folder)
        self.synced.lose(self.folder / "snapshot")
        self.storage.save_snapshot(self.snapshot, held.term_vote, rest)
        for name in ("snapshot", "log", "."):
            assert self.synced.holds(self.folder / name)
        self.history = [Held(self.storage.log_bytes, tuple(rest), held.term_vote)]

    @precondition(lambda self: not self.is_damaged)
    @rule(share=shares, zeros=st.integers(0, 40))
    def crash(self, share: float, zeros: int) -> None:
        """Lose any part of the unsynced bytes; all complete records are recovered."""
        self.storage.close()
        log = self.folder / "log"
        durable, written = self.history[0].size, self.history[-1].size
        assert self.synced.bytes_of(log) >= durable
        whole = log.read_bytes()
        left = whole[: durable + int((written - durable) * share)] + bytes(zeros)
        overwrite(log, left)
        self.synced.note_read(log)
        # A record that ends in zeros may be restored by the padding: the expected contents depend
        # on the length of the common prefix.
        intact = len(os.path.commonprefix([left, whole]))
        expected = [held for held in self.history if held.size <= intact][-1]
        try:
            self.open()
        except DataLossError:
            # Only a truncated and padded record is indistinguishable from damage.
            assert zeros
            assert any(left[expected.size :])
            self.is_damaged = True
            return
        # Dropped bytes must not reappear after a later power loss.
        assert self.synced.holds(log)
        assert self.recovered.snapshot == self.snapshot
        assert tuple(self.recovered.entries) == expected.entries
        assert self.recovered.term_vote == expected.term_vote
        self.history = [expected]

    @precondition(lambda self: not self.is_damaged and self.history[-1].size > 0)
    @rule(share=shares, bit=st.integers(0, 7))
    def flip(self, share: float, bit: int) -> None:
        """A flipped bit in a synced log, also in the last record, is detected."""
        self.sync()
        self.storage.close()
        log = self.folder / "log"
        data = bytearray(log.read_bytes())
        data[int(len(data) * share)] ^= 1 << bit
        overwrite(log, data)
        self.is_damaged = True
        with pytest.raises(DataLossError):
            self.open()

    @precondition(lambda self: self.is_damaged)
    @rule()
    def replace(self) -> None:
        """Set the damaged folder aside and format a new one."""
        self.storage.close()
        quarantine_files(str(self.folder))
        self.begin()

    def teardown(self) -> None:
        """Remove the folder."""
        self.storage.close()
        shutil.rmtree(self.folder, ignore_errors=True)


TestStorageMachine = StorageMachine.TestCase


class TestKeptCases:
    """Regression cases found by the state machine."""

    def test_zeros_complete_a_record_that_ends_in_zero(self) -> None:
        """A record truncated before its final zero byte and padded with a zero is complete."""
        machine = StorageMachine()
        try:
            machine.append(payload=b"")
            machine.crash(share=0.96875, zeros=1)
            assert [entry.payload for entry in machine.recovered.entries] == [b""]
        finally:
            machine.teardown()


class TestLostFolder:
    """Empty or damaged folders must be rejected."""

    def test_emptied(self, tmp_path: Path) -> None:
        """An emptied folder is reported as data loss, not opened as a new controller."""
        with pytest.raises(DataLossError):
            LogStorage(str(tmp_path)).open()

    @pytest.mark.parametrize("name", ["identity", "log", "snapshot"])
    def test_damaged_or_missing_part(self, tmp_path: Path, name: str) -> None:
        """Damage to any one file is reported as data loss."""
        format_folder(str(tmp_path), is_first=True)
        storage = LogStorage(str(tmp_path))
        storage.open()
        storage.append([Entry(1, 1, b"x"), Entry(2, 1, b"y")])
        storage.save_snapshot(Snapshot(1, 1, b"s"), TermVote(1, ""), [Entry(2, 1, b"y")])
        storage.close()
        path = tmp_path / name
        data = path.read_bytes()
        path.write_bytes(data[:5] + bytes([data[5] ^ 1]) + data[6:])
        with pytest.raises(DataLossError):
            LogStorage(str(tmp_path)).open()

    def test_never_formatted_twice(self, tmp_path: Path) -> None:
        """A formatted folder is not formatted again."""
        format_folder(str(tmp_path), is_first=True)
        with pytest.raises(FileExistsError):
            format_folder(str(tmp_path), is_first=True)


class TestFailedSync:
    """A disk whose syncs fail."""

    async def _flush(self, code: int, folder: str) -> None:
        def fail(_fd: int) -> None:
            raise OSError(code, os.strerror(code))

        format_folder(folder, is_first=True)
        storage = LogStorage(folder, fsync=fail)
        log = ReplicatedLog(storage, storage.open())
        log.add(b"x")
        with pytest.raises(OSError, match=os.strerror(code)):
            await log.flush()
        assert log.durable_index == 0
        storage.close()

    @pytest.mark.parametrize("code", [errno.EIO, errno.ENOSPC])
    def test_nothing_counts(self, tmp_path: Path, code: int) -> None:
        """After a failed sync no entry is durable and the caller gets the error."""
        asyncio.run(self._flush(code, str(tmp_path)))
