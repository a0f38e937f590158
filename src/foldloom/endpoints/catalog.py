# SPDX-License-Identifier: MIT
"""The list of workers, merged from heartbeats that may arrive late, twice or by many ways."""

from __future__ import annotations

from typing import NamedTuple

from foldloom.endpoints.records import WorkerRecord, WorkerState

_GONE_KEPT = 2_000


class Entry(NamedTuple):
    """A worker's newest record and what is known of its age.

    Args:
        record: The newest record.
        heard_ms: When it arrived here; own monotonic clock.
        revision: The catalog's number of the last change that others must hear of.
    """

    record: WorkerRecord
    heard_ms: float
    revision: int


class WorkerCatalog:
    """Workers by id; the record with the highest sequence of a life holds.

    A worker that is gone stays known for a while, so that a late heartbeat of it does not
    bring it back.
    """

    def __init__(self) -> None:
        self._entries: dict[str, Entry] = {}
        self._revision = 0

    @property
    def revision(self) -> int:
        """The number of changes so far."""
        return self._revision

    @property
    def records(self) -> list[WorkerRecord]:
        """The workers that are not gone."""
        return [
            entry.record
            for entry in self._entries.values()
            if entry.record.state is not WorkerState.GONE
        ]

    def get(self, worker: str) -> WorkerRecord | None:
        """Return the newest record of *worker*, gone or not."""
        entry = self._entries.get(worker)
        return None if entry is None else entry.record

    def changes_since(self, revision: int) -> list[WorkerRecord]:
        """Return the records that changed after *revision*, gone ones included."""
        if revision >= self._revision:
            return []
        return [entry.record for entry in self._entries.values() if entry.revision > revision]

    def merge(self, record: WorkerRecord, now_ms: float) -> bool:
        """Take *record* if it is newer; return whether anything but its age changed."""
        known = self._entries.get(record.worker)
        if known is None:
            return self._set(record, now_ms)
        if known.record.state is WorkerState.GONE or record.sequence < known.record.sequence:
            return False
        if record.state is WorkerState.READY and known.record.state is WorkerState.DRAINING:
            # A worker never takes its leave back: an equal sequence came by another way.
            return False
        if known.record.says_the_same(record):
            self._entries[record.worker] = Entry(record, now_ms, known.revision)
            return False
        return self._set(record, now_ms)

    def remove(self, worker: str, now_ms: float) -> bool:
        """Note that *worker* is gone; return whether that was news."""
        known = self._entries.get(worker)
        if known is None or known.record.state is WorkerState.GONE:
            return False
        return self._set(known.record._replace(state=WorkerState.GONE), now_ms)

    def silent_since(self, before_ms: float) -> list[str]:
        """Return the workers that are not gone and were not heard after *before_ms*."""
        return [
            worker
            for worker, entry in self._entries.items()
            if entry.heard_ms < before_ms and entry.record.state is not WorkerState.GONE
        ]

    def forget(self, worker: str) -> None:
        """Drop *worker* without a word to others: it may be heard elsewhere."""
        self._entries.pop(worker, None)

    def _set(self, record: WorkerRecord, now_ms: float) -> bool:
        self._revision += 1
        self._entries.pop(record.worker, None)
        self._entries[record.worker] = Entry(record, now_ms, self._revision)
        self._forget_some_gone()
        return True

    def _forget_some_gone(self) -> None:
        gone = [
            worker
            for worker, entry in self._entries.items()
            if entry.record.state is WorkerState.GONE
        ]
        for worker in gone[:-_GONE_KEPT]:
            del self._entries[worker]
