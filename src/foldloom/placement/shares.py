# SPDX-License-Identifier: MIT
"""Whose turn it is: deficit round robin between members, and what each has got lately."""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Callable

_QUANTUM = 1.0
_RATE_ALPHA = 0.2
_RATE_MIN_PER_MS = 1e-4


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


class GrantRates:
    """Moving averages of the slots that each member was granted a millisecond."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._rates: dict[str, float] = {}
        self._refreshed_ms = 0.0

    @property
    def members(self) -> set[str]:
        """The members that were granted slots lately."""
        return set(self._rates)

    def rate_of(self, member: str) -> float:
        """Return the member's grants a millisecond, lately."""
        return self._rates.get(member, 0.0)

    def note(self, member: str) -> None:
        """Count one grant."""
        self._counts[member] += 1

    def refresh(self, now_ms: float) -> None:
        """Take the grants since the last call into the averages."""
        elapsed_ms = now_ms - self._refreshed_ms
        if elapsed_ms <= 0:
            return
        self._refreshed_ms = now_ms
        for member in {*self._counts, *self._rates}:
            fresh = self._counts.pop(member, 0) / elapsed_ms
            known = self._rates.get(member, fresh)
            self._rates[member] = known + _RATE_ALPHA * (fresh - known)
            if self._rates[member] < _RATE_MIN_PER_MS:
                del self._rates[member]
