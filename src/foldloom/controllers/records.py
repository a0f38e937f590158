# SPDX-License-Identifier: MIT
"""The records in a controller's data folder, and the replay of a log.

A record, little-endian, is ``length (4 bytes) | header checksum (4) | content checksum (8) | kind
(1) | body (msgpack)``. The length covers kind and body, as does the content checksum (xxh3); the
header checksum (xxh32) covers length and content checksum. Kind numbers are never reused, and a
field may only be added at the end of a body.
"""

from __future__ import annotations

import struct
from typing import NamedTuple

import msgspec
import xxhash

from foldloom.exceptions import DataLossError

_HEADER = struct.Struct("<IIQ")
# Kinds of records; the numbers are stored on disk and never reused. Term and vote.
_TERM = 1
# A log entry.
_ENTRY = 2
# Drops the entries from an index on.
_TRUNCATION = 3
# The snapshot, in a separate file.
_SNAPSHOT = 4
# The folder's identity, in a separate file.
_IDENTITY = 5
_ENCODER = msgspec.msgpack.Encoder()


class Entry(NamedTuple):
    """One entry of the replicated log.

    Args:
        log_index: Its position, from 1.
        term: The term of the leader that created it.
        payload: The encoded command; empty for a no-op.
    """

    log_index: int
    term: int
    payload: bytes


class TermVote(NamedTuple):
    """The newest known term, and the vote in it ('' for none)."""

    term: int
    voted_for: str


class Snapshot(NamedTuple):
    """The state after all entries up to ``last_index``."""

    last_index: int
    term: int
    state: bytes


class RecoveredLog(NamedTuple):
    """The contents of the storage when it was opened."""

    term_vote: TermVote
    snapshot: Snapshot
    entries: list[Entry]


EMPTY_SNAPSHOT = Snapshot(0, 0, b"")


class Identity(NamedTuple):
    """The identity of a data folder.

    Args:
        storage_id: Generated when the folder was formatted.
        is_first: Whether it was formatted for a new system; ``False`` if the controller formatted
            it after data loss.
    """

    storage_id: str
    is_first: bool


def encode_entries(entries: list[Entry]) -> bytes:
    """Return the records of *entries*."""
    return b"".join(_record(_ENTRY, _ENCODER.encode(entry)) for entry in entries)


def encode_truncation(index: int) -> bytes:
    """Return the record that drops the entries from *index* on."""
    return _record(_TRUNCATION, _ENCODER.encode(index))


def encode_term_vote(term_vote: TermVote) -> bytes:
    """Return the record of *term_vote*."""
    return _record(_TERM, _ENCODER.encode(term_vote))


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return the record of *snapshot*, the whole of its file."""
    return _record(_SNAPSHOT, _ENCODER.encode(snapshot))


def encode_identity(identity: Identity) -> bytes:
    """Return the record of *identity*, the whole of its file."""
    return _record(_IDENTITY, _ENCODER.encode(identity))


def decode_identity(data: bytes) -> Identity:
    """Return the identity stored in *data*.

    Raises:
        DataLossError: The file is damaged.
    """
    record = _parse(data, 0)
    if record is None:
        raise DataLossError("the identity record is truncated")
    return msgspec.msgpack.decode(record.body, type=Identity)


def decode_snapshot(data: bytes) -> Snapshot:
    """Return the snapshot stored in *data*.

    Raises:
        DataLossError: The file is damaged.
    """
    record = _parse(data, 0)
    if record is None:
        raise DataLossError("the snapshot record is truncated")
    return msgspec.msgpack.decode(record.body, type=Snapshot)


def replay_log(data: bytes, snapshot: Snapshot) -> tuple[RecoveredLog, int]:
    """Return the log's contents after *snapshot*, and the number of valid bytes in *data*.

    Raises:
        DataLossError: A record is damaged, or entries are missing.
    """
    term_vote = TermVote(snapshot.term, "")
    entries: list[Entry] = []
    offset = 0
    while (record := _parse(data, offset)) is not None:
        kind, body, offset = record
        if kind == _TERM:
            term_vote = msgspec.msgpack.decode(body, type=TermVote)
        elif kind == _TRUNCATION:
            first = msgspec.msgpack.decode(body, type=int)
            entries = [entry for entry in entries if entry.log_index < first]
        else:
            entry = msgspec.msgpack.decode(body, type=Entry)
            if entry.log_index > snapshot.last_index:
                entries.append(entry)
    for position, entry in enumerate(entries, snapshot.last_index + 1):
        if entry.log_index != position:
            raise DataLossError("the log entries are not consecutive")
    return RecoveredLog(term_vote, snapshot, entries), offset


class _Record(NamedTuple):
    """One record: its kind, its body, and the offset after it."""

    kind: int
    body: bytes
    end: int


def _record(kind: int, body: bytes) -> bytes:
    content = bytes([kind]) + body
    checksum = xxhash.xxh3_64_intdigest(content)
    return _HEADER.pack(len(content), _header_checksum(len(content), checksum), checksum) + content


def _header_checksum(length: int, checksum: int) -> int:
    return xxhash.xxh32_intdigest(struct.pack("<IQ", length, checksum))


def _parse(data: bytes, offset: int) -> _Record | None:
    """Return the record at *offset*, or ``None`` at the end of the valid data.

    Raises:
        DataLossError: The record is damaged.
    """
    start = offset + _HEADER.size
    if start > len(data) or not any(data[offset:]):
        return None
    length, header_checksum, checksum = _HEADER.unpack_from(data, offset)
    if header_checksum != _header_checksum(length, checksum):
        raise DataLossError(f"invalid header checksum in the record at byte {offset}")
    end = start + length
    if end > len(data):
        return None
    content = data[start:end]
    if xxhash.xxh3_64_intdigest(content) != checksum:
        raise DataLossError(f"invalid content checksum in the record at byte {offset}")
    return _Record(content[0], content[1:], end)
