# SPDX-License-Identifier: MIT
"""The links to all endpoints of a zone, kept in sync with the catalog.

Holds one link and task for the newest known incarnation of each endpoint. Updates the owner's state
when endpoints are added, removed or replaced, or when their leases have expired.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from foldloom.clock import monotonic_ms
from foldloom.logs import ENDPOINT_LOG
from foldloom.seed_discovery.endpoints.calls import EndpointCalls
from foldloom.seed_discovery.endpoints.catalog import EndpointCatalog
from foldloom.seed_discovery.endpoints.records import EndpointRecord
from foldloom.seed_discovery.owners.endpoint_link import (
    AnswerSource,
    EndpointLink,
    LeaseDurations,
    LinkListener,
)
from foldloom.seed_discovery.owners.state import OwnerState

# A silent endpoint is removed from the catalog after this time; its next heartbeat adds it again.
_SILENT_REMOVAL_MS = 15_000.0
# How long the end of an endpoint is remembered. Exceeds the time for which a run of an earlier
# owner may be recovering: a session and the run expiry.
_ENDED_TTL_MS = 5_000.0


class EndpointLinks:
    """The links of one owner's term.

    Args:
        zone: The owner's zone.
        state: The owner's state.
        catalog: The endpoints of all zones.
        lease_durations: Lease durations.
        calls: Client for calls to endpoints.
        owner: Receiver of reports and events.
    """

    def __init__(
        self,
        zone: str,
        state: OwnerState,
        catalog: EndpointCatalog,
        lease_durations: LeaseDurations,
        calls: EndpointCalls,
        owner: LinkListener,
    ) -> None:
        self._zone = zone
        self._state = state
        self._catalog = catalog
        self._link_args = (lease_durations, calls, owner)
        self._links: dict[str, EndpointLink] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        # When links to endpoints that have certainly ended were closed, in that order.
        self._ended_ms: dict[str, float] = {}

    @property
    def endpoints(self) -> Iterable[str]:
        """The endpoints that have a link, in the order of discovery."""
        return self._links

    def get(self, endpoint: str) -> EndpointLink | None:
        """Return the link to *endpoint*, if there is one."""
        return self._links.get(endpoint)

    def has_ended(self, endpoint: str) -> bool:
        """Return whether *endpoint* has lost its link and certainly has no run.

        It has ended, or has deregistered for good and had no runs left.
        """
        return endpoint in self._ended_ms and endpoint not in self._links

    def close(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks.values():
            task.cancel()
        for link in self._links.values():
            link.close()

    def sync_with_catalog(self, now_ms: float) -> None:
        """Open links to added endpoints and close those to removed ones.

        A deregistration announces the end of an endpoint, and may be a delayed one of an earlier
        incarnation. A removed endpoint is therefore polled until it has no runs, or until it has
        certainly ended, so that no run starts a second time elsewhere. If it never returns under
        its id, its runs are stopped.
        """
        records = {
            record.endpoint: record for record in self._catalog.records if record.zone == self._zone
        }
        for endpoint, record in records.items():
            link = self._links.get(endpoint)
            if link is None:
                self._state.update_endpoint(record)
                self._open(EndpointLink(record, *self._link_args, record.born_ms))
                continue
            if record.born_ms > link.born_ms:
                self._replace(link, record, record.born_ms, "heartbeat")
                self._state.update_endpoint(record)
            elif record.born_ms in (0, link.born_ms):
                self._state.update_endpoint(record)
                link.record = record
        self._expire_ended(now_ms)
        for endpoint in [name for name in self._links if name not in records]:
            if self._can_drop(endpoint):
                self._close(endpoint, now_ms)
                continue
            removed = self._catalog.get(endpoint)
            if removed is None:
                continue
            self._state.update_endpoint(removed)
            if removed.has_left:
                self._links[endpoint].record = removed
                self._state.stop_runs(endpoint, now_ms)

    def _expire_ended(self, now_ms: float) -> None:
        while self._ended_ms:
            endpoint, ended_ms = next(iter(self._ended_ms.items()))
            if now_ms < ended_ms + _ENDED_TTL_MS:
                return
            del self._ended_ms[endpoint]

    def _can_drop(self, endpoint: str) -> bool:
        """Return whether an endpoint that the catalog has removed can be dropped.

        An endpoint that has not reported may have runs of an earlier owner.
        """
        candidate = self._state.candidates[endpoint]
        return self._links[endpoint].is_over or (candidate.is_idle and candidate.has_reported)

    def begin_incarnation(self, endpoint: str, born_ms: int) -> None:
        """Open a link to an incarnation of *endpoint* that answered before its first heartbeat."""
        link = self._links.get(endpoint)
        if link is not None and link.answer_source(born_ms) is AnswerSource.NEXT:
            self._replace(link, link.record, born_ms, "answer")

    def check_silent_endpoints(self, now_ms: float) -> None:
        """Report expired leases to the state and remove endpoints after a long silence."""
        for endpoint, link in self._links.items():
            if link.take_lease_expiry(now_ms):
                silent_ms = int(now_ms - link.answered_ms)
                ENDPOINT_LOG.event("endpoint.lapsed", endpoint=endpoint, silent_ms=silent_ms)
                self._state.handle_lease_expiry(endpoint, now_ms)
            if link.is_silent and now_ms - link.answered_ms > _SILENT_REMOVAL_MS:
                self._catalog.evict(endpoint)

    def _replace(
        self, link: EndpointLink, record: EndpointRecord, born_ms: int, source: str
    ) -> None:
        """Replace a link by one to the endpoint's next incarnation."""
        ENDPOINT_LOG.event(
            "endpoint.began_again",
            endpoint=record.endpoint,
            born_ms=born_ms,
            born_before_ms=link.born_ms,
            source=source,
        )
        self._state.begin_incarnation(record.endpoint, monotonic_ms())
        # If the previous link's task is the caller, it returns by itself.
        if self._tasks[record.endpoint] is not asyncio.current_task():
            self._tasks[record.endpoint].cancel()
        link.close()
        starts_until_ms = self._state.unanswered_starts_until_ms(record.endpoint)
        orders_until_ms = max(link.orders_until_ms, starts_until_ms)
        self._open(EndpointLink(record, *self._link_args, born_ms, True, orders_until_ms))

    def _open(self, link: EndpointLink) -> None:
        endpoint = link.record.endpoint
        self._links[endpoint] = link
        self._tasks[endpoint] = asyncio.create_task(link.run())

    def _close(self, endpoint: str, now_ms: float) -> None:
        """Drop a removed endpoint that has ended or has no runs."""
        link = self._links.pop(endpoint)
        link.close()
        # One that was evicted, and so is in no record, may only be out of this box's reach.
        removed = self._catalog.get(endpoint)
        if link.is_over or (removed is not None and removed.has_left):
            self._ended_ms.pop(endpoint, None)
            self._ended_ms[endpoint] = now_ms
        self._tasks.pop(endpoint).cancel()
        self._state.remove_endpoint(endpoint, now_ms)
