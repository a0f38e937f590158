# SPDX-License-Identifier: MIT
"""Admission control of slot requests: immediate refusal with a retry-after."""

from __future__ import annotations

from typing import NamedTuple

from foldloom.settings import LimitSettings
from foldloom.static_peers.placement.messages import SlotRefusal, SlotRequest

# Upper bound of the retry-after, in milliseconds.
RETRY_MAX_MS = 10_000
# Lower bound of the retry-after, in milliseconds.
_RETRY_MIN_MS = 50
# Share of the remaining time that the expected wait and run time may use; the margin covers
# variation around the means.
_ADMIT_SHARE = 0.8
# Run time assumed for a task, in mean service times.
_EXPECTED_RUN_MEANS = 2.0


class AdmissionLoad(NamedTuple):
    """Load of a shard at the arrival of a request.

    Args:
        queued: Queued tasks.
        queued_of_customer: Queued tasks of the requesting customer.
        free_slots: Slots without a lease.
        rate: Tasks of the service that the shard can complete per millisecond.
        share: The customer's share of the quotas of the recently active customers.
        grant_rate: Slots per millisecond recently granted to the customer.
        mean_ms: Mean service time of the service.
    """

    queued: int
    queued_of_customer: int
    free_slots: int
    rate: float
    share: float
    grant_rate: float
    mean_ms: float


def check_admission(
    request: SlotRequest, load: AdmissionLoad, limits: LimitSettings
) -> SlotRefusal | None:
    """Return a refusal if *request* exceeds a queue limit or can't be served by its deadline."""
    is_full = (
        load.queued + request.tasks > limits.queued_tasks_max
        or load.queued_of_customer + request.tasks > limits.queued_tasks_per_customer_max
    )
    wait_ms = expected_wait_ms(request.tasks, load)
    excess_ms = wait_ms + _EXPECTED_RUN_MEANS * load.mean_ms - request.left_ms * _ADMIT_SHARE
    if not is_full and (excess_ms <= 0 or wait_ms <= 0):
        return None
    retry_after_ms = int(min(RETRY_MAX_MS, max(_RETRY_MIN_MS, excess_ms)))
    return SlotRefusal(request.request_id, "queue-full" if is_full else "too-late", retry_after_ms)


def expected_wait_ms(tasks: int, load: AdmissionLoad) -> float:
    """Return the expected wait of the last of *tasks*.

    The service rate of a customer is its share of the shard's rate, or its measured grant rate if
    that is higher because other customers use less than their share.
    """
    if load.rate <= 0.0:
        return float(RETRY_MAX_MS)
    if load.queued + tasks <= load.free_slots:
        return 0.0
    granted_per_ms = min(load.rate, load.grant_rate)
    return (load.queued_of_customer + tasks) / max(load.rate * load.share, granted_per_ms)
