# SPDX-License-Identifier: MIT
"""Periodic joins of a box to every controller.

Owns one task per controller. The controllers come from the fleet view; join replies update that
view, the endpoint catalog and the published configuration.
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
    decode_endpoints,
)
from foldloom.seed_discovery.fleet.published import PublishedHolder
from foldloom.seed_discovery.fleet.view import FleetView

# Consecutive joins without a reply before a controller is logged as lost.
_LOST_AFTER_FAILURES = 3
# Below the default join interval.
_CONTROLLER_CHECK_INTERVAL_S = 0.1


async def _ignore_endpoints(_endpoints: list[EndpointRecord]) -> None:
    """Ignore pushed endpoints, on a box that places no runs."""


class Joiner:
    """Joins every controller periodically and applies the replies.

    Args:
        network: The peer network.
        view: The known boxes and owners.
        holder: The published configuration.
        catalog: The endpoint catalog.
        interval_ms: Interval between joins to the same controller, and timeout of each.
        on_push: Called with endpoints that a controller pushes, after the catalog is updated;
            the push is acknowledged when it returns.
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
        """Run one join task per known controller until cancelled."""
        try:
            while True:
                self._update_join_tasks()
                await asyncio.sleep(_CONTROLLER_CHECK_INTERVAL_S)
        finally:
            for task in self._tasks.values():
                task.cancel()

    async def announce(self) -> None:
        """Join every controller once, immediately; announces a planned stop."""
        await asyncio.gather(*(self._join(box, 0, 0) for box in self._view.controllers))

    def _update_join_tasks(self) -> None:
        wanted = set(self._view.controllers)
        for box in wanted - set(self._tasks):
            self._tasks[box] = asyncio.create_task(self._join_periodically(box))
        for box in set(self._tasks) - wanted:
            self._tasks.pop(box).cancel()
            self._network.remove_peer(box)

    async def _join_periodically(self, box: str) -> None:
        """Join one controller periodically.

        Each join requests the catalog changes since the last answered join. The first join, and one
        after this box has evicted an endpoint, request the whole catalog: the controller may still
        hear from an evicted endpoint, so it would not list it as changed, and this box would never
        get it back.
        """
        incarnation, revision = 0, 0
        eviction_count = 0
        failures = 0
        while True:
            began_ms = monotonic_ms()
            if self._catalog.eviction_count != eviction_count:
                incarnation, revision = 0, 0
            eviction_count_before = self._catalog.eviction_count
            reply = await self._join(box, incarnation, revision)
            if reply is None:
                failures += 1
                if failures == _LOST_AFTER_FAILURES:
                    PEER_LOG.event("controller.lost", controller=box, unanswered=failures)
            else:
                if failures >= _LOST_AFTER_FAILURES:
                    PEER_LOG.event("controller.back", controller=box, unanswered=failures)
                failures = 0
                incarnation, revision = reply.catalog_life, reply.catalog_revision
                eviction_count = eviction_count_before
            spent_ms = monotonic_ms() - began_ms
            await asyncio.sleep(max(0.0, self._interval_ms - spent_ms) / 1_000)

    async def _join(self, box: str, incarnation: int, revision: int) -> JoinReply | None:
        message = Join(self._view.own, self._holder.version, incarnation, revision)
        try:
            reply: JoinReply = await self._network.request(box, message, self._interval_ms)
        except PeerUnreachableError:
            # The caller counts consecutive failures and logs a lost controller.
            return None
        now_ms = monotonic_ms()
        for expired in self._view.note_controller(box, reply, now_ms):
            PEER_LOG.event("box.gone", gone=expired)
            self._network.remove_peer(expired)
        self._merge(decode_endpoints(reply))
        if reply.published_version > self._holder.version:
            await self._holder.pull_newer(box, reply.published_version)
        return reply

    async def _on_endpoints(self, _sender: str, message: EndpointsSeen) -> Noted:
        endpoints = decode_endpoints(message)
        self._merge(endpoints)
        await self._on_push(endpoints)
        return Noted()

    def _merge(self, endpoints: list[EndpointRecord]) -> None:
        now_ms = monotonic_ms()
        for record in endpoints:
            self._catalog.merge(record, now_ms)
