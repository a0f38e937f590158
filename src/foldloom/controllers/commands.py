# SPDX-License-Identifier: MIT
"""The commands of the replicated log, their bytes in a log entry, and what one comes to.

Owns nothing: data and its encoding (msgpack, by tag; fields by position). What a command does is in
:mod:`foldloom.controllers.state`. Entries on disk hold these bytes, so a field is only added at the
end, with a default.
"""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

from foldloom.controllers.plans import Plan


class ConfirmCommand(msgspec.Struct, tag="confirm", array_like=True, frozen=True):
    """Confirm intents if they still mean the changes that *digest* names."""

    command: str
    digest: str
    intents: list[Any]


class IncarnationCommand(msgspec.Struct, tag="incarnation", array_like=True, frozen=True):
    """Record that *box* started a life numbered *incarnation*."""

    box: str
    incarnation: int


class VoterReadyCommand(msgspec.Struct, tag="voter-ready", array_like=True, frozen=True):
    """Count the controller *box* again, now with the data folder *storage_id*."""

    box: str
    storage_id: str


class ControllerJoinCommand(msgspec.Struct, tag="controller-join", array_like=True, frozen=True):
    """Count one controller more, with the data folder *storage_id*."""

    box: str
    storage_id: str


class ControllerLeaveCommand(msgspec.Struct, tag="controller-leave", array_like=True, frozen=True):
    """Count the controller *box* no longer."""

    box: str


class BoxesSettledCommand(msgspec.Struct, tag="boxes-settled", array_like=True, frozen=True):
    """End the joint box list of *epoch*: the next list is the only one."""

    epoch: int


class FoundCommand(msgspec.Struct, tag="found", array_like=True, frozen=True):
    """Write down the boxes and controllers that the system began with.

    Settings change when boxes come; what a log is replayed onto must not.
    """

    boxes: dict[str, str]
    controllers: dict[str, str]


class PublishCommand(msgspec.Struct, tag="publish", array_like=True, frozen=True):
    """Publish a whole document if *version* is above the one held."""

    version: int
    document: bytes


Command = (
    ConfirmCommand
    | IncarnationCommand
    | VoterReadyCommand
    | BoxesSettledCommand
    | FoundCommand
    | PublishCommand
    | ControllerJoinCommand
    | ControllerLeaveCommand
)

_COMMAND_DECODER = msgspec.msgpack.Decoder(Command)
_ENCODER = msgspec.msgpack.Encoder()


class Answer(NamedTuple):
    """What a command came to.

    Args:
        status: 200 if done, 409 for a conflict, 400 if the intents are wrong.
        version: The configuration version after it.
        detail: For people.
        plan: With 409, the fresh plan.
        number: For an incarnation, the one recorded before (0: first boot).
    """

    status: int
    version: int = 0
    detail: str = ""
    plan: Plan | None = None
    number: int = 0


def encode_command(command: Command) -> bytes:
    """Return the bytes of *command* for a log entry."""
    return _ENCODER.encode(command)


def decode_command(payload: bytes) -> Command:
    """Return the command in a log entry's *payload*."""
    return _COMMAND_DECODER.decode(payload)
