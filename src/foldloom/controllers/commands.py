# SPDX-License-Identifier: MIT
"""The commands of the replicated log, their encoding in an entry, and their answers.

Commands are msgpack arrays with a tag; :mod:`foldloom.controllers.state` applies them. Entries on
disk hold these bytes, so a field may only be added at the end, with a default.
"""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

from foldloom.controllers.plans import Plan


class ConfirmCommand(msgspec.Struct, tag="confirm", array_like=True, frozen=True):
    """Confirm intents if they still result in the changes with this *digest*."""

    command: str
    digest: str
    intents: list[Any]


class IncarnationCommand(msgspec.Struct, tag="incarnation", array_like=True, frozen=True):
    """Record that *box* started with this *incarnation*."""

    box: str
    incarnation: int


class VoterReadyCommand(msgspec.Struct, tag="voter-ready", array_like=True, frozen=True):
    """Make the controller *box* a voter again, with the data folder *storage_id*."""

    box: str
    storage_id: str


class ControllerJoinCommand(msgspec.Struct, tag="controller-join", array_like=True, frozen=True):
    """Add the voter *box*, with the data folder *storage_id*."""

    box: str
    storage_id: str


class ControllerLeaveCommand(msgspec.Struct, tag="controller-leave", array_like=True, frozen=True):
    """Remove the voter *box*."""

    box: str


class BoxesSettledCommand(msgspec.Struct, tag="boxes-settled", array_like=True, frozen=True):
    """End the joint box list of *epoch*; its next list becomes the current one."""

    epoch: int


class BootstrapCommand(msgspec.Struct, tag="found", array_like=True, frozen=True):
    """Record the initial boxes and controllers of the system.

    Replay must not depend on the settings, which change when boxes are added.
    """

    boxes: dict[str, str]
    controllers: dict[str, str]


class PublishCommand(msgspec.Struct, tag="publish", array_like=True, frozen=True):
    """Publish a document if *version* is higher than the current one."""

    version: int
    document: bytes


Command = (
    ConfirmCommand
    | IncarnationCommand
    | VoterReadyCommand
    | BoxesSettledCommand
    | BootstrapCommand
    | PublishCommand
    | ControllerJoinCommand
    | ControllerLeaveCommand
)

_COMMAND_DECODER = msgspec.msgpack.Decoder(Command)
_ENCODER = msgspec.msgpack.Encoder()


class Answer(NamedTuple):
    """The result of a command.

    Args:
        status: 200 if applied, 409 for a conflict, 400 for invalid intents.
        version: The configuration version after the command.
        detail: Human-readable explanation.
        plan: With 409, the updated plan.
        number: For an incarnation, the previously recorded one (0: first start).
    """

    status: int
    version: int = 0
    detail: str = ""
    plan: Plan | None = None
    number: int = 0


def encode_command(command: Command) -> bytes:
    """Return *command* encoded for a log entry."""
    return _ENCODER.encode(command)


def decode_command(payload: bytes) -> Command:
    """Return the command decoded from a log entry's *payload*."""
    return _COMMAND_DECODER.decode(payload)
