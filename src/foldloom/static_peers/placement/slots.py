# SPDX-License-Identifier: MIT
"""Slot types and the interface that both slot sources implement.

:mod:`.leased_slots` requests slots from lease managers; :mod:`.direct_slots` picks an endpoint
by a baseline policy, without leases.
"""

from __future__ import annotations

import asyncio
from typing import Any, NamedTuple, Protocol

from foldloom.static_peers.placement.messages import SlotOutcome

# Milliseconds until a job repeats a request that was not granted or had no eligible endpoint.
# Request ids make the retransmission idempotent.
RETRANSMISSION_INTERVAL_MS = 3_000


class Slot(NamedTuple):
    """A slot that this box may use.

    Args:
        lease_id: The lease; 0 for a direct pick.
        endpoint: The endpoint's name.
        service: The requested service.
        customer: The customer whose quota is charged.
        granted_ms: Time of arrival, on the local monotonic clock.
        expires_ms: No task may start on the slot after this time.
    """

    lease_id: int
    endpoint: str
    service: str
    customer: str
    granted_ms: float
    expires_ms: float


class SlotWaiter:
    """A job's open request; slots and refusals are delivered through ``arrivals``.

    The job may put its own events into the same queue, to wait on a single queue.

    Args:
        request_id: Request id, unique within this box.
        service: The requested service.
        customer: The customer whose quota is charged.
        deadline_ms: The job's deadline, on the local monotonic clock.
        job_tasks: Number of tasks in the whole job.
    """

    def __init__(
        self, request_id: int, service: str, customer: str, deadline_ms: float, job_tasks: int
    ) -> None:
        self.request_id = request_id
        self.service = service
        self.customer = customer
        self.deadline_ms = deadline_ms
        self.job_tasks = job_tasks
        self.outstanding = 0
        self.shard = ""
        self.sent_to = ""
        self.last_activity_ms = 0.0
        self.arrivals: asyncio.Queue[Any] = asyncio.Queue()


class SlotSource(Protocol):
    """Interface of a slot source, as used by jobs."""

    def open_waiter(
        self, service: str, customer: str, deadline_ms: float, job_tasks: int
    ) -> SlotWaiter:
        """Open a waiter without requesting slots."""

    def request(self, waiter: SlotWaiter, count: int) -> None:
        """Request *count* more slots."""

    def close(self, waiter: SlotWaiter) -> None:
        """Close the waiter; slots that arrive later are returned unused."""

    def release(self, slot: Slot, service_ms: float, use: SlotOutcome) -> None:
        """Return a slot with the outcome of its task."""
