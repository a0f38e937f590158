# SPDX-License-Identifier: MIT
"""One term of owning a zone: whom it hears."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from foldloom.clock import monotonic_ms
from foldloom.metrics import Metrics
from foldloom.seed_discovery.endpoints.catalog import EndpointCatalog
from foldloom.seed_discovery.fleet.messages import BoxRecord, HeartbeatAck, OwnerRecord
from foldloom.seed_discovery.fleet.view import FleetView
from foldloom.seed_discovery.owners.context import OwnerContext
from foldloom.seed_discovery.owners.zone_owner import ZoneOwner
from foldloom.settings import ENTRY, TimingSettings

_ZONE = "z"
OWNER_TOKEN = 5


class _Network:
    """Peers that answer nothing."""

    def known_incarnation(self, _box: str) -> int:
        """Return a life."""
        return 1


def _record(number: int) -> BoxRecord:
    return BoxRecord(f"10.0.0.{number}:1", 1, _ZONE, ENTRY, f"e{number}")


def owner_on_box_one(*others: int) -> ZoneOwner:
    """Return the owner on box 1 with ``OWNER_TOKEN``, which knows the *others*."""
    own = _record(1)
    view = FleetView(own, [])
    for number in others:
        view.note_box(_record(number), monotonic_ms())
    network: Any = _Network()
    calls: Any = None
    context = OwnerContext(
        view=view,
        network=network,
        calls=calls,
        catalog=EndpointCatalog(),
        timings=TimingSettings(session_ms=50),
        metrics=Metrics(),
        published_version=lambda: 0,
        catalog_age_ms=lambda: 0.0,
    )
    record = OwnerRecord(_ZONE, OWNER_TOKEN, own.box, own.life)
    return ZoneOwner(record, context, lambda _endpoint: None)


def _acknowledge(owner: ZoneOwner, number: int, heartbeat_sent_ms: float) -> None:
    owner.handle_heartbeat_ack(
        _record(number).box, HeartbeatAck(OWNER_TOKEN, int(heartbeat_sent_ms), _record(number), 0)
    )


def _run(test: Coroutine[Any, Any, None]) -> None:
    asyncio.run(test)


class TestIsolation:
    """An owner that nobody hears must not take a silent endpoint's runs for lapsed."""

    def test_alone_in_the_system(self) -> None:
        """With no other entry box there is nobody who could own the zone."""

        async def play() -> None:
            assert not owner_on_box_one().is_isolated

        _run(play())

    def test_own_grant_does_not_count(self) -> None:
        """Its own box always hears it."""

        async def play() -> None:
            owner = owner_on_box_one(2)
            _acknowledge(owner, 1, monotonic_ms())
            assert owner.is_isolated
            owner.close()

        _run(play())

    def test_heard_by_another(self) -> None:
        """One other box that grants its right is enough, until the grant is over."""

        async def play() -> None:
            owner = owner_on_box_one(2, 3)
            _acknowledge(owner, 3, monotonic_ms())
            assert not owner.is_isolated
            _acknowledge(owner, 2, monotonic_ms() - 100)
            await asyncio.sleep(0.06)
            assert owner.is_isolated
            owner.close()

        _run(play())
