# SPDX-License-Identifier: MIT
"""Messages between coordinators and lease managers.

Owns the numbers of these messages, which are never used again. Relies on the codec of
:mod:`foldloom.peers.messages`.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from foldloom.peers.messages import register


class SlotRequest(NamedTuple):
    """A coordinator wants ``tasks`` slots.

    Args:
        request_id: The coordinator's number for it; sent again it counts once.
        shard: The shard whose slots are wanted.
        service: Whose endpoints may serve.
        customer: On whose account.
        tasks: How many tasks wait.
        left_ms: How long until the job's deadline.
        job_tasks: How many tasks the whole job has.
    """

    request_id: int
    shard: str
    service: str
    customer: str
    tasks: int
    left_ms: int
    job_tasks: int


class SlotGrant(NamedTuple):
    """A lease manager hands out one slot.

    Args:
        request_id: The request that it serves.
        endpoint: The endpoint's name.
        lease_id: Unique among all leases ever made.
        ttl_ms: How long the lease lasts if it is not renewed.
    """

    request_id: int
    endpoint: str
    lease_id: int
    ttl_ms: int


class SlotRefusal(NamedTuple):
    """A lease manager gives up on a request; what it granted before stands."""

    request_id: int
    reason: str
    retry_after_ms: int


class SlotCancel(NamedTuple):
    """A coordinator needs no more slots for a request."""

    request_id: int


class SlotUse(IntEnum):
    """What came of a slot."""

    DONE = 0
    NOT_RUN = 1
    FAILED = 2
    UNUSED = 3


class SlotReturn(NamedTuple):
    """A coordinator gives a slot back.

    Args:
        lease_id: The lease.
        endpoint: The endpoint's name.
        service: The service whose task ran.
        service_ms: How long the task took at the endpoint.
        use: What came of it.
    """

    lease_id: int
    endpoint: str
    service: str
    service_ms: float
    use: SlotUse


class HeldSlot(NamedTuple):
    """A lease that a coordinator holds."""

    lease_id: int
    endpoint: str
    service: str
    customer: str
    age_ms: int


class SlotHold(NamedTuple):
    """A coordinator renews its leases; a new lease manager learns of them by it."""

    leases: list[HeldSlot]


for _kind, _type in enumerate(
    (SlotRequest, SlotGrant, SlotRefusal, SlotCancel, SlotReturn, SlotHold), start=60
):
    register(_kind, _type)
