# SPDX-License-Identifier: MIT
"""Membership of the controllers: the table of voters and its next change.

Pure functions. The newest table in a controller's own log applies, whether committed or not, as in
Raft. Voters are added and removed one at a time; a change begins only once the previous one is
committed.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from functools import singledispatch
from typing import Any, NamedTuple

from foldloom.controllers.commands import (
    BootstrapCommand,
    Command,
    ControllerJoinCommand,
    ControllerLeaveCommand,
    VoterReadyCommand,
    decode_command,
)

VoterTable = dict[str, str]


class Standby(NamedTuple):
    """A controller that receives the log without being a voter.

    Args:
        box: The controller.
        storage_id: Its data folder.
        is_current: Whether it holds all committed entries.
    """

    box: str
    storage_id: str
    is_current: bool


def newest_table(committed: VoterTable, is_founded: bool, payloads: Iterable[bytes]) -> VoterTable:
    """Return *committed* with the changes of the entries after it.

    Args:
        committed: The table after the applied entries.
        is_founded: Whether the system is bootstrapped; later bootstrap entries have no effect.
        payloads: The payloads of the entries after the applied ones.
    """
    table = dict(committed)
    for payload in payloads:
        command = decode_command(payload) if payload else None
        if isinstance(command, BootstrapCommand):
            table = table if is_founded else dict(command.controllers)
            is_founded = True
        else:
            _apply_to_table(command, table)
    return table


def quorum_size_of(table: Collection[str]) -> int:
    """Return the number of voters in a majority of *table*."""
    return len(table) // 2 + 1


def next_change(
    table: Collection[str],
    target_count: int,
    unresponsive: Collection[str],
    standbys: Iterable[Standby],
    leader: str,
) -> Command | None:
    """Return the next step in replacing an unresponsive voter, or ``None``.

    The standby is added before the unresponsive voter is removed. The majorities before and after
    each step overlap, so committed entries stay on a majority.

    Args:
        table: The voters.
        target_count: The intended number of voters.
        unresponsive: Voters without a recent reply.
        standbys: The standbys.
        leader: The leader, which never removes itself.
    """
    replaceable = sorted(box for box in table if box in unresponsive and box != leader)
    if len(table) > target_count:
        # A replacement is in progress. If every voter responds again, the last name is removed.
        removable = replaceable or sorted(box for box in table if box != leader)
        return ControllerLeaveCommand(removable[-1])
    eligible = sorted(
        standby for standby in standbys if standby.is_current and standby.box not in table
    )
    if not replaceable or not eligible:
        return None
    return ControllerJoinCommand(eligible[0].box, eligible[0].storage_id)


@singledispatch
def _apply_to_table(_command: Any, _table: VoterTable) -> None:
    """Ignore commands that don't change the table."""


@_apply_to_table.register
def _(command: VoterReadyCommand, table: VoterTable) -> None:
    if command.box in table:
        table[command.box] = command.storage_id


@_apply_to_table.register
def _(command: ControllerJoinCommand, table: VoterTable) -> None:
    table[command.box] = command.storage_id


@_apply_to_table.register
def _(command: ControllerLeaveCommand, table: VoterTable) -> None:
    table.pop(command.box, None)
