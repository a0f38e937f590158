# SPDX-License-Identifier: MIT
"""Which leader a controller follows, and for how long it has been silent.

Owns both. Relies on the box's clock. Elections and requests to be counted go by the silence.
"""

from __future__ import annotations

from foldloom.clock import monotonic_ms


class LeaderContact:
    """One controller's contact with the leader."""

    def __init__(self) -> None:
        self._leader = ""
        self._timer_started_ms = monotonic_ms()

    @property
    def leader(self) -> str:
        """The leader that was last in contact, or an empty string."""
        return self._leader

    @property
    def silent_ms(self) -> float:
        """Milliseconds since a leader was last in contact, or a wait for one began."""
        return monotonic_ms() - self._timer_started_ms

    def follow(self, leader: str) -> None:
        """Note that *leader* leads in the present term, and is in contact."""
        self._leader = leader
        self.restart_election_timer()

    def restart_election_timer(self) -> None:
        """Begin a new wait before an election."""
        self._timer_started_ms = monotonic_ms()

    def clear_leader(self) -> None:
        """Know of no leader, as a new term began or this controller stopped leading."""
        self._leader = ""
