# SPDX-License-Identifier: MIT
"""Catalog updates that a box receives by joining a controller."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from foldloom.seed_discovery.endpoints.catalog import EndpointCatalog
from foldloom.seed_discovery.endpoints.records import EndpointRecord
from foldloom.seed_discovery.fleet.joiner import Joiner
from foldloom.seed_discovery.fleet.messages import BoxRecord
from foldloom.seed_discovery.fleet.published import PublishedHolder
from foldloom.seed_discovery.fleet.registry import FleetRegistry
from foldloom.seed_discovery.fleet.view import FleetView
from foldloom.seed_discovery.jobs.spec import Demand
from foldloom.settings import ENTRY
from standins.wire import connected

_CONTROLLER, _ENTRY = "127.0.0.1:1", "127.0.0.1:2"
_JOIN_MS = 5
_WAIT_S = 5.0
_ENDPOINT = EndpointRecord(
    "w1", "svc", "127.0.0.1:9", "a", Demand(16_000, 32_000, 0), sequence=1, born_ms=1_000
)


def _holder(wire: Any) -> PublishedHolder:
    return PublishedHolder(wire, lambda _publication: None)


class _Boxes:
    """A controller's registry and the catalog of an entry box that joins it."""

    def __init__(self) -> None:
        controller_wire: Any
        self.wire: Any
        controller_wire, self.wire = connected(_CONTROLLER, _ENTRY)
        self.catalog = EndpointCatalog()
        self.registry = FleetRegistry(
            controller_wire, _holder(controller_wire), lambda: [_CONTROLLER]
        )
        view = FleetView(BoxRecord(_ENTRY, 1, "a", ENTRY), [_CONTROLLER])
        self._joiner = Joiner(self.wire, view, _holder(self.wire), self.catalog, _JOIN_MS)

    async def run_scenario(self, scenario: Callable[[], Any]) -> None:
        """Run *scenario* while the entry box joins periodically."""
        join_task = asyncio.create_task(self._joiner.run())
        try:
            async with asyncio.timeout(_WAIT_S):
                await scenario()
        finally:
            join_task.cancel()

    async def wait_for_joins(self, count: int = 3) -> None:
        """Wait until the box has sent *count* more joins."""
        target = len(self.wire.sent) + count
        while len(self.wire.sent) < target:
            await asyncio.sleep(0)


class TestEvictedEndpoint:
    """An endpoint evicted by an owner after a partition between the two, but not by controllers.

    Guards against incremental joins that never restore it, since it has not changed there.
    """

    def test_restored_by_next_join(self) -> None:
        """The next join restores the endpoint."""
        boxes = _Boxes()

        async def scenario() -> None:
            await boxes.registry.handle_report(_ENDPOINT)
            await boxes.wait_for_joins()
            assert boxes.catalog.get("w1") == _ENDPOINT
            boxes.catalog.evict("w1")
            await boxes.registry.handle_report(_ENDPOINT._replace(sequence=2))
            await boxes.wait_for_joins()
            known = boxes.catalog.get("w1")
            assert known is not None
            assert known.sequence == 2

        asyncio.run(boxes.run_scenario(scenario))

    def test_evicted_everywhere(self) -> None:
        """Joins do not restore an endpoint that the controller has evicted too."""
        boxes = _Boxes()

        async def scenario() -> None:
            await boxes.registry.handle_report(_ENDPOINT)
            await boxes.wait_for_joins()
            boxes.registry.catalog.evict("w1")
            boxes.catalog.evict("w1")
            await boxes.wait_for_joins()
            assert boxes.catalog.get("w1") is None

        asyncio.run(boxes.run_scenario(scenario))
