# SPDX-License-Identifier: MIT
"""Exceptions raised by foldloom."""

from __future__ import annotations


class FoldloomError(Exception):
    """Base class of all foldloom exceptions."""


class SettingsError(FoldloomError):
    """A settings file is unreadable or invalid.

    Args:
        path: Path of the settings file.
        key: Dotted key of the invalid field, or an empty string if the whole file is invalid.
        reason: Why the field or the file is invalid.
    """

    def __init__(self, path: str, key: str, reason: str) -> None:
        where = f"{path}: {key}" if key else path
        super().__init__(f"{where}: {reason}")
        self.key = key
        self.reason = reason


class PeerUnreachableError(FoldloomError):
    """A peer did not reply within the timeout, or can't be reached."""


class ConnectFailedError(OSError, FoldloomError):
    """A connection could not be opened; ``errno`` tells why."""


class MalformedResponseError(FoldloomError):
    """An HTTP response was not valid, or incomplete."""


class DataLossError(FoldloomError):
    """The data folder is empty or corrupted, so this controller must not vote."""


class NotLeaderError(FoldloomError):
    """This controller is not the leader.

    Args:
        leader: The leader's box name, or an empty string if unknown.
    """

    def __init__(self, leader: str = "") -> None:
        super().__init__(f"not the leader (leader: {leader or 'unknown'})")
        self.leader = leader


class CommandError(FoldloomError):
    """A command of the command-line tool failed.

    Args:
        message: A single line for stderr.
        exit_code: Exit code of the process.
    """

    def __init__(self, message: str, exit_code: int = 1) -> None:
        super().__init__(message)
        self.exit_code = exit_code
