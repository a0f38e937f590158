# SPDX-License-Identifier: MIT
"""Guards against a new owner that takes a run for lost on an endpoint that it does not know."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from foldloom.exceptions import PeerUnreachableError
from foldloom.seed_discovery.endpoints.calls import EndpointReport
from foldloom.seed_discovery.fleet.messages import (
    BoxRecord,
    HeartbeatAck,
    OwnerHeartbeat,
    OwnerRecord,
)
from foldloom.seed_discovery.fleet.view import FleetView
from foldloom.seed_discovery.owners.announced_endpoints import AnnouncedEndpoints
from foldloom.seed_discovery.owners.client import OwnerClient
from foldloom.seed_discovery.owners.messages import (
    EndCause,
    EndpointList,
    EndsNoted,
    RunsEnded,
)
from foldloom.seed_discovery.owners.sessions import Sessions
from foldloom.seed_discovery.owners.state import OwnerState
from foldloom.seed_discovery.scheduling.runs import HolderId, RecoveryBound
from foldloom.settings import ENTRY, TimingSettings
from test_owners_state import endpoint, ends_of, owner_with, submission

_ZONE = "z"
_TOKEN = 7
_HOLDER = HolderId("10.0.0.1:1", 1)
_OTHER_HOLDER = HolderId("10.0.0.2:1", 1)
_SESSION_MS = 400.0
_RUN_EXPIRY_MS = 750.0
_ENDED_MS = 2_000.0


def _run(test: Coroutine[Any, Any, None]) -> None:
    asyncio.run(test)


class TestAnnouncedEndpoints:
    """What a box tells the next owner of a zone."""

    def test_of_two_earlier_owners(self) -> None:
        """The second owner may have adopted runs of the first one, so both lists count."""
        announced = AnnouncedEndpoints(lambda: False)
        announced.note(EndpointList(1, ("w1",)))
        announced.end_owner(0.0, _ENDED_MS)
        announced.begin_owner(announces=True)
        announced.note(EndpointList(1, ("w2",)))
        announced.end_owner(100.0, _ENDED_MS + 100.0)
        announced.begin_owner(announces=True)
        announced.note(EndpointList(1, ("w3",)))
        assert announced.of_earlier_owners(_ENDED_MS + 99.0) == ("w1", "w2")
        assert announced.of_earlier_owners(_ENDED_MS + 100.0) == ()

    def test_until_the_present_owner_has_announced(self) -> None:
        """An owner that has announced nothing yet may have adopted runs of the earlier one."""
        announced = AnnouncedEndpoints(lambda: False)
        announced.note(EndpointList(1, ("w1",)))
        announced.end_owner(0.0, _ENDED_MS)
        announced.begin_owner(announces=True)
        assert announced.of_earlier_owners(_ENDED_MS) == ("w1",)

    def test_until_its_runs_have_ended(self) -> None:
        """The present owner may have adopted a run on an endpoint that it has not announced yet."""
        open_runs = ["run"]
        announced = AnnouncedEndpoints(lambda: bool(open_runs))
        announced.note(EndpointList(1, ("w1",)))
        announced.end_owner(0.0, _ENDED_MS)
        announced.begin_owner(announces=True)
        announced.note(EndpointList(1, ("w2",)))
        assert announced.of_earlier_owners(_ENDED_MS) == ("w1",)
        open_runs.clear()
        assert announced.of_earlier_owners(_ENDED_MS) == ()

    def test_owner_of_an_earlier_release(self) -> None:
        """It announces nothing, so the endpoints that it used are unknown."""
        announced = AnnouncedEndpoints(lambda: False)
        announced.begin_owner(announces=False)
        announced.end_owner(0.0, _ENDED_MS)
        announced.begin_owner(announces=True)
        announced.note(EndpointList(1, ("w1",)))
        assert announced.of_earlier_owners(_ENDED_MS - 1.0) is None
        assert announced.of_earlier_owners(_ENDED_MS) == ()

    def test_delayed_list(self) -> None:
        """A list that was delayed does not replace a later one."""
        announced = AnnouncedEndpoints(lambda: False)
        announced.note(EndpointList(2, ("w1", "w2")))
        announced.note(EndpointList(1, ("w1",)))
        announced.end_owner(0.0, _ENDED_MS)
        assert announced.of_earlier_owners(0.0) == ("w1", "w2")


class _Network:
    """Fake peers; records what is sent to them."""

    def __init__(self) -> None:
        self.handlers: dict[type, Callable[..., Any]] = {}
        self.sent: list[Any] = []

    def on(self, kind: type, handler: Callable[..., Any]) -> None:
        """Register the handler for a message type."""
        self.handlers[kind] = handler

    def send(self, _box: str, message: Any, _ttl_ms: float = 0) -> None:
        """Record a message."""
        self.sent.append(message)


class TestBox:
    """An entry box tells the next owner the endpoints of the owners before it."""

    def test_earlier_owner_is_not_acknowledged(self) -> None:
        """What an earlier owner announces late is refused, so that it starts nothing there."""

        async def play() -> None:
            network = _Network()
            fake: Any = network
            own = BoxRecord("10.0.0.9:1", 1, _ZONE, ENTRY, "e")
            client = OwnerClient(FleetView(own, []), fake, TimingSettings())

            def announce(token: int, announced: EndpointList) -> bool:
                message = RunsEnded(_ZONE, [], token, announced=announced)
                reply: EndsNoted = network.handlers[RunsEnded]("10.0.0.1:1", message)
                return reply.is_present_owner

            _beat(client, 1)
            assert announce(1, EndpointList(1, ("w1",)))
            assert _last_ack(network).earlier_endpoints == ()
            _beat(client, 2)
            assert _last_ack(network).earlier_endpoints == ("w1",)
            assert not announce(1, EndpointList(2, ("w1", "w2")))
            _beat(client, 2)
            assert _last_ack(network).earlier_endpoints == ("w1",)

        _run(play())


def _beat(client: OwnerClient, token: int) -> None:
    record = BoxRecord(f"10.0.0.{token}:1", 1, _ZONE, ENTRY, "o")
    owner = OwnerRecord(_ZONE, token, record.box, 1)
    client.handle_heartbeat(OwnerHeartbeat(owner, record, 0, announces_endpoints=True), 0)


def _last_ack(network: _Network) -> HeartbeatAck:
    return [message for message in network.sent if isinstance(message, HeartbeatAck)][-1]


class _Box:
    """Fake box that acknowledges notices once ``may_answer`` is set."""

    def __init__(self, follows_owner: bool = True, lost: int = 0) -> None:
        self.may_answer = asyncio.Event()
        self.received: list[EndpointList | None] = []
        self._follows_owner = follows_owner
        self._lost = lost

    async def request(self, _box: str, message: Any, _timeout_ms: float) -> Any:
        """Acknowledge a message, or lose it."""
        await self.may_answer.wait()
        if self._lost:
            self._lost -= 1
            raise PeerUnreachableError
        self.received.append(message.announced)
        return EndsNoted(self._follows_owner)


class TestAnnouncements:
    """An owner starts no run of a box on an endpoint that the box has not acknowledged."""

    @pytest.mark.parametrize("lost", [0, 2])
    def test_until_it_is_acknowledged(self, lost: int) -> None:
        """An endpoint counts as announced from the acknowledgement on, also after lost messages."""

        async def play() -> None:
            box: Any = _Box(lost=lost)
            acknowledged: list[int] = []
            sessions = Sessions(_ZONE, _TOKEN, box, _SESSION_MS, lambda: acknowledged.append(1))
            sessions.announce_endpoints(["w1"])
            sessions.grant(_HOLDER, 0.0)
            await asyncio.sleep(0.01)
            assert not sessions.has_acknowledged(_HOLDER, "w1")
            box.may_answer.set()
            await asyncio.sleep(0.01)
            assert sessions.has_acknowledged(_HOLDER, "w1")
            assert acknowledged == [1]
            box.may_answer.clear()
            sessions.announce_endpoints(["w1", "w2"])
            await asyncio.sleep(0.01)
            assert sessions.has_acknowledged(_HOLDER, "w1")
            assert not sessions.has_acknowledged(_HOLDER, "w2")
            sessions.announce_endpoints(["w1", "w2", "w3"])
            box.may_answer.set()
            await asyncio.sleep(0.01)
            assert sessions.has_acknowledged(_HOLDER, "w2")
            assert sessions.has_acknowledged(_HOLDER, "w3")
            assert box.received[-1] == EndpointList(3, ("w1", "w2", "w3"))
            sessions.close()

        _run(play())

    def test_box_that_follows_another_owner(self) -> None:
        """It has told the other owner its list, so nothing is added to that."""

        async def play() -> None:
            box: Any = _Box(follows_owner=False)
            box.may_answer.set()
            sessions = Sessions(_ZONE, _TOKEN, box, _SESSION_MS)
            sessions.announce_endpoints(["w1"])
            sessions.grant(_HOLDER, 0.0)
            await asyncio.sleep(0.01)
            assert box.received == [EndpointList(1, ("w1",))]
            assert not sessions.has_acknowledged(_HOLDER, "w1")
            sessions.close()

        _run(play())

    def test_endpoint_that_comes_back(self) -> None:
        """An endpoint that was removed and added again is announced again."""

        async def play() -> None:
            box: Any = _Box()
            box.may_answer.set()
            sessions = Sessions(_ZONE, _TOKEN, box, _SESSION_MS)
            sessions.announce_endpoints(["w1", "w2"])
            sessions.grant(_HOLDER, 0.0)
            await asyncio.sleep(0.01)
            sessions.announce_endpoints(["w2"])
            await asyncio.sleep(0.01)
            box.may_answer.clear()
            sessions.announce_endpoints(["w2", "w1"])
            assert not sessions.has_acknowledged(_HOLDER, "w1")
            assert sessions.has_acknowledged(_HOLDER, "w2")
            sessions.close()

        _run(play())

    def test_renewed_session(self) -> None:
        """A box whose session has expired is told again."""

        async def play() -> None:
            box: Any = _Box()
            sessions = Sessions(_ZONE, _TOKEN, box, _SESSION_MS)
            sessions.announce_endpoints(["w1"])
            box.may_answer.set()
            sessions.grant(_HOLDER, 0.0)
            await asyncio.sleep(0.01)
            sessions.end_lapsed(_SESSION_MS)
            assert not sessions.has_acknowledged(_HOLDER, "w1")
            box.may_answer.clear()
            sessions.grant(_HOLDER, 1_000.0)
            await asyncio.sleep(0.01)
            assert not sessions.has_acknowledged(_HOLDER, "w1")
            sessions.close()

        _run(play())


class TestRecovery:
    """Reports end a run only if they cover every endpoint that may have it."""

    def _recovering(self, earlier_endpoints: frozenset[str] | None) -> OwnerState:
        """Return an owner that knows and has polled ``w1`` only, and has a recovering run."""
        state = owner_with(endpoint("w1"))
        message = submission(is_resumed=True, old_right_ms=100)
        state.submit(_HOLDER, message, 1_000.0, earlier_endpoints)
        state.report(EndpointReport("w1", (), (), 1_200.0), 1_201.0)
        state.tick(1_202.0)
        return state

    @pytest.mark.parametrize("earlier", [None, frozenset({"w2"}), frozenset({"w1", "w2"})])
    def test_unknown_endpoint(self, earlier: frozenset[str] | None) -> None:
        """A run that may be on an endpoint that the owner does not know ends with its lease."""
        state = self._recovering(earlier)
        assert ends_of(state) == []
        state.tick(1_099.0 + _RUN_EXPIRY_MS)
        assert ends_of(state) == []
        state.tick(1_100.0 + _RUN_EXPIRY_MS)
        assert [end.cause for _, end in ends_of(state)] == [EndCause.LOST]

    def test_no_endpoint_is_known(self) -> None:
        """An owner that knows no endpoint concludes nothing from that."""
        state = OwnerState(_RUN_EXPIRY_MS)
        state.submit(_HOLDER, submission(is_resumed=True), 1_000.0, frozenset({"w1"}))
        state.tick(1_001.0)
        assert ends_of(state) == []

    @pytest.mark.parametrize("earlier", [frozenset(), frozenset({"w1"})])
    def test_known_endpoints(self, earlier: frozenset[str]) -> None:
        """A run of an earlier owner that used no other endpoint is lost at once."""
        state = self._recovering(earlier)
        assert [end.cause for _, end in ends_of(state)] == [EndCause.LOST]

    def test_endpoint_that_has_ended(self) -> None:
        """An endpoint that has certainly ended has no run."""
        state = OwnerState(_RUN_EXPIRY_MS, has_ended=lambda name: name == "w2")
        state.update_endpoint(endpoint("w1"))
        message = submission(is_resumed=True)
        state.submit(_HOLDER, message, 1_000.0, frozenset({"w1", "w2"}))
        state.report(EndpointReport("w1", (), (), 1_001.0), 1_002.0)
        state.tick(1_003.0)
        assert [end.cause for _, end in ends_of(state)] == [EndCause.LOST]

    def test_two_boxes(self) -> None:
        """What any box that holds the run says counts, and the later time."""
        state = owner_with(endpoint("w1"))
        first = submission(is_resumed=True)
        state.submit(_HOLDER, first, 1_000.0, frozenset({"w1"}))
        second = submission(is_resumed=True, old_right_ms=300)
        state.submit(_OTHER_HOLDER, second, 1_000.0, frozenset({"w2"}))
        state.report(EndpointReport("w1", (), (), 1_400.0), 1_401.0)
        state.tick(1_402.0)
        assert ends_of(state) == []
        state.tick(1_299.0 + _RUN_EXPIRY_MS)
        assert ends_of(state) == []
        state.tick(1_300.0 + _RUN_EXPIRY_MS)
        assert len(ends_of(state)) == 2

    def test_joined_bounds(self) -> None:
        """An endpoint that one box does not know stays unknown."""
        known = RecoveryBound(1.0, 2.0, frozenset({"w1"}))
        assert known.joined(RecoveryBound(3.0, 1.0, None)) == RecoveryBound(3.0, 2.0, None)
        other = RecoveryBound(0.0, 5.0, frozenset({"w2"}))
        assert known.joined(other) == RecoveryBound(1.0, 5.0, frozenset({"w1", "w2"}))
