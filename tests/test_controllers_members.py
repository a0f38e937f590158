# SPDX-License-Identifier: MIT
"""Guards against wrong voter tables and wrong replacements of unresponsive voters."""

from __future__ import annotations

from foldloom.controllers.commands import (
    BootstrapCommand,
    ControllerJoinCommand,
    ControllerLeaveCommand,
    PublishCommand,
    VoterReadyCommand,
    encode_command,
)
from foldloom.controllers.members import Standby, newest_table, next_change, quorum_size_of

_TABLE = {"a": "1", "b": "2", "c": "3"}
_READY = Standby("d", "4", True)


class TestNewestTable:
    """The newest table in a controller's own log applies."""

    def test_uncommitted_changes_count(self) -> None:
        """Joins, leaves and new data folders apply as soon as they are in the log."""
        payloads = [
            encode_command(ControllerJoinCommand("d", "4")),
            b"",
            encode_command(PublishCommand(3, b"x")),
            encode_command(VoterReadyCommand("b", "5")),
            encode_command(ControllerLeaveCommand("c")),
        ]
        assert newest_table(_TABLE, True, payloads) == {"a": "1", "b": "5", "d": "4"}

    def test_founded_once(self) -> None:
        """Only the first founding entry has an effect."""
        first = encode_command(BootstrapCommand({}, {"a": "?"}))
        again = encode_command(BootstrapCommand({}, {"z": "?"}))
        assert newest_table({}, False, [first, again]) == {"a": "?"}
        assert newest_table(_TABLE, True, [again]) == _TABLE

    def test_majority(self) -> None:
        """The quorum size is more than half, also of an even number."""
        assert [quorum_size_of(range(size)) for size in (1, 2, 3, 4, 5)] == [1, 2, 2, 3, 3]


class TestNextChange:
    """Voters are replaced one at a time."""

    def test_nothing_without_a_standby(self) -> None:
        """An unresponsive voter is kept while there is no standby."""
        assert next_change(_TABLE, 3, ["c"], [], "a") is None

    def test_nothing_while_all_answer(self) -> None:
        """A standby is not added while all voters respond."""
        assert next_change(_TABLE, 3, [], [_READY], "a") is None

    def test_standby_must_be_current(self) -> None:
        """A standby that lacks committed entries is not added."""
        late = _READY._replace(is_current=False)
        assert next_change(_TABLE, 3, ["c"], [late], "a") is None

    def test_join_then_leave(self) -> None:
        """The standby is added before the unresponsive voter is removed."""
        assert next_change(_TABLE, 3, ["c"], [_READY], "a") == ControllerJoinCommand("d", "4")
        joint = {**_TABLE, "d": "4"}
        assert next_change(joint, 3, ["c"], [], "a") == ControllerLeaveCommand("c")

    def test_replacement_completes_after_recovery(self) -> None:
        """A replacement in progress is completed if all voters respond again; the leader stays."""
        joint = {**_TABLE, "d": "4"}
        change = next_change(joint, 3, [], [], "d")
        assert isinstance(change, ControllerLeaveCommand)
        assert change.box != "d"

    def test_even_number_of_founders(self) -> None:
        """Four founders are not a replacement in progress."""
        founders = {**_TABLE, "d": "4"}
        assert next_change(founders, 4, [], [], "a") is None
