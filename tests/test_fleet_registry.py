# SPDX-License-Identifier: MIT
"""Endpoint reports that a controller accepts and pushes to entry boxes."""

from __future__ import annotations

import asyncio
from typing import Any

from foldloom.seed_discovery.endpoints.records import EndpointRecord, EndpointState
from foldloom.seed_discovery.fleet.messages import (
    BoxRecord,
    EndpointsSeen,
    Join,
    Noted,
    decode_endpoints,
)
from foldloom.seed_discovery.fleet.published import PublishedHolder
from foldloom.seed_discovery.fleet.registry import FleetRegistry
from foldloom.seed_discovery.jobs.spec import Demand
from foldloom.settings import ENTRY
from standins.wire import connected

_CONTROLLER, _ENTRY = "127.0.0.1:1", "127.0.0.1:2"
_ENDPOINT = EndpointRecord(
    "w1", "svc", "127.0.0.1:9", "a", Demand(16_000, 32_000, 0), sequence=1, born_ms=1_000
)
_UNKNOWN_SERVICE = _ENDPOINT._replace(
    service="nobody-named-it", sequence=2, state=EndpointState.DRAINING
)


class _Controller:
    """A controller's registry, joined by one entry box.

    Args:
        services: The configured services; ``None`` before the first configuration.
    """

    def __init__(self, services: frozenset[str] | None) -> None:
        wire: Any
        box: Any
        wire, box = connected(_CONTROLLER, _ENTRY)
        holder = PublishedHolder(wire, lambda _publication: None)
        self.services = services
        self.registry = FleetRegistry(wire, holder, lambda: [_CONTROLLER], lambda: self.services)
        self.forwarded: list[EndpointRecord] = []
        box.on(EndpointsSeen, self._on_endpoints)
        self._box = box

    async def note(self, record: EndpointRecord) -> bool:
        """Send an endpoint's report; return whether it is accepted."""
        await self._box.request(_CONTROLLER, Join(BoxRecord(_ENTRY, 1, "a", ENTRY), 0, 0, 0), 1)
        is_accepted = await self.registry.handle_report(record)
        # Reports of ready endpoints are pushed by separate tasks.
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        return is_accepted

    def _on_endpoints(self, _sender: str, message: EndpointsSeen) -> Noted:
        self.forwarded += decode_endpoints(message)
        return Noted()


class TestServices:
    """Reports of services that are not in the configuration."""

    def test_unknown_service(self) -> None:
        """A report of an unknown service must not replace the record of an endpoint with its id."""

        async def scenario() -> None:
            controller = _Controller(frozenset({"svc"}))
            assert await controller.note(_ENDPOINT)
            assert not await controller.note(_UNKNOWN_SERVICE)
            assert not await controller.note(_UNKNOWN_SERVICE._replace(endpoint="w2"))
            assert controller.registry.catalog.records == [_ENDPOINT]
            assert controller.forwarded == [_ENDPOINT]
            leaving = _ENDPOINT._replace(sequence=3, state=EndpointState.DRAINING)
            assert await controller.note(leaving)
            assert controller.forwarded == [_ENDPOINT, leaving]

        asyncio.run(scenario())

    def test_before_there_is_a_configuration(self) -> None:
        """Without a configuration every report is accepted."""

        async def scenario() -> None:
            controller = _Controller(None)
            assert await controller.note(_UNKNOWN_SERVICE)
            assert controller.forwarded == [_UNKNOWN_SERVICE]

        asyncio.run(scenario())

    def test_service_configured_later(self) -> None:
        """Once the service is configured, the endpoint's next report is accepted."""

        async def scenario() -> None:
            controller = _Controller(frozenset({"svc"}))
            later = _ENDPOINT._replace(service="later")
            assert not await controller.note(later)
            controller.services = frozenset({"svc", "later"})
            assert await controller.note(later._replace(sequence=2))
            assert [record.sequence for record in controller.forwarded] == [2]

        asyncio.run(scenario())
