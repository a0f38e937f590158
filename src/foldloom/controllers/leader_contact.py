# SPDX-License-Identifier: MIT
"""The leader that a controller follows, and the time since its last message.

Elections and readmission requests depend on that time.
"""

from __future__ import annotations

from foldloom.clock import monotonic_ms


class LeaderContact:
    """Tracks the leader and runs the election timer of one controller."""

    def __init__(self) -> None:
        self._leader = ""
        self._timer_started_ms = monotonic_ms()

    @property
    def leader(self) -> str:
        """The leader that was last in contact, or an empty string."""
        return self._leader

    @property
    def silent_ms(self) -> float:
        """Milliseconds since the election timer was last restarted."""
        return monotonic_ms() - self._timer_started_ms

    def follow(self, leader: str) -> None:
        """Set the leader of the current term and restart the election timer."""
        self._leader = leader
        self.restart_election_timer()

    def restart_election_timer(self) -> None:
        """Restart the election timer."""
        self._timer_started_ms = monotonic_ms()

    def clear_leader(self) -> None:
        """Clear the leader, at a new term or after stepping down."""
        self._leader = ""
