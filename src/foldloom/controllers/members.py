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

Table = dict[str, str]


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


def newest_table(committed: Table, is_founded: bool, payloads: Iterable[bytes]) -> Table:
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


def majority_of(table: Collection[str]) -> int:
    """Return how many controllers are more than half."""
    return len(table) // 2 + 1


def next_change(
    table: Collection[str],
    founders: int,
    silent: Collection[str],
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
    gone = sorted(box for box in table if box in silent and box != leader)
    if len(table) > founders:
        # A change is half done. If the silent one is back, the order of names decides.
        leaving = gone or sorted(box for box in table if box != leader)
        return ControllerLeaveCommand(leaving[-1])
    ready = sorted(one for one in standbys if one.is_current and one.box not in table)
    if not gone or not ready:
        return None
    return ControllerJoinCommand(ready[0].box, ready[0].storage_id)


@singledispatch
def _change(_command: Any, _table: Table) -> None:
    """Change nothing: most commands are about something else."""


@_change.register
def _(command: VoterReadyCommand, table: Table) -> None:
    if command.box in table:
        table[command.box] = command.storage_id


@_change.register
def _(command: ControllerJoinCommand, table: Table) -> None:
    table[command.box] = command.storage_id


@_change.register
def _(command: ControllerLeaveCommand, table: Table) -> None:
    table.pop(command.box, None)
