# SPDX-License-Identifier: MIT
"""Placement of queued runs on endpoints, and selection of runs to steal from other zones.

Groups are served by :mod:`foldloom.seed_discovery.scheduling.ranking`. Each run is placed on the
best endpoint with free capacity, by isolation, rack locality, speed and tightest fit.
"""

from __future__ import annotations

import itertools
from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from foldloom.seed_discovery.jobs.spec import Demand, Placement, TaskId
from foldloom.seed_discovery.scheduling.crashes import NO_ISOLATIONS, Isolation
from foldloom.seed_discovery.scheduling.endpoints import ZoneEndpoint
from foldloom.seed_discovery.scheduling.groups import RunGroup
from foldloom.seed_discovery.scheduling.ranking import Rank, Tier, rank, speed_min
from foldloom.seed_discovery.scheduling.remote_groups import (
    RESERVATION_TTL_MS,
    GroupId,
    RemoteGroup,
    RemoteGroups,
    group_of,
)
from foldloom.seed_discovery.scheduling.run_queue import RunQueue
from foldloom.seed_discovery.scheduling.runs import Run
from foldloom.seed_discovery.scheduling.speeds import EndpointSpeeds

_reservation_numbers = itertools.count(1)

NO_BOUND_ENDPOINTS: Mapping[TaskId, str] = MappingProxyType({})
"""No task is bound to an endpoint."""


class PlacedRun(NamedTuple):
    """A run and the endpoint it is placed on."""

    run: Run
    endpoint: str


class Reservation(NamedTuple):
    """Capacity reserved on an endpoint, identified by a number."""

    endpoint: str
    number: int


class StealRequest(NamedTuple):
    """A request to steal runs from a group of another zone, one for each reservation."""

    zone: str
    group: GroupId
    reservations: list[Reservation]


class PlacementRound(NamedTuple):
    """The decisions of one placement round."""

    placed: list[PlacedRun]
    steal_requests: list[StealRequest]


class _Requirements(NamedTuple):
    """Requirements of a run on its endpoint; runs with equal requirements are interchangeable.

    ``speed_min`` is the minimum speed for the job to stay in its tier; ``endpoint`` is the only one
    allowed if the task is bound.
    """

    service: str
    demand: Demand
    placement: Placement
    speed_min: float = 0.0
    isolation: Isolation = Isolation.NONE
    endpoint: str | None = None


class _PlacementContext(NamedTuple):
    """Inputs that are the same for all runs of a round.

    Args:
        endpoints: Endpoints eligible for placement.
        speeds: Relative speeds of the endpoints.
        isolations: Isolation of tasks whose endpoints have crashed.
        bound_endpoints: The only endpoint of each bound task.
    """

    endpoints: list[ZoneEndpoint]
    speeds: EndpointSpeeds
    isolations: Mapping[TaskId, Isolation]
    bound_endpoints: Mapping[TaskId, str]

    def isolation_on(self, candidate: ZoneEndpoint) -> Isolation:
        """Return the strictest isolation among the tasks on an endpoint."""
        if not self.isolations:
            return Isolation.NONE
        levels = [self.isolations.get(task, Isolation.NONE) for task in candidate.resources.tasks]
        return max(levels, default=Isolation.NONE)


class _QueuedGroup(NamedTuple):
    """A group in serving order; the zone's own groups come first at equal rank."""

    rank: Rank
    is_remote: bool
    position: int


def place(
    run_queue: RunQueue,
    remote: RemoteGroups,
    candidates: Mapping[str, ZoneEndpoint],
    speeds: EndpointSpeeds,
    now_ms: float,
    isolations: Mapping[TaskId, Isolation] = NO_ISOLATIONS,
    bound_endpoints: Mapping[TaskId, str] = NO_BOUND_ENDPOINTS,
) -> PlacementRound:
    """Place queued runs, allocate their capacity and remove them from the queue."""
    result = PlacementRound([], [])
    eligible_endpoints = [
        candidate for candidate in candidates.values() if candidate.is_eligible(now_ms)
    ]
    if not eligible_endpoints:
        return result
    context = _PlacementContext(eligible_endpoints, speeds, isolations, bound_endpoints)
    own_groups, remote_groups = run_queue.groups, remote.stealable(now_ms)
    queued_groups = [
        _QueuedGroup(rank(group, now_ms), False, index) for index, group in enumerate(own_groups)
    ]
    queued_groups += [
        _QueuedGroup(group.rank, True, index) for index, group in enumerate(remote_groups)
    ]
    exhausted: set[_Requirements] = set()
    for _, is_remote, position in sorted(queued_groups):
        if is_remote:
            _reserve_for_group(
                remote_groups[position], context, exhausted, now_ms, result.steal_requests
            )
        else:
            _place_group(own_groups[position], run_queue, context, exhausted, now_ms, result.placed)
    return result


def _place_group(
    group: RunGroup,
    run_queue: RunQueue,
    context: _PlacementContext,
    exhausted: set[_Requirements],
    now_ms: float,
    placed: list[PlacedRun],
) -> None:
    spec = group.spec
    requirements = _Requirements(
        spec.service, spec.demand, spec.placement, speed_min(group, now_ms)
    )
    if requirements in exhausted:
        return
    for run in list(group.queued.values()):
        isolation = context.isolations.get(run.task, Isolation.NONE)
        endpoint = context.bound_endpoints.get(run.task)
        own_requirements = requirements._replace(isolation=isolation, endpoint=endpoint)
        if endpoint is not None:
            # A slow endpoint is better than none.
            own_requirements = own_requirements._replace(speed_min=0.0)
        chosen = choose_endpoint(own_requirements, group_of(run.task), context)
        if chosen is None and (isolation is Isolation.REQUIRED or endpoint is not None):
            # Other runs of the step may be less restricted.
            continue
        if chosen is None:
            if not spec.placement.per_endpoint_max:
                exhausted.add(requirements)
            return
        chosen.resources.allocate(run.task, spec.demand)
        run_queue.remove(run.task)
        placed.append(PlacedRun(run, chosen.record.endpoint))


def _reserve_for_group(
    group: RemoteGroup,
    context: _PlacementContext,
    exhausted: set[_Requirements],
    now_ms: float,
    steal_requests: list[StealRequest],
) -> None:
    summary = group.summary
    requirements = _Requirements(
        summary.service, summary.demand, summary.placement, summary.speed_min
    )
    # The number of the step's tasks per endpoint is known only in the zone that has all of them.
    if (
        requirements in exhausted
        or summary.tier == Tier.UNATTAINABLE
        or summary.placement.per_endpoint_max
    ):
        return
    reservations: list[Reservation] = []
    while group.remaining > 0:
        chosen = choose_endpoint(requirements, summary.group, context)
        if chosen is None:
            exhausted.add(requirements)
            break
        number = next(_reservation_numbers)
        chosen.resources.reserve(number, summary.demand, now_ms + RESERVATION_TTL_MS)
        reservations.append(Reservation(chosen.record.endpoint, number))
        group.remaining -= 1
    if reservations:
        steal_requests.append(StealRequest(group.zone, summary.group, reservations))


def choose_endpoint(
    requirements: _Requirements, group: GroupId, context: _PlacementContext
) -> ZoneEndpoint | None:
    """Return the best endpoint with free capacity, if any.

    An isolated task prefers an idle endpoint; others prefer one without isolated tasks.
    """
    eligible = [
        candidate
        for candidate in context.endpoints
        if _is_eligible(requirements, group, candidate, context)
    ]
    if not eligible:
        return None
    return max(eligible, key=lambda candidate: _score(requirements, candidate, context))


def _is_eligible(
    requirements: _Requirements, group: GroupId, candidate: ZoneEndpoint, context: _PlacementContext
) -> bool:
    record, speeds = candidate.record, context.speeds
    if requirements.endpoint is not None and record.endpoint != requirements.endpoint:
        return False
    if requirements.isolation is Isolation.REQUIRED and not candidate.is_idle:
        return False
    if context.isolation_on(candidate) is Isolation.REQUIRED:
        return False
    if record.service != requirements.service or not candidate.has_capacity_for(
        requirements.demand
    ):
        return False
    if speeds.speed_of(record.endpoint) < requirements.speed_min:
        return False
    placement = requirements.placement
    if placement.label and placement.label not in record.labels:
        return False
    if not placement.per_endpoint_max:
        return True
    return (
        candidate.resources.allocated_count(group.job_id, group.step) < placement.per_endpoint_max
    )


def _score(
    requirements: _Requirements, candidate: ZoneEndpoint, context: _PlacementContext
) -> tuple[bool, bool, float, int, str]:
    needs_isolation = requirements.isolation is not Isolation.NONE
    meets_isolation = candidate.is_idle if needs_isolation else not context.isolation_on(candidate)
    rack = requirements.placement.rack
    is_rack_local = not rack or rack in candidate.record.labels
    cpu_left_milli = candidate.resources.free.cpu_milli - requirements.demand.cpu_milli
    endpoint = candidate.record.endpoint
    speed = round(context.speeds.speed_of(endpoint), 1)
    return (meets_isolation, is_rack_local, speed, -cpu_left_milli, endpoint)
