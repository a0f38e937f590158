# SPDX-License-Identifier: MIT
"""The replicated state machine: configuration, answers of past commands, box incarnations.

Owns the state that log entries build, and its form in a snapshot. Applying an entry is
deterministic, without clock or random numbers, so that all controllers reach the same state.
"""

from __future__ import annotations

from functools import singledispatch
from typing import Any, NamedTuple

import msgspec

from foldloom.controllers.commands import (
    Answer,
    BootstrapCommand,
    BoxesSettledCommand,
    ConfirmCommand,
    ControllerJoinCommand,
    ControllerLeaveCommand,
    IncarnationCommand,
    PublishCommand,
    VoterReadyCommand,
    decode_command,
)
from foldloom.controllers.config import (
    BOXES,
    CONTROLLERS,
    BoxList,
    Change,
    Config,
    apply_changes,
    decode_config,
    empty_config,
    encode_config,
)
from foldloom.controllers.intents import parse_intents
from foldloom.controllers.plans import make_plan

# Answers retained for retried commands: four days of the 2,400 changes a day to design for.
COMMANDS_RETAINED_MAX = 10_000
# Boxes that lag further behind pull the whole configuration.
CHANGE_SETS_RETAINED_MAX = 256


class ChangeSet(NamedTuple):
    """The changes that led to *version* from the previous one."""

    version: int
    changes: list[Change]


class Publication(NamedTuple):
    """A document that an operator publishes as a whole, with its own version.

    Args:
        version: The operator's version number; the highest one wins. 0: nothing published.
        document: The contents, in the operator's format.
    """

    version: int
    document: bytes


NO_PUBLICATION = Publication(0, b"")


class _SnapshotBody(NamedTuple):
    """The state as stored in a snapshot."""

    config: bytes
    commands: list[tuple[str, str, Answer]]
    incarnations: dict[str, tuple[int, int]]
    change_sets: list[ChangeSet]
    is_founded: bool
    publication: Publication = NO_PUBLICATION
    target_voter_count: int = 0


_ENCODER = msgspec.msgpack.Encoder()
_SNAPSHOT_DECODER = msgspec.msgpack.Decoder(_SnapshotBody)


class ReplicatedState:
    """The state that log entries build.

    Args:
        config: The configuration at version 0.
    """

    def __init__(self, config: Config) -> None:
        self._config = config
        self._answers: dict[str, tuple[str, Answer]] = {}
        self._incarnations: dict[str, tuple[int, int]] = {}
        self._change_sets: list[ChangeSet] = []
        self._is_founded = False
        self._publication = NO_PUBLICATION
        self._target_voter_count = len(config.controllers)

    @property
    def publication(self) -> Publication:
        """The published document with the highest version."""
        return self._publication

    @property
    def target_voter_count(self) -> int:
        """The intended number of controllers."""
        return self._target_voter_count

    @property
    def is_founded(self) -> bool:
        """Whether the initial boxes and controllers are recorded."""
        return self._is_founded

    @property
    def config(self) -> Config:
        """The configuration after all applied entries."""
        return self._config

    def changes_since(self, version: int) -> list[ChangeSet]:
        """Return the change sets after *version*; empty if some are no longer retained."""
        count = self._config.version - version
        if not 0 < count <= len(self._change_sets):
            return []
        return self._change_sets[-count:]

    def apply(self, payload: bytes) -> Answer:
        """Apply one committed entry and return its answer."""
        if not payload:
            return Answer(200, self._config.version)
        return _apply(decode_command(payload), self)

    def dump(self) -> bytes:
        """Return the whole state, encoded for a snapshot."""
        commands = [(name, digest, answer) for name, (digest, answer) in self._answers.items()]
        body = _SnapshotBody(
            encode_config(self._config),
            commands,
            self._incarnations,
            self._change_sets,
            self._is_founded,
            self._publication,
            self._target_voter_count,
        )
        return _ENCODER.encode(body)

    def load(self, data: bytes) -> None:
        """Replace the state by *data*, as encoded by :meth:`dump`."""
        body = _SNAPSHOT_DECODER.decode(data)
        self._config = decode_config(body.config)
        self._answers = {name: (digest, answer) for name, digest, answer in body.commands}
        self._incarnations = dict(body.incarnations)
        self._change_sets = list(body.change_sets)
        self._is_founded = body.is_founded
        self._publication = body.publication
        self._target_voter_count = body.target_voter_count

    def bootstrap(self, command: BootstrapCommand) -> Answer:
        """Adopt the initial boxes and controllers; repeating it has no effect."""
        if not self._is_founded:
            self._is_founded = True
            self._target_voter_count = len(command.controllers)
            initial_config = empty_config(command.boxes, command.controllers)
            self._config = initial_config._replace(version=1)
            self._change_sets.clear()
        return Answer(200, self._config.version)

    def confirm(self, command: ConfirmCommand) -> Answer:
        """Apply a confirmed plan; a retried command id gets its first answer again."""
        requested_digest = command.digest
        known = self._answers.get(command.command)
        if known is not None:
            digest, answer = known
            if digest == requested_digest:
                return answer
            return Answer(409, self._config.version, "this command id was used for other content")
        answer = self._apply_confirm(command)
        self._answers[command.command] = (requested_digest, answer)
        while len(self._answers) > COMMANDS_RETAINED_MAX:
            del self._answers[next(iter(self._answers))]
        return answer

    def publish(self, command: PublishCommand) -> Answer:
        """Store the document if its version is higher; otherwise do nothing."""
        if command.version > self._publication.version:
            self._publication = Publication(command.version, command.document)
        return Answer(200, self._publication.version)

    def record_incarnation(self, command: IncarnationCommand) -> Answer:
        """Record a box's incarnation and return the previous one, also for a retry."""
        newest, before = self._incarnations.get(command.box, (0, 0))
        if command.incarnation > newest:
            newest, before = command.incarnation, newest
            self._incarnations[command.box] = (newest, before)
        return Answer(200, self._config.version, number=before)

    def readmit_voter(self, command: VoterReadyCommand) -> Answer:
        """Make a controller a voter again, under its new storage id."""
        if command.box not in self._config.controllers:
            return Answer(409, self._config.version, "no controller of this configuration")
        return self._set_controller(command.box, command.storage_id)

    def add_controller(self, command: ControllerJoinCommand) -> Answer:
        """Add a voter."""
        return self._set_controller(command.box, command.storage_id)

    def remove_controller(self, command: ControllerLeaveCommand) -> Answer:
        """Remove a voter."""
        return self._set_controller(command.box, None)

    def settle_boxes(self, command: BoxesSettledCommand) -> Answer:
        """End the joint phase of the box list."""
        boxes = self._config.boxes
        if boxes["next"] is None or boxes["epoch"] != command.epoch:
            return Answer(409, self._config.version, "no such joint box list")
        after = BoxList(epoch=command.epoch + 1, current=boxes["next"], next=None, dead=[])
        self._record_changes([Change(section=BOXES, name="list", before=boxes, after=after)])
        return Answer(200, self._config.version)

    def _apply_confirm(self, command: ConfirmCommand) -> Answer:
        intents = parse_intents(command.intents)
        if intents.is_error():
            return Answer(400, self._config.version, intents.error)
        planned = make_plan(self._config, intents.ok)
        if planned.is_error():
            return Answer(409, self._config.version, planned.error)
        plan = planned.ok
        if plan.digest != command.digest:
            detail = "the configuration moved in what this plan touches"
            return Answer(409, self._config.version, detail, plan)
        self._record_changes(plan.changes)
        return Answer(200, self._config.version)

    def _set_controller(self, box: str, storage_id: str | None) -> Answer:
        before = self._config.controllers.get(box)
        self._record_changes(
            [Change(section=CONTROLLERS, name=box, before=before, after=storage_id)]
        )
        return Answer(200, self._config.version)

    def _record_changes(self, changes: list[Change]) -> None:
        version = self._config.version + 1
        self._config = apply_changes(self._config, changes, version)
        self._change_sets.append(ChangeSet(version, changes))
        del self._change_sets[:-CHANGE_SETS_RETAINED_MAX]


@singledispatch
def _apply(command: Any, _state: ReplicatedState) -> Answer:
    raise TypeError(f"unsupported command type: {type(command).__name__}")


@_apply.register
def _(command: ConfirmCommand, state: ReplicatedState) -> Answer:
    return state.confirm(command)


@_apply.register
def _(command: IncarnationCommand, state: ReplicatedState) -> Answer:
    return state.record_incarnation(command)


@_apply.register
def _(command: VoterReadyCommand, state: ReplicatedState) -> Answer:
    return state.readmit_voter(command)


@_apply.register
def _(command: BoxesSettledCommand, state: ReplicatedState) -> Answer:
    return state.settle_boxes(command)


@_apply.register
def _(command: BootstrapCommand, state: ReplicatedState) -> Answer:
    return state.bootstrap(command)


@_apply.register
def _(command: PublishCommand, state: ReplicatedState) -> Answer:
    return state.publish(command)


@_apply.register
def _(command: ControllerJoinCommand, state: ReplicatedState) -> Answer:
    return state.add_controller(command)


@_apply.register
def _(command: ControllerLeaveCommand, state: ReplicatedState) -> Answer:
    return state.remove_controller(command)
