# SPDX-License-Identifier: MIT
"""Whose turn it is: deficit round robin between customers, and what each has got lately.

Owns the deficits and the rates of one shard. The first is deficit round robin (Shreedhar and
Varghese, 1996).
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Callable

# Slots that a turn gives to a customer of quota 1 (deficit round robin, Shreedhar and Varghese,
# 1996).
_QUANTUM = 1.0
# Weight of a new interval in a customer's rate of grants.
_RATE_ALPHA = 0.2
# Grants a millisecond below which a customer counts as idle: one in 10 s.
_RATE_MIN_PER_MS = 1e-4


class RoundRobin:
    """Deficit round robin over customers that have something queued.

    Args:
        quota_of: Returns a customer's weight.
    """

    def __init__(self, quota_of: Callable[[str], int]) -> None:
        self._quota_of = quota_of
        self._deficits: OrderedDict[str, float] = OrderedDict()

    def add(self, customer: str) -> None:
        """Let *customer* take part from now on."""
        if customer not in self._deficits:
            self._deficits[customer] = _QUANTUM * self._quota_of(customer)

    def remove(self, customer: str) -> None:
        """Let *customer* take part no more: it has nothing queued."""
        self._deficits.pop(customer, None)

    def order(self) -> list[str]:
        """Return the customers, the one whose turn it is first."""
        return list(self._deficits)

    def charge(self, customer: str) -> None:
        """Count one task against *customer*; when its turn is used up the next one's begins."""
        deficit = self._deficits.get(customer)
        if deficit is None:
            return
        remaining = deficit - _QUANTUM
        if remaining >= _QUANTUM:
            self._deficits[customer] = remaining
            return
        self._deficits[customer] = remaining + _QUANTUM * self._quota_of(customer)
        self._deficits.move_to_end(customer)


class GrantRates:
    """Moving averages of the slots that each customer was granted a millisecond."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._rates: dict[str, float] = {}
        self._refreshed_ms = 0.0

    @property
    def customers(self) -> set[str]:
        """The customers that were granted slots lately."""
        return set(self._rates)

    def rate_of(self, customer: str) -> float:
        """Return the customer's grants a millisecond, lately."""
        return self._rates.get(customer, 0.0)

    def note(self, customer: str) -> None:
        """Count one grant."""
        self._counts[customer] += 1

    def refresh(self, now_ms: float) -> None:
        """Take the grants since the last call into the averages."""
        elapsed_ms = now_ms - self._refreshed_ms
        if elapsed_ms <= 0:
            return
        self._refreshed_ms = now_ms
        for customer in {*self._counts, *self._rates}:
            fresh = self._counts.pop(customer, 0) / elapsed_ms
            average = self._rates.get(customer, fresh)
            self._rates[customer] = average + _RATE_ALPHA * (fresh - average)
            if self._rates[customer] < _RATE_MIN_PER_MS:
                del self._rates[customer]
