# SPDX-License-Identifier: MIT
"""Messages between coordinators and lease managers.

Message numbers are never reused. The codec is :mod:`foldloom.peers.messages`.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from foldloom.peers.messages import register


class SlotRequest(NamedTuple):
    """A coordinator requests ``tasks`` slots.

    Args:
        request_id: Request id of the coordinator; a retransmission counts once.
        shard: The shard that the slots belong to.
        service: The service that the endpoints must provide.
        customer: The customer whose quota is charged.
        tasks: Number of waiting tasks.
        left_ms: Time left until the job's deadline.
        job_tasks: Number of tasks in the whole job.
    """

    request_id: int
    shard: str
    service: str
    customer: str
    tasks: int
    left_ms: int
    job_tasks: int


class SlotGrant(NamedTuple):
    """A lease manager grants one slot.

    Args:
        request_id: The request that the grant serves.
        endpoint: The endpoint's name.
        lease_id: Unique among all leases.
        ttl_ms: Time-to-live of the lease without renewal.
    """

    request_id: int
    endpoint: str
    lease_id: int
    ttl_ms: int


class SlotRefusal(NamedTuple):
    """A lease manager refuses the rest of a request; earlier grants remain valid."""

    request_id: int
    reason: str
    retry_after_ms: int


class SlotCancel(NamedTuple):
    """A coordinator cancels a request."""

    request_id: int


class SlotOutcome(IntEnum):
    """Outcome of a slot's use."""

    DONE = 0
    NOT_RUN = 1
    FAILED = 2
    UNUSED = 3


class SlotReturn(NamedTuple):
    """A coordinator returns a slot.

    Args:
        lease_id: The lease.
        endpoint: The endpoint's name.
        service: The service of the task.
        service_ms: Service time of the task at the endpoint.
        use: Outcome of the slot's use.
    """

    lease_id: int
    endpoint: str
    service: str
    service_ms: float
    use: SlotOutcome


class HeldSlot(NamedTuple):
    """A lease in a renewal message, with its age."""

    lease_id: int
    endpoint: str
    service: str
    customer: str
    age_ms: int


class SlotHold(NamedTuple):
    """A coordinator renews its leases; a new lease manager rebuilds its table from them."""

    leases: list[HeldSlot]


for _kind, _type in enumerate(
    (SlotRequest, SlotGrant, SlotRefusal, SlotCancel, SlotReturn, SlotHold), start=60
):
    register(_kind, _type)
