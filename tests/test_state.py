# SPDX-License-Identifier: MIT
"""The replicated state: founding, commands, snapshots; the claim replicas of a submission."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Any

import pytest

from foldloom.controllers.commands import (
    BootstrapCommand,
    BoxesSettledCommand,
    ConfirmCommand,
    IncarnationCommand,
    VoterReadyCommand,
    encode_command,
)
from foldloom.controllers.config import BoxList, empty_config
from foldloom.controllers.holder import ConfigStore
from foldloom.controllers.intents import parse_intents
from foldloom.controllers.messages import ConfigPull, ConfigReply
from foldloom.controllers.plans import make_plan
from foldloom.controllers.state import ReplicatedState
from foldloom.static_peers.claims.replicas import claim_replicas, replica_sets

_BOXES = {f"{zone}{n}": zone for zone in "abc" for n in (1, 2, 3)}


def _state() -> ReplicatedState:
    return ReplicatedState(empty_config(dict(_BOXES), {"a1": "?"}))


def _confirm(state: ReplicatedState, command: str, raw: list[dict[str, Any]]) -> Any:
    plan = make_plan(state.config, parse_intents(raw).ok).ok
    return state.apply(encode_command(ConfirmCommand(command, plan.digest, raw)))


class TestReplicatedState:
    """Entries applied in order."""

    def test_founding_makes_settings_not_matter(self) -> None:
        """Controllers with different settings reach the same state from the same entries."""
        entries = [
            encode_command(BootstrapCommand({"a1": "a"}, {"a1": "?"})),
            encode_command(VoterReadyCommand("a1", "x1")),
        ]
        states = [_state(), ReplicatedState(empty_config({"z": "z"}, {"z": "?"}))]
        for state in states:
            for entry in entries:
                state.apply(entry)
        assert states[0].dump() == states[1].dump()
        assert states[0].config.controllers == {"a1": "x1"}

    def test_snapshot_holds_everything(self) -> None:
        """A state loaded from a snapshot gives the same answers and incarnations."""
        state = _state()
        raw = [{"kind": "member", "name": "m", "quota": 2}]
        first = _confirm(state, "c1", raw)
        state.apply(encode_command(IncarnationCommand("a1", 7)))
        other = ReplicatedState(empty_config({}, {}))
        other.load(state.dump())
        plan_digest = make_plan(_state().config, parse_intents(raw).ok).ok.digest
        resent = encode_command(ConfirmCommand("c1", plan_digest, raw))
        assert other.apply(resent) == first
        assert other.apply(encode_command(IncarnationCommand("a1", 9))).number == 7
        assert other.dump() != state.dump()

    def test_resent_incarnation_gives_the_one_before(self) -> None:
        """A retried incarnation gets the same answer as the first attempt."""
        state = _state()
        command = encode_command(IncarnationCommand("b1", 5))
        assert [state.apply(command).number for _ in range(2)] == [0, 0]

    @pytest.mark.parametrize(
        ("raw", "reason"),
        [
            ([{"kind": "worker", "name": "w"}], "endpoint"),
            ([{"kind": "worker-leaving", "name": "w"}], "unknown"),
            ([{"kind": "box-leaving", "name": "zz"}], "unknown"),
            ([{"kind": "controller-replace", "old": "a1", "new": "a1"}], "already"),
        ],
    )
    def test_invalid_intents(self, raw: list[Any], reason: str) -> None:
        """Intents that can't be applied are refused with a reason."""
        planned = make_plan(_state().config, parse_intents(raw).ok)
        assert reason in planned.error

    def test_box_list_goes_joint_and_settles(self) -> None:
        """A joining box starts a joint list; settling its epoch ends it."""
        state = _state()
        _confirm(state, "c", [{"kind": "box-joining", "name": "a4", "zone": "a"}])
        assert state.config.boxes["next"] is not None
        assert state.apply(encode_command(BoxesSettledCommand(0))).status == 409
        assert state.apply(encode_command(BoxesSettledCommand(1))).status == 200
        assert "a4" in state.config.boxes["current"]
        assert state.config.boxes["epoch"] == 2


class FakeNetwork:
    """A network that passes every request to another box's handlers."""

    def __init__(self) -> None:
        """Start without handlers."""
        self.handlers: dict[type, Any] = {}
        self.other: FakeNetwork | None = None
        self.replies: list[ConfigReply] = []

    def on(self, message_type: type, handler: Any) -> None:
        """Register a handler."""
        self.handlers[message_type] = handler

    async def request(self, _box: str, message: ConfigPull, _timeout_ms: float) -> ConfigReply:
        """Call the other box's handler."""
        assert self.other is not None
        self.replies.append(self.other.handlers[ConfigPull]("me", message))
        return self.replies[-1]


class TestConfigHolder:
    """The configuration in effect on a box."""

    def test_pulls_changes_and_never_goes_back(self) -> None:
        """A box pulls change sets, or from version 0 the whole; it adopts no older version."""
        state = _state()
        peers: list[Any] = [FakeNetwork(), FakeNetwork()]
        peers[1].other = peers[0]
        source, puller = (ConfigStore(peer, state.config) for peer in peers)

        def change(number: int) -> None:
            _confirm(state, f"c{number}", [{"kind": "member", "name": "m", "quota": number}])
            source.adopt(state.config, state.changes_since(state.config.version - 1))

        async def pull() -> None:
            puller.pull_if_newer("a1", source.config.version)
            while puller.config.version < source.config.version:
                await asyncio.sleep(0)

        change(1)
        asyncio.run(pull())
        assert peers[1].replies[-1].config
        change(2)
        change(3)
        asyncio.run(pull())
        assert not peers[1].replies[-1].config
        assert [one.version for one in peers[1].replies[-1].change_sets] == [2, 3]
        assert puller.config == source.config
        puller.adopt(_state().config)
        assert puller.config.version == 3


class TestReplicas:
    """The boxes that hold a submission's claim."""

    def test_plain_ids_have_one_in_each_zone(self) -> None:
        """An untagged id has a replica in each of three zones, evenly distributed."""
        counts: Counter[str] = Counter()
        for number in range(900):
            replicas = claim_replicas(f"s-{number}", _BOXES)
            assert sorted(box[0] for box in replicas) == ["a", "b", "c"]
            counts.update(replicas)
        assert min(counts.values()) > 200

    def test_tagged_ids_stay_in_their_zone(self) -> None:
        """A tagged id has all replicas in its zone; with two boxes both must vote."""
        assert {box[0] for box in claim_replicas("b~x", _BOXES)} == {"b"}
        two = {"b1": "b", "b2": "b", "a1": "a"}
        boxes = BoxList(epoch=0, current=two, next=None, dead=[])
        sets = replica_sets("b~x", boxes)
        assert not sets.is_majority({"b1"})
        assert sets.is_majority({"b1", "b2"})

    def test_joint_needs_a_majority_of_both(self) -> None:
        """A joint list requires a majority of the current and of the next list."""
        old = {"a1": "a", "b1": "b", "c1": "c"}
        new = {"a1": "a", "b2": "b", "c2": "c"}
        sets = replica_sets("s", BoxList(epoch=1, current=old, next=new, dead=[]))
        assert not sets.is_majority({"a1", "b2", "c2"})
        assert not sets.is_majority({"a1", "b1", "c1"})
        assert sets.is_majority({"a1", "b1", "b2"})
