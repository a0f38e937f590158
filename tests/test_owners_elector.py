# SPDX-License-Identifier: MIT
"""Guards against slow replacement of a dead owner and against replacement of a live one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from foldloom.clock import monotonic_ms
from foldloom.exceptions import PeerUnreachableError
from foldloom.seed_discovery.fleet.messages import (
    BoxRecord,
    HigherToken,
    JoinReply,
    OwnerAnswer,
    OwnerHeartbeat,
    OwnerQuery,
    OwnerRecord,
    ZoneLoad,
)
from foldloom.seed_discovery.fleet.view import FleetView
from foldloom.seed_discovery.owners.elector import Elector
from foldloom.settings import ENTRY, TimingSettings
from models.virtual_time import VirtualTimeLoop, run_in_virtual_time

_ZONE = "z"
_CONTROLLER = "10.0.9.1:1"
_TIMINGS = TimingSettings(owner_silent_ms=60, owner_heartbeat_ms=20)


def _record(number: int) -> BoxRecord:
    return BoxRecord(f"10.0.0.{number}:1", 1, _ZONE, ENTRY, f"e{number}")


class _Owner:
    """Fake term of an owner."""

    def __init__(self, record: OwnerRecord) -> None:
        self.record = record
        self.token = record.token
        self.is_valid = True

    def start(self) -> None:
        """Begin."""

    def close(self) -> None:
        """End."""

    def confirm(self, _asked_ms: float) -> bool:
        """Resume work."""
        self.is_valid = True
        return True


class _Network:
    """Fake peers, some unresponsive; records the timeout per queried box."""

    def __init__(self, silent: set[str], silent_ms: int) -> None:
        self.timeouts_ms: dict[str, float] = {}
        self.sent: list[tuple[str, Any]] = []
        self.owner = OwnerRecord(_ZONE, 5)
        self.silent_ms = silent_ms
        self._silent = silent

    def silence(self, boxes: set[str]) -> None:
        """Have *boxes* answer no more."""
        self._silent = boxes

    def on(self, _kind: type, _handler: Callable[..., Any]) -> None:
        """Ignore handlers."""

    def send(self, box: str, message: Any, _ttl_ms: float = 0) -> None:
        """Record a message."""
        self.sent.append((box, message))

    async def request(self, box: str, _message: OwnerQuery, timeout_ms: float) -> OwnerAnswer:
        """Answer with the time since the owner's newest heartbeat."""
        self.timeouts_ms[box] = timeout_ms
        if box in self._silent:
            await asyncio.sleep(timeout_ms / 1_000)
            raise PeerUnreachableError
        return OwnerAnswer(self.owner, self.silent_ms)


class _Rig:
    """Box 2 of a zone whose owner is box 1."""

    def __init__(self, silent: set[str], silent_ms: int) -> None:
        self.network = _Network(silent, silent_ms)
        self.view = FleetView(_record(2), [])
        reply = JoinReply([_CONTROLLER], [_record(1), _record(2), _record(3)], [], 0, 1, 0, [])
        self.view.note_controller(_CONTROLLER, reply, monotonic_ms())
        network: Any = self.network
        make_owner: Any = _Owner
        self.elector = Elector(self.view, network, _TIMINGS, make_owner, lambda _heartbeat: None)
        owner = OwnerRecord(_ZONE, 5, _record(1).box, 1)
        self.elector.handle_heartbeat(
            _record(1).box, OwnerHeartbeat(owner, _record(1), 0, 0, ZoneLoad())
        )

    async def run(self, for_s: float) -> None:
        """Let the elector run."""
        running = asyncio.create_task(self.elector.run())
        await asyncio.sleep(for_s)
        running.cancel()


def _run(test: Coroutine[Any, Any, None]) -> None:
    asyncio.run(test)


class TestFailover:
    """The known owner is silent."""

    def test_the_owner_is_not_waited_for_as_long_as_the_others(self) -> None:
        """The query to the silent owner has a shorter timeout than those to witnesses."""

        async def play() -> None:
            rig = _Rig({_record(1).box}, 1_000)
            await rig.run(0.4)
            assert rig.elector.owner is not None
            timeouts_ms = rig.network.timeouts_ms
            assert timeouts_ms[_record(1).box] < timeouts_ms[_record(3).box]
            assert timeouts_ms[_CONTROLLER] == timeouts_ms[_record(3).box]

        _run(play())

    def test_silent_owner_takes_no_rank(self) -> None:
        """The silent owner takes no rank among the candidates."""
        rig = _Rig(set(), 1_000)
        assert rig.elector.silence_timeout_ms == _TIMINGS.owner_silent_ms

    def test_recent_heartbeat_prevents_acquisition(self) -> None:
        """A zone whose owner has recent heartbeats at a witness is not acquired."""

        async def play() -> None:
            rig = _Rig({_record(1).box}, 10)
            await rig.run(0.3)
            assert rig.elector.owner is None

        _run(play())

    def test_nobody_answers(self) -> None:
        """A box without any answer does not acquire the zone."""

        async def play() -> None:
            silent = {_record(1).box, _record(3).box, _CONTROLLER}
            rig = _Rig(silent, 1_000)
            await rig.run(0.4)
            assert rig.elector.owner is None

        _run(play())


class TestResumedOwner:
    """This box owns the zone, and was paused for so long that another may have acquired it."""

    _SILENT = frozenset({_record(1).box})
    # Less than a query timeout.
    _ASKED_S = 0.06
    _QUERY_TIMEOUT_S = 0.12

    async def _resume(self, rig: _Rig, successor: OwnerRecord) -> _Owner:
        """Have box 2 acquire the zone and be paused; witnesses answer with *successor* then."""
        await rig.run(0.4)
        owner: Any = rig.elector.owner
        assert owner is not None
        rig.network.timeouts_ms.clear()
        rig.network.owner = successor
        owner.is_valid = False
        resumed: _Owner = owner
        return resumed

    def test_valid_owner_asks_nobody(self) -> None:
        """An owner that was not paused sends no query."""

        async def play() -> None:
            rig = _Rig(set(self._SILENT), 1_000)
            owner = await self._resume(rig, OwnerRecord(_ZONE))
            owner.is_valid = True
            await rig.run(self._ASKED_S)
            assert rig.network.timeouts_ms == {}

        run_in_virtual_time(play(), VirtualTimeLoop())

    def test_it_continues_without_a_successor(self) -> None:
        """All witnesses are asked, and a lower token changes nothing."""

        async def play() -> None:
            rig = _Rig(set(), 1_000)
            owner = await self._resume(rig, OwnerRecord(_ZONE, 5, _record(3).box, 1))
            await rig.run(self._ASKED_S)
            assert rig.elector.owner is owner
            assert owner.is_valid
            asked = {_record(1).box, _record(3).box, _CONTROLLER}
            assert set(rig.network.timeouts_ms) == asked

        run_in_virtual_time(play(), VirtualTimeLoop())

    def test_it_follows_its_successor(self) -> None:
        """The first answer with a higher token suffices, also while other boxes are silent."""

        async def play() -> None:
            rig = _Rig(set(self._SILENT), 1_000)
            # The successor's heartbeats are recent.
            successor = OwnerRecord(_ZONE, 1 << 62, _record(3).box, 1)
            owner = await self._resume(rig, successor)
            rig.network.silent_ms = 0
            await rig.run(self._ASKED_S)
            assert rig.elector.owner is None
            assert not owner.is_valid
            assert rig.view.owner_of(_ZONE) == successor

        run_in_virtual_time(play(), VirtualTimeLoop())

    def test_silent_successor_is_replaced(self) -> None:
        """If the successor is silent by now, the zone is acquired with a higher token."""

        async def play() -> None:
            rig = _Rig(set(), 1_000)
            successor = OwnerRecord(_ZONE, 1 << 62, _record(3).box, 1)
            owner = await self._resume(rig, successor)
            await rig.run(self._ASKED_S + self._QUERY_TIMEOUT_S)
            present = rig.elector.owner
            assert present is not None
            assert present is not owner
            assert present.token > successor.token

        run_in_virtual_time(play(), VirtualTimeLoop())

    def test_unknown_owner_is_not_followed(self) -> None:
        """A box that only knows a token from a fencing refusal has no successor to name."""

        async def play() -> None:
            rig = _Rig(set(), 1_000)
            owner = await self._resume(rig, OwnerRecord(_ZONE, 1 << 62))
            await rig.run(self._ASKED_S)
            assert rig.elector.owner is owner
            assert owner.is_valid

        run_in_virtual_time(play(), VirtualTimeLoop())

    def test_nobody_answers(self) -> None:
        """An isolated owner continues after the timeout of the queries, and not before."""

        async def play() -> None:
            silent = set(self._SILENT)
            rig = _Rig(silent, 1_000)
            owner = await self._resume(rig, OwnerRecord(_ZONE))
            rig.network.silence({_record(1).box, _record(3).box, _CONTROLLER})
            running = asyncio.create_task(rig.run(self._QUERY_TIMEOUT_S + 0.2))
            await asyncio.sleep(self._ASKED_S)
            assert not owner.is_valid
            await running
            assert rig.elector.owner is owner
            assert owner.is_valid

        run_in_virtual_time(play(), VirtualTimeLoop())


class TestOwnerOfAnotherZone:
    """This box hears two owners of another zone."""

    _OTHER_ZONE = "y"

    def _hear(self, rig: _Rig, number: int, token: int) -> OwnerRecord:
        """Handle a heartbeat of the other zone's owner on box *number*; return the owner."""
        box = _record(number)._replace(zone=self._OTHER_ZONE)
        owner = OwnerRecord(self._OTHER_ZONE, token, box.box, 1)
        rig.elector.handle_heartbeat(box.box, OwnerHeartbeat(owner, box, 0, 0, ZoneLoad()))
        return owner

    def test_lower_token_is_answered(self) -> None:
        """The owner with the lower token is notified, since no box of its zone may be there to."""
        rig = _Rig(set(), 0)
        later = self._hear(rig, 5, 8)
        earlier = self._hear(rig, 4, 7)
        assert rig.network.sent == [(earlier.box, HigherToken(later))]
        assert rig.view.owner_of(self._OTHER_ZONE) == later

    def test_others_are_not(self) -> None:
        """The present owner and its successor get no answer."""
        rig = _Rig(set(), 0)
        for number, token in ((4, 7), (4, 7), (5, 8)):
            self._hear(rig, number, token)
        assert rig.network.sent == []
