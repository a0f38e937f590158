# SPDX-License-Identifier: MIT
"""The list of endpoints, merged from heartbeats that may arrive late, twice or by many ways.

Owns the newest record of each endpoint. Relies on the order of two records
(:func:`foldloom.seed_discovery.endpoints.records.classify_report`).
"""

from __future__ import annotations

from typing import NamedTuple

from foldloom.seed_discovery.endpoints.records import (
    EndpointRecord,
    EndpointState,
    accepts_deregistration,
    classify_report,
)

# Endpoints that are gone and still known: above the 1,700 of the size to design for, at some
# hundred bytes each.
_GONE_RETAINED_MAX = 2_000


class CatalogEntry(NamedTuple):
    """An endpoint's newest record and what is known of its age.

    Args:
        record: The newest record.
        received_ms: When it arrived here; own monotonic clock.
        revision: The catalog's number of the last change that others must learn of.
    """

    record: EndpointRecord
    received_ms: float
    revision: int


class EndpointCatalog:
    """Endpoints by id: the newest record of the newest life of each.

    A life that is gone stays known for a while, so that a late heartbeat of it does not bring it
    back; the next life under its id does.
    """

    def __init__(self) -> None:
        self._entries: dict[str, CatalogEntry] = {}
        self._revision = 0
        self._forgotten = 0

    @property
    def forgotten(self) -> int:
        """How often an endpoint was forgotten so far."""
        return self._forgotten

    @property
    def revision(self) -> int:
        """The number of changes so far."""
        return self._revision

    @property
    def records(self) -> list[EndpointRecord]:
        """The endpoints that are not gone."""
        return [
            entry.record
            for entry in self._entries.values()
            if entry.record.state is not EndpointState.GONE
        ]

    def get(self, endpoint: str) -> EndpointRecord | None:
        """Return the newest record of *endpoint*, gone or not."""
        entry = self._entries.get(endpoint)
        return None if entry is None else entry.record

    def changes_since(self, revision: int) -> list[EndpointRecord]:
        """Return the records that changed after *revision*, gone ones included."""
        if revision >= self._revision:
            return []
        return [entry.record for entry in self._entries.values() if entry.revision > revision]

    def merge(self, record: EndpointRecord, now_ms: float) -> bool:
        """Adopt *record* if it is newer; return whether anything but its age changed."""
        if not classify_report(record, self.get(record.endpoint)).is_accepted:
            return False
        known = self._entries.get(record.endpoint)
        if known is not None and known.record.is_equivalent_to(record):
            self._entries[record.endpoint] = CatalogEntry(record, now_ms, known.revision)
            return False
        return self._set(record, now_ms)

    def note_farewell(self, endpoint: str, now_ms: float) -> bool:
        """Note that a life of *endpoint* has left; return whether that changed anything."""
        known = self.get(endpoint)
        if known is None or not accepts_deregistration(known):
            return False
        return self.end_life(endpoint, known.born_ms, now_ms)

    def end_life(self, endpoint: str, born_ms: int, now_ms: float) -> bool:
        """Note that the life of *endpoint* born at *born_ms* is over for certain.

        Return whether that changed anything: another life may be known by now.
        """
        known = self.get(endpoint)
        if known is None or known.state is EndpointState.GONE or known.born_ms != born_ms:
            return False
        return self._set(known._replace(state=EndpointState.GONE), now_ms)

    def silent_since(self, before_ms: float) -> list[str]:
        """Return the endpoints that are not gone and have not reported since *before_ms*."""
        return [
            endpoint
            for endpoint, entry in self._entries.items()
            if entry.received_ms < before_ms and entry.record.state is not EndpointState.GONE
        ]

    def forget(self, endpoint: str) -> None:
        """Drop *endpoint* without a change for others: it may report elsewhere."""
        self._entries.pop(endpoint, None)
        self._forgotten += 1

    def _set(self, record: EndpointRecord, now_ms: float) -> bool:
        self._revision += 1
        self._entries.pop(record.endpoint, None)
        self._entries[record.endpoint] = CatalogEntry(record, now_ms, self._revision)
        self._evict_gone()
        return True

    def _evict_gone(self) -> None:
        gone = [
            endpoint
            for endpoint, entry in self._entries.items()
            if entry.record.state is EndpointState.GONE
        ]
        for endpoint in gone[:-_GONE_RETAINED_MAX]:
            del self._entries[endpoint]
