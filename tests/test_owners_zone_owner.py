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
from foldloom.seed_discovery.scheduling.runs import HolderId
from foldloom.settings import ENTRY, TimingSettings

_ZONE = "z"
OWNER_TOKEN = 5


class _Network:
    """Peers that answer nothing."""

    def __init__(self) -> None:
        self.life = 1

    def known_incarnation(self, _box: str) -> int:
        """Return the life that sent the newest message."""
        return self.life

    async def request(self, _box: str, _message: Any, _timeout_ms: float) -> Any:
        """Wait until the test is over."""
        await asyncio.Event().wait()


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


class TestLives:
    """A box that was restarted within the time for which a message may be held up."""

    def test_a_late_acknowledgement_of_the_life_before(self) -> None:
        """It does not end the present life's session, whose runs go on."""

        async def play() -> None:
            owner = owner_on_box_one(2)
            network: Any = owner._network
            now_ms = monotonic_ms()
            network.life = 2
            _acknowledge(owner, 2, now_ms)
            network.life = 1
            _acknowledge(owner, 2, now_ms - 20)
            assert owner._sessions.has_right(HolderId(_record(2).box, 2), now_ms + 1)
            owner.close()

        _run(play())

    def test_a_new_life_ends_the_one_before(self) -> None:
        """What that one wanted ends with it."""

        async def play() -> None:
            owner = owner_on_box_one(2)
            network: Any = owner._network
            now_ms = monotonic_ms()
            _acknowledge(owner, 2, now_ms)
            network.life = 2
            _acknowledge(owner, 2, now_ms + 20)
            assert not owner._sessions.has_right(HolderId(_record(2).box, 1), now_ms + 1)
            assert owner._sessions.has_right(HolderId(_record(2).box, 2), now_ms + 1)
            owner.close()

        _run(play())
