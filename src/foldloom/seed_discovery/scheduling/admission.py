# SPDX-License-Identifier: MIT
"""Admission decisions: expected queueing time, load shedding and retry delays.

Stateless. :mod:`foldloom.seed_discovery.owners.admission` collects the inputs.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

from foldloom.seed_discovery.endpoints.records import EndpointRecord, EndpointState
from foldloom.seed_discovery.jobs.spec import Demand
from foldloom.seed_discovery.scheduling.endpoint_capacity import fits
from foldloom.seed_discovery.scheduling.groups import RunGroup
from foldloom.seed_discovery.scheduling.ranking import Rank, rank
from foldloom.seed_discovery.scheduling.remote_groups import RemoteGroup

# Share of total CPU that placements can fill; the rest is lost to fragmentation. Two tasks of 6.8
# cores fill 13.6 of 16 cores, three fill 20.4 of 24.
_USABLE_CPU_SHARE = 0.85
# Expected wait over actual wait: below 1 since more urgent work that arrives later runs first.
_EXPECTED_TO_ACTUAL_WAIT = 0.5
# Bounds of the retry delay of rejected jobs.
_RETRY_MIN_MS = 100
_RETRY_MAX_MS = 2_000
# Retry delay of jobs whose tasks exceed the present capacity of every endpoint.
UNPLACEABLE_RETRY_MS = _RETRY_MAX_MS


class AvailableCapacity(NamedTuple):
    """CPU capacity available to a group, in thousandths of a core.

    Args:
        total_milli: Capacity of all eligible endpoints, including zones that runs can be moved to.
        free_milli: The unallocated part of it.
        overdue_milli: Capacity of this zone's endpoints with an overdue report that have not missed
            a poll; they become eligible again with their next report.
    """

    total_milli: int
    free_milli: int
    overdue_milli: int = 0


def expected_wait_ms(
    group: RunGroup,
    groups_up_to: Callable[[Rank], Iterable[RunGroup]],
    remote_groups: Iterable[RemoteGroup],
    available: AvailableCapacity,
    now_ms: float,
) -> float:
    """Return the expected queueing time of the last task of *group*.

    Args:
        group: The group.
        groups_up_to: Returns the zone's queued groups with a rank or a lower one.
        remote_groups: The groups offered by other zones.
        available: The capacity for them.
        now_ms: Own monotonic clock.
    """
    demanded_milli = len(group.queued) * group.spec.demand.cpu_milli
    if demanded_milli <= available.free_milli:
        return 0.0
    if not available.total_milli and available.overdue_milli:
        # All endpoints are overdue at once, most likely because this owner was delayed. Waiting for
        # their next report costs less than a rejection.
        return 0.0
    usable_cores = available.total_milli / 1_000 * _USABLE_CPU_SHARE
    if not usable_cores:
        return float(_RETRY_MAX_MS)
    group_rank = rank(group, now_ms)
    ahead_cpu_ms: float = sum(
        other.summary.cpu_ms for other in remote_groups if other.rank < group_rank
    )
    for other in groups_up_to(group_rank):
        if ahead_cpu_ms > _RETRY_MAX_MS * usable_cores:
            break
        ahead_cpu_ms += other.queued_cpu_ms
    return ahead_cpu_ms / usable_cores


def misses_objective(group: RunGroup, wait_ms: float, now_ms: float) -> bool:
    """Return whether *group* would start too late to meet its objective after *wait_ms*.

    The wait is scaled up, since expected waits are underestimates.
    """
    return (
        wait_ms > 0
        and now_ms + wait_ms / _EXPECTED_TO_ACTUAL_WAIT > group.on_time_start_deadline_ms()
    )


def is_unplaceable(
    service: str, demand: Demand, label: str, endpoints: Iterable[EndpointRecord]
) -> bool:
    """Return whether no ready endpoint of a service could run such a task even when idle.

    False while no ready endpoint of the service is known. Endpoints can be resized at run time, so
    the result may change.
    """
    ready_endpoints = [
        endpoint
        for endpoint in endpoints
        if endpoint.service == service and endpoint.state is EndpointState.READY
    ]
    return bool(ready_endpoints) and not any(
        fits(demand, endpoint.capacity) and (not label or label in endpoint.labels)
        for endpoint in ready_endpoints
    )


def retry_after_ms(wait_ms: float) -> int:
    """Return the retry delay of a rejected job."""
    return int(min(_RETRY_MAX_MS, max(_RETRY_MIN_MS, wait_ms)))
