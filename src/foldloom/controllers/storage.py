# SPDX-License-Identifier: MIT
"""A controller's storage: one log of checksummed records and one snapshot.

Owns the data folder: ``identity`` (storage id), ``snapshot`` and ``log``, each made of records
(:mod:`foldloom.controllers.records`). Nothing is durable before :meth:`LogStorage.sync` returns. A
truncated last record, or zeros after the last one, is an unfinished write and is dropped. Any other
damage, also in the last record, may affect acknowledged data and raises :class:`DataLossError`,
as does a folder without an identity.
"""

from __future__ import annotations

import os
import time
import uuid
from collections.abc import Callable
from pathlib import Path

from foldloom.controllers.records import (
    EMPTY_SNAPSHOT,
    Entry,
    Identity,
    RecoveredLog,
    Snapshot,
    TermVote,
    decode_identity,
    decode_snapshot,
    encode_entries,
    encode_identity,
    encode_snapshot,
    encode_term_vote,
    encode_truncation,
    replay_log,
)
from foldloom.exceptions import DataLossError


def format_folder(folder: str, is_first: bool, fsync: Callable[[int], None] = os.fsync) -> Identity:
    """Create an empty data folder and return its identity.

    Args:
        folder: The data folder.
        is_first: Whether an operator creates it for a new system.
        fsync: Makes a file durable; replaceable for tests.

    Raises:
        FileExistsError: The folder is already formatted.
    """
    path = Path(folder)
    path.mkdir(parents=True, exist_ok=True)
    if (path / "identity").exists():
        raise FileExistsError(f"{folder} is formatted already")
    identity = Identity(uuid.uuid4().hex, is_first)
    write_atomically(path / "log", b"", fsync)
    write_atomically(path / "identity", encode_identity(identity), fsync)
    return identity


def quarantine_files(folder: str) -> None:
    """Rename the files of a damaged data folder, keeping them for inspection."""
    path = Path(folder)
    suffix = f"lost-{time.time_ns()}"
    for name in ("identity", "log", "snapshot"):
        if (path / name).exists():
            (path / name).rename(path / f"{name}.{suffix}")


class LogStorage:
    """The log and the snapshot of one controller.

    Args:
        folder: The data folder.
        sync_delay_ms: Added to each sync, to simulate a slower disk in benchmarks.
        fsync: Makes a file durable; replaceable for tests.
    """

    def __init__(
        self, folder: str, sync_delay_ms: int = 0, fsync: Callable[[int], None] = os.fsync
    ) -> None:
        self._folder = Path(folder)
        self._sync_delay_s = sync_delay_ms / 1_000
        self._fsync = fsync
        self._identity = Identity("", False)
        self._fd = -1
        self._log_bytes = 0
        self._bytes_written = 0

    @property
    def folder(self) -> str:
        """The data folder."""
        return str(self._folder)

    @property
    def identity(self) -> Identity:
        """The folder's identity; valid after :meth:`open`."""
        return self._identity

    @property
    def log_bytes(self) -> int:
        """The log file's size in bytes."""
        return self._log_bytes

    @property
    def bytes_written(self) -> int:
        """Bytes written since start, snapshots included."""
        return self._bytes_written

    def open(self) -> RecoveredLog:
        """Read the stored data and open the log for appending.

        Raises:
            DataLossError: The folder is empty or damaged.
        """
        identity = self._folder / "identity"
        log = self._folder / "log"
        if not identity.exists() or not log.exists():
            raise DataLossError("the data folder has no identity file or no log file")
        snapshot = self._read_snapshot()
        recovered, valid_bytes = replay_log(log.read_bytes(), snapshot)
        self._identity = decode_identity(identity.read_bytes())
        self._fd = os.open(log, os.O_RDWR)
        if os.fstat(self._fd).st_size != valid_bytes:
            os.ftruncate(self._fd, valid_bytes)
            self._fsync(self._fd)
        os.lseek(self._fd, 0, os.SEEK_END)
        self._log_bytes = valid_bytes
        return recovered

    def close(self) -> None:
        """Close the log."""
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1

    def append(self, entries: list[Entry]) -> None:
        """Write *entries*; durable only after :meth:`sync`."""
        self._write(encode_entries(entries))

    def truncate_from(self, index: int) -> None:
        """Drop the entries from *index* on; durable only after :meth:`sync`."""
        self._write(encode_truncation(index))

    def save_term_vote(self, term_vote: TermVote) -> None:
        """Write the term and the vote; durable only after :meth:`sync`."""
        self._write(encode_term_vote(term_vote))

    def sync(self) -> None:
        """Make everything written so far durable.

        Raises:
            OSError: The data may not be durable and must not be acknowledged.
        """
        if self._sync_delay_s:
            time.sleep(self._sync_delay_s)
        self._fsync(self._fd)

    def save_snapshot(self, snapshot: Snapshot, term_vote: TermVote, entries: list[Entry]) -> None:
        """Replace the log by *snapshot* and the *entries* after it, durably."""
        self._replace_file("snapshot", encode_snapshot(snapshot))
        log = encode_term_vote(term_vote)
        log += encode_entries(entries)
        self._replace_file("log", log)
        os.close(self._fd)
        self._fd = os.open(self._folder / "log", os.O_RDWR)
        os.lseek(self._fd, 0, os.SEEK_END)
        self._log_bytes = len(log)

    def _write(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            written = os.write(self._fd, view)
            view = view[written:]
        self._log_bytes += len(data)
        self._bytes_written += len(data)

    def _replace_file(self, name: str, data: bytes) -> None:
        write_atomically(self._folder / name, data, self._fsync)
        self._bytes_written += len(data)

    def _read_snapshot(self) -> Snapshot:
        path = self._folder / "snapshot"
        if not path.exists():
            return EMPTY_SNAPSHOT
        return decode_snapshot(path.read_bytes())


def write_atomically(path: Path, data: bytes, fsync: Callable[[int], None] = os.fsync) -> None:
    """Replace the file at *path* atomically and durably by *data*."""
    temporary = path.with_suffix(".tmp")
    with temporary.open("wb") as file:
        file.write(data)
        file.flush()
        fsync(file.fileno())
    temporary.rename(path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        fsync(folder)
    finally:
        os.close(folder)
