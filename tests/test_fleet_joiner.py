# SPDX-License-Identifier: MIT
"""What a box learns of endpoints from a controller, join after join."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from foldloom.seed_discovery.endpoints.catalog import EndpointCatalog
from foldloom.seed_discovery.endpoints.records import EndpointRecord
from foldloom.seed_discovery.fleet.joiner import Joiner
from foldloom.seed_discovery.fleet.messages import BoxRecord
from foldloom.seed_discovery.fleet.published import PublishedHolder
from foldloom.seed_discovery.fleet.registry import Registry
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
    """A controller's registry, and the catalog of an entry box that joins it."""

    def __init__(self) -> None:
        controller_wire: Any
        self.wire: Any
        controller_wire, self.wire = connected(_CONTROLLER, _ENTRY)
        self.catalog = EndpointCatalog()
        self.registry = Registry(controller_wire, _holder(controller_wire), lambda: [_CONTROLLER])
        view = FleetView(BoxRecord(_ENTRY, 1, "a", ENTRY), [_CONTROLLER])
        self._joiner = Joiner(self.wire, view, _holder(self.wire), self.catalog, _JOIN_MS)

    async def run_scenario(self, scenario: Callable[[], Any]) -> None:
        """Play *scenario* while the entry box joins again and again."""
        join_task = asyncio.create_task(self._joiner.run())
        try:
            async with asyncio.timeout(_WAIT_S):
                await scenario()
        finally:
            join_task.cancel()

    async def wait_for_joins(self, count: int = 3) -> None:
        """Wait until the box has joined some more times."""
        target = len(self.wire.sent) + count
        while len(self.wire.sent) < target:
            await asyncio.sleep(0)


class TestForgottenEndpoint:
    """An endpoint that a box has forgotten, and that controllers still hear.

    An owner forgets an endpoint that has left its polls unanswered for 15 s, which a cut between
    these two alone can bring about. Controllers tell a box what has changed since it joined last,
    and of an endpoint that goes on reporting nothing has: it was not used again until it, the
    owner or the controllers restarted.
    """

    def test_it_is_told_again(self) -> None:
        """The box knows it again with its next join."""
        boxes = _Boxes()

        async def scenario() -> None:
            await boxes.registry.note_endpoint(_ENDPOINT)
            await boxes.wait_for_joins()
            assert boxes.catalog.get("w1") == _ENDPOINT
            boxes.catalog.forget("w1")
            await boxes.registry.note_endpoint(_ENDPOINT._replace(sequence=2))
            await boxes.wait_for_joins()
            known = boxes.catalog.get("w1")
            assert known is not None
            assert known.sequence == 2

        asyncio.run(boxes.run_scenario(scenario))

    def test_one_that_nobody_hears_stays_forgotten(self) -> None:
        """Controllers forget it too, and do not bring it back."""
        boxes = _Boxes()

        async def scenario() -> None:
            await boxes.registry.note_endpoint(_ENDPOINT)
            await boxes.wait_for_joins()
            boxes.registry.catalog.forget("w1")
            boxes.catalog.forget("w1")
            await boxes.wait_for_joins()
            assert boxes.catalog.get("w1") is None

        asyncio.run(boxes.run_scenario(scenario))
