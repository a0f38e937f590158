# SPDX-License-Identifier: MIT
"""Who counts among the controllers, and how that changes: decisions only.

Owns nothing. Relies on the encoding of commands, to read the ones that change the table.

The newest table in a controller's own log counts, committed or not, as published for Raft.
Controllers come and go one at a time: a change begins only when the one before is committed.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from functools import singledispatch
from typing import Any, NamedTuple

from foldloom.controllers.commands import (
    Command,
    ControllerJoinCommand,
    ControllerLeaveCommand,
    FoundCommand,
    VoterReadyCommand,
    decode_command,
)

VoterTable = dict[str, str]


class Standby(NamedTuple):
    """A controller that follows the log without a vote.

    Args:
        box: The controller.
        storage_id: Its data folder.
        is_current: Whether it holds everything that is committed.
    """

    box: str
    storage_id: str
    is_current: bool


def newest_table(committed: VoterTable, is_founded: bool, payloads: Iterable[bytes]) -> VoterTable:
    """Return *committed* with what the entries after it change.

    Args:
        committed: The table after the entries that are applied.
        is_founded: Whether one of them founded the system; later ones then change nothing.
        payloads: The entries after them.
    """
    table = dict(committed)
    for payload in payloads:
        command = decode_command(payload) if payload else None
        if isinstance(command, FoundCommand):
            table = table if is_founded else dict(command.controllers)
            is_founded = True
        else:
            _change(command, table)
    return table


def quorum_size_of(table: Collection[str]) -> int:
    """Return how many controllers are more than half."""
    return len(table) // 2 + 1


def next_change(
    table: Collection[str],
    target_count: int,
    unresponsive: Collection[str],
    standbys: Iterable[Standby],
    leader: str,
) -> Command | None:
    """Return the next change of members that replaces a controller that is gone, if any.

    A standby comes in first, then the silent one goes: in between, a majority is one more, and
    what is committed is on a majority both before and after.

    Args:
        table: Who counts.
        founders: How many there are meant to be.
        silent: Those of them that have not answered for long.
        standbys: Who could come in.
        leader: Who decides; it never lets itself go.
    """
    replaceable = sorted(box for box in table if box in unresponsive and box != leader)
    if len(table) > target_count:
        # A change is half done. If the silent one is back, the order of names decides.
        removable = replaceable or sorted(box for box in table if box != leader)
        return ControllerLeaveCommand(removable[-1])
    eligible = sorted(
        standby for standby in standbys if standby.is_current and standby.box not in table
    )
    if not replaceable or not eligible:
        return None
    return ControllerJoinCommand(eligible[0].box, eligible[0].storage_id)


@singledispatch
def _change(_command: Any, _table: VoterTable) -> None:
    """Change nothing: most commands are about something else."""


@_change.register
def _(command: VoterReadyCommand, table: VoterTable) -> None:
    if command.box in table:
        table[command.box] = command.storage_id


@_change.register
def _(command: ControllerJoinCommand, table: VoterTable) -> None:
    table[command.box] = command.storage_id


@_change.register
def _(command: ControllerLeaveCommand, table: VoterTable) -> None:
    table.pop(command.box, None)
