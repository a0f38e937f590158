# SPDX-License-Identifier: MIT
"""What a job needs of slots: ask for them, hold them, give them back.

Owns nothing: the types, and the calls that both sources have. :mod:`.leased_slots` asks lease
managers; :mod:`.direct_slots` picks an endpoint at once by a baseline policy, without any lease.
"""

from __future__ import annotations

import asyncio
from typing import Any, NamedTuple, Protocol

from foldloom.static_peers.placement.messages import SlotUse

# Milliseconds after which a job should ask again when no endpoint may serve it, or no grant has
# come: a request is numbered, so a copy of it counts once.
RESEND_INTERVAL_MS = 3_000


class Slot(NamedTuple):
    """A slot that this box may use now.

    Args:
        lease_id: The lease; 0 for a direct pick.
        endpoint: The endpoint's name.
        service: The service it was asked for.
        customer: On whose account.
        granted_ms: Own monotonic clock at its arrival.
        expires_ms: After this no task may start on it.
    """

    lease_id: int
    endpoint: str
    service: str
    customer: str
    granted_ms: float
    expires_ms: float


class SlotWaiter:
    """A job that waits for slots; slots and a refusal come out of ``arrivals``.

    The job may put events of its own there, so as to wait at one place only.

    Args:
        request_id: This box's number for it.
        service: Whose endpoints may serve.
        customer: On whose account.
        deadline_ms: The job's deadline on the own monotonic clock.
        job_tasks: How many tasks the whole job has.
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
    """What a job needs of either source."""

    def open_waiter(
        self, service: str, customer: str, deadline_ms: float, job_tasks: int
    ) -> SlotWaiter:
        """Begin to wait for slots; nothing is asked yet."""

    def request(self, waiter: SlotWaiter, count: int) -> None:
        """Ask for *count* more slots."""

    def close(self, waiter: SlotWaiter) -> None:
        """Wait no more: what still arrives goes back unused."""

    def give_back(self, slot: Slot, service_ms: float, use: SlotUse) -> None:
        """Return a slot with the outcome of its task."""
