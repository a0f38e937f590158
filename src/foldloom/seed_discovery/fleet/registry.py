# SPDX-License-Identifier: MIT
"""A controller's soft state: joined boxes, the endpoint catalog and zone owners.

The state is in memory only and not replicated; joins, endpoint reports and owners' heartbeats
rebuild it within seconds after a restart. Every box joins every controller. An endpoint reports to
any one controller, which pushes changes to the boxes of the endpoint's zone.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Container
from typing import NamedTuple

from foldloom.clock import monotonic_ms
from foldloom.controllers.state import Publication
from foldloom.exceptions import PeerUnreachableError
from foldloom.logs import ENDPOINT_LOG, PEER_LOG
from foldloom.peers.wire import PeerNetwork
from foldloom.seed_discovery.endpoints.catalog import EndpointCatalog
from foldloom.seed_discovery.endpoints.records import (
    EndpointRecord,
    EndpointState,
    ReportVerdict,
    classify_report,
)
from foldloom.seed_discovery.fleet.messages import (
    BoxRecord,
    EndpointsSeen,
    Join,
    JoinReply,
    OwnerAnswer,
    OwnerHeartbeat,
    OwnerQuery,
    OwnerRecord,
    Published,
    births_of,
    encode_endpoints,
)
from foldloom.seed_discovery.fleet.published import PublishedHolder
from foldloom.settings import CONTROLLER, ENTRY
from foldloom.tasks import TaskSet

# Time without a join after which a box gets no pushes; several default join intervals.
_LIVENESS_TIMEOUT_MS = 1_500.0
# Time without a join after which a box is removed; far longer than a restart.
_BOX_EXPIRY_MS = 10_000.0
# Several endpoint heartbeats; the endpoint may be reporting to another controller.
_ENDPOINT_EXPIRY_MS = 12_000.0
# An endpoint's report must be answered within 1 s, even if a box does not acknowledge the push.
_NOTIFY_TIMEOUT_MS = 350
_EXPIRY_INTERVAL_S = 1.0


class _JoinedBox(NamedTuple):
    """A joined box and the time of its last join."""

    record: BoxRecord
    received_ms: float


class _KnownOwner(NamedTuple):
    """A zone owner and the time of its last heartbeat."""

    owner: OwnerRecord
    received_ms: float


class FleetRegistry:
    """Answers joins, maintains the endpoint catalog, and pushes changes to entry boxes.

    Args:
        network: The peer network.
        holder: The published configuration known to this controller.
        controllers: Returns the addresses of all controllers.
        services: Returns the configured services; ``None`` accepts reports of any service.
    """

    def __init__(
        self,
        network: PeerNetwork,
        holder: PublishedHolder,
        controllers: Callable[[], list[str]],
        services: Callable[[], Container[str] | None] = lambda: None,
    ) -> None:
        self._network = network
        self._holder = holder
        self._controllers = controllers
        self._services = services
        self._catalog = EndpointCatalog()
        self._last_dropped: dict[str, ReportVerdict] = {}
        self._joined_boxes: dict[str, _JoinedBox] = {}
        self._owners: dict[str, _KnownOwner] = {}
        self._tasks = TaskSet()
        network.on(Join, self._on_join)
        network.on(OwnerHeartbeat, self._on_owner_heartbeat)
        network.on(OwnerQuery, self._on_owner_query)

    @property
    def catalog(self) -> EndpointCatalog:
        """The endpoints that report to this controller."""
        return self._catalog

    async def run(self) -> None:
        """Evict silent boxes and endpoints periodically, until cancelled."""
        while True:
            await asyncio.sleep(_EXPIRY_INTERVAL_S)
            now_ms = monotonic_ms()
            for box in [
                box
                for box, known in self._joined_boxes.items()
                if now_ms - known.received_ms > _BOX_EXPIRY_MS
            ]:
                del self._joined_boxes[box]
                if box not in self._controllers():
                    self._network.remove_peer(box)
            for endpoint in self._catalog.silent_since(now_ms - _ENDPOINT_EXPIRY_MS):
                self._catalog.evict(endpoint)
            for endpoint in [one for one in self._last_dropped if self._catalog.get(one) is None]:
                del self._last_dropped[endpoint]

    def push(self, publication: Publication) -> None:
        """Push a newer publication to all live entry boxes."""
        for record in self._live_entry_boxes():
            self._tasks.spawn(self._notify(record.box, Published(publication)))

    async def handle_report(self, record: EndpointRecord) -> bool:
        """Merge an endpoint's report into the catalog, and push a change to the endpoint's zone.

        Return whether the report's service is configured, even if the report changes nothing.
        A report of an unknown service is rejected: it would replace the record of an endpoint with
        the same id, and its address would be polled. Later reports are accepted once this
        controller has a configuration with the service.

        A change to a state other than ready has been pushed when this returns. Boxes that do not
        acknowledge the push receive the change with their next join.
        """
        if not self._is_service_configured(record):
            return False
        now_ms = monotonic_ms()
        self._log_dropped(record)
        if not self._catalog.merge(record, now_ms):
            return True
        ENDPOINT_LOG.event(
            "endpoint.reported",
            endpoint=record.endpoint,
            service=record.service,
            zone=record.zone,
            address=record.address,
            state=record.state.value,
            sequence=record.sequence,
            born_ms=record.born_ms,
        )
        newest = self._catalog.get(record.endpoint)
        if newest is not None:
            await self._notify_zone(newest)
        return True

    def _is_service_configured(self, record: EndpointRecord) -> bool:
        services = self._services()
        return services is None or record.service in services

    def _log_dropped(self, record: EndpointRecord) -> None:
        """Log a dropped report, unless the endpoint's previous one was dropped for that reason."""
        known = self._catalog.get(record.endpoint)
        verdict = classify_report(record, known)
        if known is None or verdict.is_accepted:
            self._last_dropped.pop(record.endpoint, None)
            return
        if self._last_dropped.get(record.endpoint) is verdict:
            return
        self._last_dropped[record.endpoint] = verdict
        ENDPOINT_LOG.event(
            "endpoint.report_dropped",
            endpoint=record.endpoint,
            reason=verdict.value,
            state=record.state.value,
            sequence=record.sequence,
            born_ms=record.born_ms,
            known_state=known.state.value,
            known_sequence=known.sequence,
            known_born_ms=known.born_ms,
        )

    async def deregister_endpoint(self, endpoint: str) -> None:
        """Process an endpoint's deregistration."""
        is_accepted = self._catalog.note_deregistration(endpoint, monotonic_ms())
        newest = self._catalog.get(endpoint)
        if newest is None:
            return
        if not is_accepted:
            ENDPOINT_LOG.event(
                "endpoint.farewell_dropped",
                endpoint=endpoint,
                known_state=newest.state.value,
                known_born_ms=newest.born_ms,
            )
            return
        ENDPOINT_LOG.event("endpoint.left", endpoint=endpoint, born_ms=newest.born_ms)
        await self._notify_zone(newest)

    async def _notify_zone(self, record: EndpointRecord) -> None:
        notifications = [
            self._notify(entry.box, EndpointsSeen(encode_endpoints([record]), births_of([record])))
            for entry in self._live_entry_boxes()
            if entry.zone == record.zone
        ]
        # No need to wait for a ready endpoint; others must get no more runs once this returns.
        if record.state is EndpointState.READY:
            for notification in notifications:
                self._tasks.spawn(notification)
            return
        await asyncio.gather(*notifications)

    async def _notify(self, box: str, message: object) -> None:
        try:
            await self._network.request(box, message, _NOTIFY_TIMEOUT_MS)
        except PeerUnreachableError:
            # The box receives the update with its next join.
            PEER_LOG.event("box.not_notified", box_silent=box, message=type(message).__name__)

    def live_controllers(self) -> list[str]:
        """Return the live controllers that have joined this one."""
        return [record.box for record in self._live_boxes() if record.role == CONTROLLER]

    def _live_boxes(self) -> list[BoxRecord]:
        now_ms = monotonic_ms()
        return [
            known.record
            for known in self._joined_boxes.values()
            if now_ms - known.received_ms < _LIVENESS_TIMEOUT_MS
        ]

    def _live_entry_boxes(self) -> list[BoxRecord]:
        return [record for record in self._live_boxes() if record.role == ENTRY]

    def _on_join(self, _sender: str, message: Join) -> JoinReply:
        record = message.record
        now_ms = monotonic_ms()
        self._joined_boxes[record.box] = _JoinedBox(record, now_ms)
        incarnation = self._network.incarnation
        known_revision = message.catalog_revision if message.catalog_life == incarnation else 0
        endpoints = [
            endpoint
            for endpoint in self._catalog.changes_since(known_revision)
            if endpoint.zone == record.zone
        ]
        return JoinReply(
            controllers=self._controllers(),
            boxes=self._live_entry_boxes(),
            owners=[known.owner for known in self._owners.values()],
            published_version=self._holder.version,
            catalog_life=incarnation,
            catalog_revision=self._catalog.revision,
            endpoints=encode_endpoints(endpoints),
            born_ms=births_of(endpoints),
        )

    def _on_owner_heartbeat(self, _sender: str, heartbeat: OwnerHeartbeat) -> None:
        known = self._owners.get(heartbeat.owner.zone)
        if known is None or heartbeat.owner.token >= known.owner.token:
            self._owners[heartbeat.owner.zone] = _KnownOwner(heartbeat.owner, monotonic_ms())

    def _on_owner_query(self, _sender: str, query: OwnerQuery) -> OwnerAnswer:
        known = self._owners.get(query.zone)
        if known is None:
            return OwnerAnswer(OwnerRecord(query.zone), -1)
        return OwnerAnswer(known.owner, int(monotonic_ms() - known.received_ms))
