# SPDX-License-Identifier: MIT
"""The endpoint catalog, merged from heartbeats that may be delayed, duplicated or forwarded.

Owns the newest record of each endpoint, in the order defined by
:func:`foldloom.seed_discovery.endpoints.records.classify_report`.
"""

from __future__ import annotations

from typing import NamedTuple

from foldloom.seed_discovery.endpoints.records import (
    EndpointRecord,
    EndpointState,
    accepts_deregistration,
    classify_report,
)

# Above the number of endpoints to design for, 1,700, at some hundred bytes each.
_GONE_RETAINED_MAX = 2_000


class CatalogEntry(NamedTuple):
    """An endpoint's newest record.

    Args:
        record: The newest record.
        received_ms: When it was received; own monotonic clock.
        revision: The catalog revision of the endpoint's last change.
    """

    record: EndpointRecord
    received_ms: float
    revision: int


class EndpointCatalog:
    """Endpoints by id: the newest record of the newest incarnation of each.

    Records of endpoints that are gone are retained, up to a bound, so that a delayed heartbeat does
    not bring one back. A heartbeat of the next incarnation does.
    """

    def __init__(self) -> None:
        self._entries: dict[str, CatalogEntry] = {}
        self._revision = 0
        self._eviction_count = 0

    @property
    def eviction_count(self) -> int:
        """The number of endpoints evicted by :meth:`evict` so far."""
        return self._eviction_count

    @property
    def revision(self) -> int:
        """The number of changes so far; see :meth:`changes_since`."""
        return self._revision

    @property
    def records(self) -> list[EndpointRecord]:
        """The records of all endpoints that are not gone."""
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
        """Adopt *record* if it is newer; return whether the revision changed."""
        if not classify_report(record, self.get(record.endpoint)).is_accepted:
            return False
        known = self._entries.get(record.endpoint)
        if known is not None and known.record.is_equivalent_to(record):
            self._entries[record.endpoint] = CatalogEntry(record, now_ms, known.revision)
            return False
        return self._set(record, now_ms)

    def note_deregistration(self, endpoint: str, now_ms: float) -> bool:
        """Process the deregistration of *endpoint*; return whether it had an effect."""
        known = self.get(endpoint)
        if known is None or not accepts_deregistration(known):
            return False
        return self.end_incarnation(endpoint, known.born_ms, now_ms)

    def end_incarnation(self, endpoint: str, born_ms: int, now_ms: float) -> bool:
        """Mark the incarnation of *endpoint* that started at *born_ms* as gone.

        Return whether it had an effect: a later incarnation may have replaced it.
        """
        known = self.get(endpoint)
        if known is None or known.state is EndpointState.GONE or known.born_ms != born_ms:
            return False
        return self._set(known._replace(state=EndpointState.GONE), now_ms)

    def silent_since(self, before_ms: float) -> list[str]:
        """Return endpoints, except gone ones, whose last record arrived before *before_ms*."""
        return [
            endpoint
            for endpoint, entry in self._entries.items()
            if entry.received_ms < before_ms and entry.record.state is not EndpointState.GONE
        ]

    def evict(self, endpoint: str) -> None:
        """Evict *endpoint* without a new revision: it may still report to another controller."""
        self._entries.pop(endpoint, None)
        self._eviction_count += 1

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
