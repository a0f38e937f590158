# SPDX-License-Identifier: MIT
"""A controller's disk: one log of checksummed records and one snapshot.

Layout of the data folder: ``identity`` (storage id), ``snapshot`` and ``log``. Each record
is ``length (4 bytes) | header checksum (4) | content checksum (8) | kind (1) | body``.
Nothing counts before :meth:`LogStorage.sync` returned. A last record that is cut short, or
zeros after the last one, is a write that never finished and is dropped. Any other damage,
the last record's included, can't be told apart from a lost promise and means lost memory, as
does a folder without an identity.
"""

from __future__ import annotations

import os
import struct
import time
import uuid
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import msgspec
import xxhash

from foldloom.exceptions import LostMemoryError

_HEADER = struct.Struct("<IIQ")
# Kinds of records; numbers on disk are never used again. This one holds term and vote.
_TERM = 1
# An entry of the log.
_ENTRY = 2
# Drops the entries from an index on.
_CUT = 3
# The state up to an index; in a file of its own.
_SNAPSHOT = 4
# Who the folder is; in a file of its own.
_IDENTITY = 5
_ENCODER = msgspec.msgpack.Encoder()


class Entry(NamedTuple):
    """One entry of the replicated log.

    Args:
        log_index: Its place, from 1.
        term: The term of the leader that made it.
        payload: The encoded command; empty for a no-op.
    """

    log_index: int
    term: int
    payload: bytes


class TermVote(NamedTuple):
    """The newest term that this controller knows, and its vote in it ('' for none)."""

    term: int
    voted_for: str


class Snapshot(NamedTuple):
    """The state after all entries up to ``last_index``."""

    last_index: int
    term: int
    state: bytes


class Recovered(NamedTuple):
    """What the disk held at start."""

    term_vote: TermVote
    snapshot: Snapshot
    entries: list[Entry]


EMPTY_SNAPSHOT = Snapshot(0, 0, b"")


class Identity(NamedTuple):
    """Who a data folder is.

    Args:
        storage_id: Made when the folder was formatted.
        is_first: Whether an operator formatted it for a new system; ``False`` if the
            controller did so itself after it lost its memory.
    """

    storage_id: str
    is_first: bool


def format_folder(folder: str, is_first: bool) -> Identity:
    """Make *folder* a new, empty data folder and return its identity.

    Raises:
        FileExistsError: There is one already.
    """
    path = Path(folder)
    path.mkdir(parents=True, exist_ok=True)
    if (path / "identity").exists():
        raise FileExistsError(f"{folder} is formatted already")
    identity = Identity(uuid.uuid4().hex, is_first)
    write_whole(path / "log", b"")
    write_whole(path / "identity", _record(_IDENTITY, _ENCODER.encode(identity)))
    return identity


def set_aside(folder: str) -> None:
    """Rename what is left of a damaged data folder, for people to look at."""
    path = Path(folder)
    suffix = f"lost-{time.time_ns()}"
    for name in ("identity", "log", "snapshot"):
        if (path / name).exists():
            (path / name).rename(path / f"{name}.{suffix}")


class LogStorage:
    """The log and the snapshot of one controller.

    Args:
        folder: The data folder.
        sync_delay_ms: Added to each sync, to stand for a slower disk in benchmarks.
        fsync: The call that makes a file durable; tests pass one that fails.
    """

    def __init__(
        self, folder: str, sync_delay_ms: int = 0, fsync: Callable[[int], None] = os.fsync
    ) -> None:
        self._folder = Path(folder)
        self._sync_delay = sync_delay_ms / 1_000
        self._fsync = fsync
        self._identity = Identity("", False)
        self._fd = -1
        self._log_bytes = 0
        self._bytes_written = 0

    @property
    def identity(self) -> Identity:
        """The folder's identity, known once it is open."""
        return self._identity

    @property
    def log_bytes(self) -> int:
        """The log file's size in bytes."""
        return self._log_bytes

    @property
    def bytes_written(self) -> int:
        """Bytes written since start, snapshots included."""
        return self._bytes_written

    def open(self) -> Recovered:
        """Read everything back and open the log for appending.

        Raises:
            LostMemoryError: The folder is emptied or damaged.
        """
        identity = self._folder / "identity"
        log = self._folder / "log"
        if not identity.exists() or not log.exists():
            raise LostMemoryError("the data folder has no identity or no log")
        snapshot = self._read_snapshot()
        recovered, good_bytes = _replay(log.read_bytes(), snapshot)
        self._identity = _read_identity(identity)
        self._fd = os.open(log, os.O_RDWR)
        if os.fstat(self._fd).st_size != good_bytes:
            os.ftruncate(self._fd, good_bytes)
            self._fsync(self._fd)
        os.lseek(self._fd, 0, os.SEEK_END)
        self._log_bytes = good_bytes
        return recovered

    def close(self) -> None:
        """Close the log."""
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1

    def append(self, entries: list[Entry]) -> None:
        """Write *entries*; they count only after :meth:`sync`."""
        self._write(b"".join(_record(_ENTRY, _ENCODER.encode(entry)) for entry in entries))

    def cut_from(self, index: int) -> None:
        """Drop the entries from *index* on; counts only after :meth:`sync`."""
        self._write(_record(_CUT, _ENCODER.encode(index)))

    def save_term_vote(self, term_vote: TermVote) -> None:
        """Write the term and the vote; they count only after :meth:`sync`."""
        self._write(_record(_TERM, _ENCODER.encode(term_vote)))

    def sync(self) -> None:
        """Make everything written so far durable.

        Raises:
            OSError: It may not be durable; nothing that relies on it may be answered.
        """
        if self._sync_delay:
            time.sleep(self._sync_delay)
        self._fsync(self._fd)

    def save_snapshot(self, snapshot: Snapshot, term_vote: TermVote, entries: list[Entry]) -> None:
        """Replace the log by *snapshot* and the *entries* after it, durably."""
        body = _ENCODER.encode(snapshot)
        self._replace_file("snapshot", _record(_SNAPSHOT, body))
        log = _record(_TERM, _ENCODER.encode(term_vote))
        log += b"".join(_record(_ENTRY, _ENCODER.encode(entry)) for entry in entries)
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
        write_whole(self._folder / name, data, self._fsync)
        self._bytes_written += len(data)

    def _read_snapshot(self) -> Snapshot:
        path = self._folder / "snapshot"
        if not path.exists():
            return EMPTY_SNAPSHOT
        record = _parse(path.read_bytes(), 0)
        if record is None:
            raise LostMemoryError("the snapshot is cut short")
        return msgspec.msgpack.decode(record[1], type=Snapshot)


def _read_identity(path: Path) -> Identity:
    """Return the identity in the file at *path*.

    Raises:
        LostMemoryError: The file is damaged.
    """
    record = _parse(path.read_bytes(), 0)
    if record is None:
        raise LostMemoryError("the identity is cut short")
    return msgspec.msgpack.decode(record[1], type=Identity)


def write_whole(path: Path, data: bytes, fsync: Callable[[int], None] = os.fsync) -> None:
    """Write *data* to *path* so that a crash leaves the old file or the new one."""
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


def _record(kind: int, body: bytes) -> bytes:
    content = bytes([kind]) + body
    checksum = xxhash.xxh3_64_intdigest(content)
    return _HEADER.pack(len(content), _header_check(len(content), checksum), checksum) + content


def _header_check(length: int, checksum: int) -> int:
    return xxhash.xxh32_intdigest(struct.pack("<IQ", length, checksum))


def _parse(data: bytes, offset: int) -> tuple[int, bytes, int] | None:
    """Return (kind, body, end) of the record at *offset*, or ``None`` at the good end.

    Raises:
        LostMemoryError: The record is damaged.
    """
    start = offset + _HEADER.size
    if start > len(data) or not any(data[offset:]):
        return None
    length, header_check, checksum = _HEADER.unpack_from(data, offset)
    if header_check != _header_check(length, checksum):
        raise LostMemoryError(f"the record header at byte {offset} is damaged")
    end = start + length
    if end > len(data):
        return None
    content = data[start:end]
    if xxhash.xxh3_64_intdigest(content) != checksum:
        raise LostMemoryError(f"the record at byte {offset} is damaged")
    return content[0], content[1:], end


def _replay(data: bytes, snapshot: Snapshot) -> tuple[Recovered, int]:
    """Return what the log's bytes say after *snapshot*, and how many of them are good.

    Raises:
        LostMemoryError: A record is damaged, or entries are missing.
    """
    term_vote = TermVote(snapshot.term, "")
    entries: list[Entry] = []
    offset = 0
    while (record := _parse(data, offset)) is not None:
        kind, body, offset = record
        if kind == _TERM:
            term_vote = msgspec.msgpack.decode(body, type=TermVote)
        elif kind == _CUT:
            first = msgspec.msgpack.decode(body, type=int)
            entries = [entry for entry in entries if entry.log_index < first]
        else:
            entry = msgspec.msgpack.decode(body, type=Entry)
            if entry.log_index > snapshot.last_index:
                entries.append(entry)
    for position, entry in enumerate(entries, snapshot.last_index + 1):
        if entry.log_index != position:
            raise LostMemoryError("entries are missing from the log")
    return Recovered(term_vote, snapshot, entries), offset
