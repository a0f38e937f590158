# SPDX-License-Identifier: MIT
"""Slots without leases: endpoints picked at once by a baseline policy, for comparisons.

Counts this box's running tasks per endpoint; the endpoints' reports lag behind.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable

from foldloom.clock import monotonic_ms
from foldloom.static_peers.placement.messages import SlotOutcome, SlotRefusal
from foldloom.static_peers.placement.policies import Policy, View, choose
from foldloom.static_peers.placement.slots import RETRANSMISSION_INTERVAL_MS, Slot, SlotWaiter


class DirectSlots:
    """Slot source that picks endpoints at once by a baseline policy.

    Args:
        policy: The placement policy.
        candidates: Returns the endpoints eligible for a service.
        reported: Returns the running tasks of each endpoint according to its last report.
    """

    def __init__(
        self,
        policy: Policy,
        candidates: Callable[[str], list[str]],
        reported: Callable[[], dict[str, int]],
    ) -> None:
        self._policy = policy
        self._candidates = candidates
        self._reported = reported
        self._local_counts: dict[str, int] = {}
        self._ids = itertools.count(1)

    def open_waiter(
        self, service: str, customer: str, deadline_ms: float, job_tasks: int
    ) -> SlotWaiter:
        """Open a waiter without requesting slots."""
        return SlotWaiter(next(self._ids), service, customer, deadline_ms, job_tasks)

    def request(self, waiter: SlotWaiter, count: int) -> None:
        """Pick *count* endpoints at once."""
        reported = self._reported()
        for _ in range(count):
            view = View(
                self._candidates(waiter.service),
                local_count=self._local_counts,
                reported_count=reported,
            )
            choice = choose(self._policy, view)
            if choice is None:
                waiter.arrivals.put_nowait(
                    SlotRefusal(waiter.request_id, "no-worker", RETRANSMISSION_INTERVAL_MS)
                )
                return
            endpoint = choice.endpoint
            self._local_counts[endpoint] = self._local_counts.get(endpoint, 0) + 1
            now_ms = monotonic_ms()
            slot = Slot(0, endpoint, waiter.service, waiter.customer, now_ms, waiter.deadline_ms)
            waiter.arrivals.put_nowait(slot)

    def close(self, waiter: SlotWaiter) -> None:
        """Close the waiter and return the picked slots that were not used."""
        while not waiter.arrivals.empty():
            arrival = waiter.arrivals.get_nowait()
            if isinstance(arrival, Slot):
                self.release(arrival, 0.0, SlotOutcome.UNUSED)

    def release(self, slot: Slot, service_ms: float, use: SlotOutcome) -> None:
        """Return a slot."""
        self._local_counts[slot.endpoint] = self._local_counts.get(slot.endpoint, 1) - 1
