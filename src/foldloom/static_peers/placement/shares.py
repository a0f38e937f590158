# SPDX-License-Identifier: MIT
"""Fair shares between customers: deficit round robin and moving averages of grant rates.

Deficit round robin follows Shreedhar and Varghese (1996).
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Callable

# Slots added per turn and unit of quota.
_QUANTUM = 1.0
# Weight of a new interval in a customer's grant rate.
_RATE_ALPHA = 0.2
# Grants per millisecond below which a customer counts as idle: one in 10 s.
_RATE_MIN_PER_MS = 1e-4


class RoundRobin:
    """Deficit round robin over the customers with queued requests.

    Args:
        quota_of: Returns a customer's weight.
    """

    def __init__(self, quota_of: Callable[[str], int]) -> None:
        self._quota_of = quota_of
        self._deficits: OrderedDict[str, float] = OrderedDict()

    def add(self, customer: str) -> None:
        """Add *customer* to the rotation."""
        if customer not in self._deficits:
            self._deficits[customer] = _QUANTUM * self._quota_of(customer)

    def remove(self, customer: str) -> None:
        """Remove *customer* from the rotation."""
        self._deficits.pop(customer, None)

    def order(self) -> list[str]:
        """Return the customers in the order of their turns."""
        return list(self._deficits)

    def charge(self, customer: str) -> None:
        """Charge one task to *customer*; a used-up deficit is refilled and ends the turn."""
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
    """Moving averages of each customer's granted slots per millisecond."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._rates: dict[str, float] = {}
        self._refreshed_ms = 0.0

    @property
    def customers(self) -> set[str]:
        """The customers with a grant rate above the idle threshold."""
        return set(self._rates)

    def rate_of(self, customer: str) -> float:
        """Return the customer's grants per millisecond."""
        return self._rates.get(customer, 0.0)

    def record(self, customer: str) -> None:
        """Count one grant."""
        self._counts[customer] += 1

    def refresh(self, now_ms: float) -> None:
        """Update the averages with the grants since the last call."""
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
