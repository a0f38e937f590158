# SPDX-License-Identifier: MIT
"""Whether a request for slots is taken: at once, and with when to come back if not.

Owns nothing: decisions only. Relies on what the shard has counted.
"""

from __future__ import annotations

from typing import NamedTuple

from foldloom.settings import LimitSettings
from foldloom.static_peers.placement.messages import SlotRefusal, SlotRequest

# Milliseconds, bounds of when a refused caller should come back.
RETRY_MAX_MS = 10_000
# The lower of the two.
_RETRY_MIN_MS = 50
# Share of the time left that the expected wait and run may take: below 1 because expectations are
# means.
_ADMIT_SHARE = 0.8
# Mean service times that a task is expected to run, because tasks are as long as twice the mean (50
# to 500 ms).
_EXPECTED_RUN_MEANS = 2.0


class AdmissionLoad(NamedTuple):
    """What a lease manager knows when a request comes.

    Args:
        queued: Tasks that wait.
        queued_customer: Those of the request's customer.
        free_slots: Slots that no lease holds.
        rate: Tasks of the service that the shard can finish a millisecond.
        share: The customer's part of the quotas of the customers active lately.
        granted_rate: Slots a millisecond that the customer was granted lately.
        mean_ms: The service's mean service time.
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
    """Return a refusal if *request* overflows a queue or can't be served in time."""
    is_full = (
        load.queued + request.tasks > limits.queued_tasks_max
        or load.queued_of_customer + request.tasks > limits.queued_tasks_per_customer_max
    )
    wait_ms = expected_wait_ms(request.tasks, load)
    excess_ms = wait_ms + _EXPECTED_RUN_MEANS * load.mean_ms - request.left_ms * _ADMIT_SHARE
    if not is_full and (excess_ms <= 0 or wait_ms <= 0):
        return None
    retry_after = int(min(RETRY_MAX_MS, max(_RETRY_MIN_MS, excess_ms)))
    return SlotRefusal(request.request_id, "queue-full" if is_full else "too-late", retry_after)


def expected_wait_ms(tasks: int, load: AdmissionLoad) -> float:
    """Return how long the last of *tasks* is expected to wait.

    A customer gets its share of what is active, or more where others leave some: then its
    measured rate of grants tells how much.
    """
    if load.rate <= 0.0:
        return float(RETRY_MAX_MS)
    if load.queued + tasks <= load.free_slots:
        return 0.0
    granted_per_ms = min(load.rate, load.grant_rate)
    return (load.queued_of_customer + tasks) / max(load.rate * load.share, granted_per_ms)
