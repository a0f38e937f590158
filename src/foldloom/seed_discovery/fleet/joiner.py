# SPDX-License-Identifier: MIT
"""How a box stays in touch with every controller: one task for each.

Owns these tasks. Relies on the view of the other boxes for who the controllers are; what a reply
says goes into that view, into the catalog of endpoints and the published configuration.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from foldloom.clock import monotonic_ms
from foldloom.exceptions import PeerUnreachableError
from foldloom.logs import PEER_LOG
from foldloom.peers.wire import PeerNetwork
from foldloom.seed_discovery.endpoints.catalog import EndpointCatalog
from foldloom.seed_discovery.endpoints.records import EndpointRecord
from foldloom.seed_discovery.fleet.messages import (
    EndpointsSeen,
    Join,
    JoinReply,
    Noted,
    received_endpoints,
)
from foldloom.seed_discovery.fleet.published import PublishedHolder
from foldloom.seed_discovery.fleet.view import FleetView

# Joins in a row without a reply after which a controller is logged as lost, because one or two are
# lost on any busy box.
_LOST_AFTER_FAILURES = 3
# Seconds between two checks for controllers that are new or gone: below the interval between joins
# (250 ms).
_CONTROLLER_CHECK_INTERVAL_S = 0.1


async def _ignore_endpoints(_endpoints: list[EndpointRecord]) -> None:
    """Follow endpoints on a box that gives them no work."""


class Joiner:
    """Join every controller again and again, and learn what it knows.

    Args:
        network: The peers.
        view: What is known of the others.
        holder: The published configuration.
        catalog: The list of endpoints.
        interval_ms: Milliseconds between two joins of one controller.
        on_push: Called when a controller pushes news of endpoints, once the catalog has
            them; the controller is answered when it returns.
    """

    def __init__(
        self,
        network: PeerNetwork,
        view: FleetView,
        holder: PublishedHolder,
        catalog: EndpointCatalog,
        interval_ms: int,
        on_push: Callable[[list[EndpointRecord]], Awaitable[None]] = _ignore_endpoints,
    ) -> None:
        self._network = network
        self._view = view
        self._holder = holder
        self._catalog = catalog
        self._interval_ms = interval_ms
        self._on_push = on_push
        self._tasks: dict[str, asyncio.Task[None]] = {}
        network.on(EndpointsSeen, self._on_endpoints)

    async def run(self) -> None:
        """Keep one task for each known controller until cancelled."""
        try:
            while True:
                self._update_join_tasks()
                await asyncio.sleep(_CONTROLLER_CHECK_INTERVAL_S)
        finally:
            for task in self._tasks.values():
                task.cancel()

    async def announce(self) -> None:
        """Join every controller now, once; used when a planned stop begins."""
        await asyncio.gather(*(self._join(box, 0, 0) for box in self._view.controllers))

    def _update_join_tasks(self) -> None:
        wanted = set(self._view.controllers)
        for box in wanted - set(self._tasks):
            self._tasks[box] = asyncio.create_task(self._join_periodically(box))
        for box in set(self._tasks) - wanted:
            self._tasks.pop(box).cancel()
            self._network.drop_peer(box)

    async def _join_periodically(self, box: str) -> None:
        """Join one controller again and again.

        The box asks for what has changed since it last did, but for all once it has forgotten an
        endpoint: one that it alone could not reach, and that goes on reporting, has not changed.
        That brings it back within a join (250 ms), 15 s after its last answer; by changes alone it
        was not used again before it, a controller or the box itself had restarted.
        """
        incarnation, revision = 0, 0
        forgotten = 0
        failures = 0
        while True:
            began_ms = monotonic_ms()
            if self._catalog.forgotten != forgotten:
                incarnation, revision = 0, 0
            forgotten_before = self._catalog.forgotten
            reply = await self._join(box, incarnation, revision)
            if reply is None:
                failures += 1
                if failures == _LOST_AFTER_FAILURES:
                    PEER_LOG.event("controller.lost", controller=box, unanswered=failures)
            else:
                if failures >= _LOST_AFTER_FAILURES:
                    PEER_LOG.event("controller.back", controller=box, unanswered=failures)
                failures = 0
                incarnation, revision = reply.catalog_incarnation, reply.catalog_revision
                forgotten = forgotten_before
            spent_ms = monotonic_ms() - began_ms
            await asyncio.sleep(max(0.0, self._interval_ms - spent_ms) / 1_000)

    async def _join(self, box: str, incarnation: int, revision: int) -> JoinReply | None:
        message = Join(self._view.own, self._holder.version, incarnation, revision)
        try:
            reply: JoinReply = await self._network.request(box, message, self._interval_ms)
        except PeerUnreachableError:
            # The caller counts these and logs that the controller is lost.
            return None
        now_ms = monotonic_ms()
        for expired in self._view.note_controller(box, reply, now_ms):
            PEER_LOG.event("box.gone", gone=expired)
            self._network.drop_peer(expired)
        self._merge(received_endpoints(reply))
        if reply.published_version > self._holder.version:
            await self._holder.pull_newer(box, reply.published_version)
        return reply

    async def _on_endpoints(self, _sender: str, message: EndpointsSeen) -> Noted:
        endpoints = received_endpoints(message)
        self._merge(endpoints)
        await self._on_push(endpoints)
        return Noted()

    def _merge(self, endpoints: list[EndpointRecord]) -> None:
        now_ms = monotonic_ms()
        for record in endpoints:
            self._catalog.merge(record, now_ms)
