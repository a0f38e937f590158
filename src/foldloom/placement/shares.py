# SPDX-License-Identifier: MIT
"""Whose turn it is: deficit round robin between members by quota."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

_QUANTUM = 1.0


class RoundRobin:
    """Deficit round robin over members that have something queued.

    Args:
        quota_of: Returns a member's weight.
    """

    def __init__(self, quota_of: Callable[[str], int]) -> None:
        self._quota_of = quota_of
        self._deficits: OrderedDict[str, float] = OrderedDict()

    def add(self, member: str) -> None:
        """Let *member* take part from now on."""
        if member not in self._deficits:
            self._deficits[member] = _QUANTUM * self._quota_of(member)

    def remove(self, member: str) -> None:
        """Let *member* take part no more: it has nothing queued."""
        self._deficits.pop(member, None)

    def order(self) -> list[str]:
        """Return the members, the one whose turn it is first."""
        return list(self._deficits)

    def charge(self, member: str) -> None:
        """Count one task against *member*; when its turn is used up the next one's begins."""
        deficit = self._deficits.get(member)
        if deficit is None:
            return
        left = deficit - _QUANTUM
        if left >= _QUANTUM:
            self._deficits[member] = left
            return
        self._deficits[member] = left + _QUANTUM * self._quota_of(member)
        self._deficits.move_to_end(member)
