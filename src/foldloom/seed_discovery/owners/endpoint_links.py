# SPDX-License-Identifier: MIT
"""The links to all endpoints of a zone, kept in step with the catalog.

Owns the links and their tasks, one for the newest known life of each endpoint. Relies on the
catalog of endpoints and on the owner's state, which learns of endpoints that come, go, begin anew
or have lapsed.
"""

from __future__ import annotations

import asyncio

from foldloom.clock import monotonic_ms
from foldloom.logs import ENDPOINT_LOG
from foldloom.seed_discovery.endpoints.calls import EndpointCalls
from foldloom.seed_discovery.endpoints.catalog import EndpointCatalog
from foldloom.seed_discovery.endpoints.records import EndpointRecord
from foldloom.seed_discovery.owners.endpoint_link import (
    Answerer,
    EndpointLink,
    LeaseTerms,
    LinkOwner,
)
from foldloom.seed_discovery.owners.state import OwnerState

# Milliseconds without an answer after which an endpoint is dropped from the catalog; it reports
# itself if it lives: ten of the users' heartbeats (1,500 ms).
_SILENT_REMOVAL_MS = 15_000.0


class EndpointLinks:
    """The links of one owner's term.

    Args:
        zone: The owner's zone.
        state: The owner's state.
        catalog: The endpoints of all zones.
        terms: The leases that the owner gives.
        calls: How endpoints are called.
        owner: Takes what endpoints report.
    """

    def __init__(
        self,
        zone: str,
        state: OwnerState,
        catalog: EndpointCatalog,
        terms: LeaseTerms,
        calls: EndpointCalls,
        owner: LinkOwner,
    ) -> None:
        self._zone = zone
        self._state = state
        self._catalog = catalog
        self._parts = (terms, calls, owner)
        self._links: dict[str, EndpointLink] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def get(self, endpoint: str) -> EndpointLink | None:
        """Return the link to *endpoint*, if it is known."""
        return self._links.get(endpoint)

    def close(self) -> None:
        """End all tasks."""
        for task in self._tasks.values():
            task.cancel()

    def sync_with_catalog(self, now_ms: float) -> None:
        """Open links to endpoints that came, and close those to endpoints that are gone.

        A farewell does not say of which life it is. So a life that has said its birth, and runs
        something, is polled on until its runs end or its silence shows that it is gone: a farewell
        that was held up until the next life was draining had all of that life's runs start a second
        time elsewhere. It costs runs that are still there when their endpoint leaves 1.2 s at most.
        """
        records = {
            record.endpoint: record for record in self._catalog.records if record.zone == self._zone
        }
        for endpoint, record in records.items():
            link = self._links.get(endpoint)
            if link is None:
                self._state.follow_endpoint(record)
                self._open(EndpointLink(record, *self._parts, record.born_ms))
                continue
            if record.born_ms > link.born_ms:
                self._replace(link, record, record.born_ms, "heartbeat")
                self._state.follow_endpoint(record)
            elif record.born_ms in (0, link.born_ms):
                self._state.follow_endpoint(record)
                link.record = record
        for endpoint in [one for one in self._links if one not in records]:
            if self._has_ended(endpoint):
                self._close(endpoint, now_ms)
                continue
            gone = self._catalog.get(endpoint)
            if gone is not None:
                self._state.follow_endpoint(gone)

    def _has_ended(self, endpoint: str) -> bool:
        """Return whether nothing runs any more on an endpoint that the catalog says is gone."""
        link = self._links[endpoint]
        return not link.born_ms or link.is_over or self._state.candidates[endpoint].is_idle

    def begin_life(self, endpoint: str, born_ms: int) -> None:
        """Follow a life of *endpoint* that has answered ahead of its heartbeat."""
        link = self._links.get(endpoint)
        if link is not None and link.answerer(born_ms) is Answerer.NEXT:
            self._replace(link, link.record, born_ms, "answer")

    def check_silent_endpoints(self, now_ms: float) -> None:
        """Note lapsed endpoints, and forget those that have been silent for long."""
        for endpoint, link in self._links.items():
            if link.has_lapsed(now_ms):
                silent_ms = int(now_ms - link.answered_ms)
                ENDPOINT_LOG.event("endpoint.lapsed", endpoint=endpoint, silent_ms=silent_ms)
                self._state.note_lapsed(endpoint, now_ms)
            if link.is_silent and now_ms - link.answered_ms > _SILENT_REMOVAL_MS:
                self._catalog.forget(endpoint)

    def _replace(
        self, link: EndpointLink, record: EndpointRecord, born_ms: int, source: str
    ) -> None:
        """Have a link to the next life of an endpoint."""
        ENDPOINT_LOG.event(
            "endpoint.began_again",
            endpoint=record.endpoint,
            born_ms=born_ms,
            born_before_ms=link.born_ms,
            source=source,
        )
        self._state.begin_life(record.endpoint, monotonic_ms())
        # The task of the link before ends by itself if it is what has called.
        if self._tasks[record.endpoint] is not asyncio.current_task():
            self._tasks[record.endpoint].cancel()
        self._open(EndpointLink(record, *self._parts, born_ms, replaces_previous=True))

    def _open(self, link: EndpointLink) -> None:
        endpoint = link.record.endpoint
        self._links[endpoint] = link
        self._tasks[endpoint] = asyncio.create_task(link.run())

    def _close(self, endpoint: str, now_ms: float) -> None:
        """Drop an endpoint that is gone; what it ran ends with it."""
        del self._links[endpoint]
        self._tasks.pop(endpoint).cancel()
        self._state.drop_endpoint(endpoint, now_ms)
