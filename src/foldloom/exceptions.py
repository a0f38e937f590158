# SPDX-License-Identifier: MIT
"""Every exception that foldloom raises to its own callers.

Owns nothing. Relies on no other module.
"""

from __future__ import annotations


class FoldloomError(Exception):
    """The base of all of foldloom's exceptions."""


class SettingsError(FoldloomError):
    """A settings file can't be used.

    Args:
        path: The file.
        key: The dotted key at fault, or an empty string for the whole file.
        reason: One sentence.
    """

    def __init__(self, path: str, key: str, reason: str) -> None:
        where = f"{path}: {key}" if key else path
        super().__init__(f"{where}: {reason}")
        self.key = key
        self.reason = reason


class PeerUnreachableError(FoldloomError):
    """A peer did not answer in time or can't be sent to now."""


class LostMemoryError(FoldloomError):
    """The data folder is emptied or damaged: this controller must not vote."""


class NotLeaderError(FoldloomError):
    """This controller is not the leader; it may know who is.

    Args:
        leader: The leader's box name, or an empty string.
    """

    def __init__(self, leader: str = "") -> None:
        super().__init__(f"not the leader (leader: {leader or 'unknown'})")
        self.leader = leader


class CommandError(FoldloomError):
    """A command-line call failed; the message is one clear line.

    Args:
        message: The line for stderr.
        exit_code: The documented exit code.
    """

    def __init__(self, message: str, exit_code: int = 1) -> None:
        super().__init__(message)
        self.exit_code = exit_code
