# SPDX-License-Identifier: MIT
"""How long a job is expected to wait, whether that is too long, and when to come back.

Owns nothing; decisions only, taken when a job comes.
:mod:`foldloom.seed_discovery.owners.admission` gathers the inputs.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from foldloom.seed_discovery.endpoints.records import EndpointRecord, EndpointState
from foldloom.seed_discovery.jobs.spec import Demand
from foldloom.seed_discovery.scheduling.groups import RunGroup
from foldloom.seed_discovery.scheduling.ranking import rank
from foldloom.seed_discovery.scheduling.rooms import fits
from foldloom.seed_discovery.scheduling.sharing import RemoteGroup

# Share of all cores that work can use at a time: from the users' sizes, where two tasks of 6.8
# cores fill 13.6 of 16 cores and three 20.4 of 24 (both 0.85).
_USABLE_CPU_SHARE = 0.85
# Share of the time a job really waits that the expected wait is: below 1 because urgent work that
# comes later goes first.
_EXPECTED_TO_ACTUAL_WAIT = 0.5
# Milliseconds, bounds of when a refused caller should come back, so that a caller does not come
# back at once, and not later than the longest deadlines allow.
_RETRY_MIN_MS = 100
# The upper of the two.
_RETRY_MAX_MS = 2_000
# Milliseconds after which a caller should come back whose tasks fit no endpoint as it is now.
UNPLACEABLE_RETRY_MS = _RETRY_MAX_MS


class AvailableCapacity(NamedTuple):
    """What could run a group, in thousandths of cores.

    Args:
        total_milli: All endpoints in use, here and where runs could be moved to.
        free_milli: What nothing takes of it.
        overdue_milli: Endpoints whose answer is overdue and that are not known to be silent: they
            are in use again with their next answer.
    """

    total_milli: int
    free_milli: int
    overdue_milli: int = 0


def expected_wait_ms(
    group: RunGroup,
    own_groups: Iterable[RunGroup],
    remote_groups: Iterable[RemoteGroup],
    room: AvailableCapacity,
    now_ms: float,
) -> float:
    """Return how long the last task of *group* is expected to wait for room."""
    demanded_milli = len(group.waiting) * group.spec.demand.cpu_milli
    if demanded_milli <= room.free_milli:
        return 0.0
    if not room.total_milli and room.overdue_milli:
        # Every endpoint is overdue at once: most likely the owner itself was late to look. A caller
        # that is sent away for that loses more than one that waits for the next answer.
        return 0.0
    group_rank = rank(group, now_ms)
    ahead_cpu_ms = sum(one.waiting_cpu_ms for one in own_groups if rank(one, now_ms) <= group_rank)
    ahead_cpu_ms += sum(one.summary.cpu_ms for one in remote_groups if one.rank < group_rank)
    usable_cores = room.total_milli / 1_000 * _USABLE_CPU_SHARE
    return ahead_cpu_ms / usable_cores if usable_cores else float(_RETRY_MAX_MS)


def misses_objective(group: RunGroup, wait_ms: float, now_ms: float) -> bool:
    """Return whether a group that must wait so long should be refused.

    Expectations err on the low side, since urgent work that comes later goes first.
    """
    return (
        wait_ms > 0
        and now_ms + wait_ms / _EXPECTED_TO_ACTUAL_WAIT > group.on_time_start_deadline_ms()
    )


def is_unplaceable(
    service: str, demand: Demand, label: str, endpoints: Iterable[EndpointRecord]
) -> bool:
    """Return whether no endpoint of a service could run such a task, however idle it were.

    Endpoints may shrink and grow again while they run, so the caller may come back. Where no
    endpoint of the service is known, nothing is known of what would fit.
    """
    ready_endpoints = [
        one for one in endpoints if one.service == service and one.state is EndpointState.READY
    ]
    return bool(ready_endpoints) and not any(
        fits(demand, one.capacity) and (not label or label in one.labels) for one in ready_endpoints
    )


def retry_after_ms(wait_ms: float) -> int:
    """Return when a caller that is refused should come back."""
    return int(min(_RETRY_MAX_MS, max(_RETRY_MIN_MS, wait_ms)))
