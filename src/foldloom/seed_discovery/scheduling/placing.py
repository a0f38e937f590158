# SPDX-License-Identifier: MIT
"""Placement of queued runs on endpoints, and selection of runs to steal from other zones.

Groups are served by :mod:`foldloom.seed_discovery.scheduling.ranking`. Each run is placed on the
best endpoint with free capacity, by isolation, rack locality, speed and tightest fit.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import NamedTuple

from foldloom.seed_discovery.jobs.spec import Demand, Placement, TaskId
from foldloom.seed_discovery.scheduling.crashes import NO_ISOLATIONS, Isolation
from foldloom.seed_discovery.scheduling.endpoints import ZoneEndpoint
from foldloom.seed_discovery.scheduling.groups import RunGroup
from foldloom.seed_discovery.scheduling.ranking import Rank, Tier, speed_min
from foldloom.seed_discovery.scheduling.remote_groups import (
    RESERVATION_TTL_MS,
    GroupId,
    RemoteGroup,
    RemoteGroups,
    group_of,
)
from foldloom.seed_discovery.scheduling.run_queue import RunQueue
from foldloom.seed_discovery.scheduling.runs import Run
from foldloom.seed_discovery.scheduling.serving_order import RankedGroup
from foldloom.seed_discovery.scheduling.speeds import EndpointSpeeds

# Combinations of requirements whose CPU demand is compared with the free capacity in one round,
# those with the best group first, and combinations for which endpoints are then looked up. Groups
# that may be held do not count, since they would keep those behind them from free endpoints.
_REQUIREMENTS_COMPARED_MAX = 64
_REQUIREMENTS_MAX = 10
# Groups of one combination of requirements that may stay queued in one round although an endpoint
# has capacity but is too slow for them.
_GROUPS_TRIED_MAX = 10

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

    @property
    def is_restricted(self) -> bool:
        """Whether other runs of the same group may be placed although this one can't be."""
        return self.isolation is Isolation.REQUIRED or self.endpoint is not None


class _PlacementContext(NamedTuple):
    """Inputs that are the same for all runs of a round.

    Args:
        speeds: Relative speeds of the endpoints.
        isolations: Isolation of tasks whose endpoints have crashed.
        bound_endpoints: The only endpoint of each bound task.
    """

    speeds: EndpointSpeeds
    isolations: Mapping[TaskId, Isolation]
    bound_endpoints: Mapping[TaskId, str]

    def may_be_held(self, group: RunGroup) -> bool:
        """Return whether *group* may stay queued although an endpoint has capacity for it.

        Its tasks may wait for one endpoint, for an idle one, or for the end of each other.
        """
        if group.spec.placement.per_endpoint_max:
            return True
        if not self.bound_endpoints and not self.isolations:
            return False
        return any(task in self.bound_endpoints or task in self.isolations for task in group.queued)

    def isolation_on(self, candidate: ZoneEndpoint) -> Isolation:
        """Return the strictest isolation among the tasks on an endpoint."""
        if not self.isolations:
            return Isolation.NONE
        levels = [self.isolations.get(task, Isolation.NONE) for task in candidate.resources.tasks]
        return max(levels, default=Isolation.NONE)


class _GroupsInOrder:
    """The zone's queued groups with equal requirements, from the next one in serving order.

    Args:
        ranked_groups: The groups in serving order; a group leaves the list with its last run.
        endpoints: Endpoints with capacity for one of their tasks.
    """

    def __init__(self, ranked_groups: list[RankedGroup], endpoints: list[ZoneEndpoint]) -> None:
        self._ranked_groups = ranked_groups
        self._index = 0
        self._tries_left = _GROUPS_TRIED_MAX
        self.endpoints = endpoints

    def speed_max(self, speeds: EndpointSpeeds) -> float:
        """Return the largest speed of its endpoints."""
        return max((speeds.speed_of(one.record.endpoint) for one in self.endpoints), default=0.0)

    @property
    def next(self) -> RankedGroup | None:
        """The next group to place, if any."""
        if not self.endpoints or not self._tries_left or self._index >= len(self._ranked_groups):
            return None
        return self._ranked_groups[self._index]

    def skip_rest(self, ranked: RankedGroup, may_be_held: bool) -> None:
        """Go on to the group after *ranked*, whose runs have been placed as far as possible."""
        if not ranked.group.queued:
            return
        self._index += 1
        if not may_be_held:
            self._tries_left -= 1

    def drop_full_endpoints(self) -> None:
        """Remove the endpoints without capacity for another task."""
        ranked = self.next
        if ranked is None:
            return
        demand = ranked.group.spec.demand
        self.endpoints = [one for one in self.endpoints if one.has_capacity_for(demand)]


class _Turn(NamedTuple):
    """A group to place next; the zone's own groups come first at equal rank.

    Args:
        rank: Its rank.
        is_remote: Whether it is queued in another zone.
        number: Order among the groups of equal rank; unique for equal *is_remote*.
        groups: The group's place among those with equal requirements, unless it is remote.
        remote_group: The group, if it is remote.
    """

    rank: Rank
    is_remote: bool
    number: int
    groups: _GroupsInOrder | None = None
    remote_group: RemoteGroup | None = None


def place(
    run_queue: RunQueue,
    remote: RemoteGroups,
    candidates: Mapping[str, ZoneEndpoint],
    speeds: EndpointSpeeds,
    now_ms: float,
    isolations: Mapping[TaskId, Isolation] = NO_ISOLATIONS,
    bound_endpoints: Mapping[TaskId, str] = NO_BOUND_ENDPOINTS,
) -> PlacementRound:
    """Place queued runs, allocate their capacity and remove them from the queue.

    Only groups for which an endpoint has capacity are considered, and a limited number of those
    that no endpoint suits all the same: the work depends on the runs placed and on the groups that
    may be held, not on all groups.
    """
    result = PlacementRound([], [])
    remote_groups = remote.stealable(now_ms)
    if not len(run_queue) and not remote_groups:
        return result
    endpoints = [candidate for candidate in candidates.values() if candidate.is_eligible(now_ms)]
    free_cpu_milli = _largest_free_cpu(endpoints)
    context = _PlacementContext(speeds, isolations, bound_endpoints)
    turns = _own_turns(run_queue, endpoints, free_cpu_milli, context, now_ms)
    turns += [
        _Turn(group.rank, True, number, remote_group=group)
        for number, group in enumerate(remote_groups)
        if group.summary.demand.cpu_milli <= free_cpu_milli.get(group.summary.service, -1)
    ]
    heapq.heapify(turns)
    exhausted: set[_Requirements] = set()
    while turns:
        turn = heapq.heappop(turns)
        if turn.remote_group is not None:
            _reserve_for_group(
                turn.remote_group, endpoints, context, exhausted, now_ms, result.steal_requests
            )
        elif turn.groups is not None:
            _place_next_group(turn.groups, run_queue, context, now_ms, result.placed)
            following = turn.groups.next
            if following is not None:
                heapq.heappush(turns, _own_turn(following, turn.groups))
    return result


def _largest_free_cpu(endpoints: Iterable[ZoneEndpoint]) -> dict[str, int]:
    """Return the largest free CPU capacity of one endpoint, by service."""
    largest: dict[str, int] = {}
    for candidate in endpoints:
        service, free_milli = candidate.record.service, candidate.resources.free.cpu_milli
        if free_milli > largest.get(service, -1):
            largest[service] = free_milli
    return largest


def _own_turns(
    run_queue: RunQueue,
    endpoints: list[ZoneEndpoint],
    free_cpu_milli: Mapping[str, int],
    context: _PlacementContext,
    now_ms: float,
) -> list[_Turn]:
    """Return the first group of each combination of requirements that an endpoint can meet."""
    order = run_queue.order(now_ms)
    turns: list[_Turn] = []
    if order.smallest_cpu_milli > max(free_cpu_milli.values(), default=-1):
        return turns
    compared = looked_up = 0
    for head in order.heads:
        if compared == _REQUIREMENTS_COMPARED_MAX or looked_up == _REQUIREMENTS_MAX:
            break
        counts = not context.may_be_held(head.group)
        compared += counts
        spec = head.group.spec
        cpu_milli = spec.demand.cpu_milli
        if cpu_milli > free_cpu_milli.get(spec.service, -1):
            continue
        requirements = _Requirements(spec.service, spec.demand, spec.placement)
        suitable = [
            candidate
            for candidate in endpoints
            if candidate.resources.free.cpu_milli >= cpu_milli
            and _meets_requirements(requirements, candidate, context)
        ]
        if suitable:
            looked_up += counts
            turns.append(
                _own_turn(head, _GroupsInOrder(order.with_requirements_of(head), suitable))
            )
    return turns


def _own_turn(ranked: RankedGroup, groups: _GroupsInOrder) -> _Turn:
    return _Turn(ranked.rank, False, ranked.number, groups)


def _place_next_group(
    groups: _GroupsInOrder,
    run_queue: RunQueue,
    context: _PlacementContext,
    now_ms: float,
    placed: list[PlacedRun],
) -> None:
    """Place the runs of the next group as far as possible."""
    groups.drop_full_endpoints()
    ranked = groups.next
    if ranked is None:
        return
    spec = ranked.group.spec
    requirements = _Requirements(
        spec.service, spec.demand, spec.placement, speed_min(ranked.group, now_ms)
    )
    may_be_held = context.may_be_held(ranked.group)
    if not may_be_held and requirements.speed_min > groups.speed_max(context.speeds):
        groups.skip_rest(ranked, may_be_held)
        return
    for run in list(ranked.group.queued.values()):
        own_requirements = _requirements_of_run(run, requirements, context)
        chosen = choose_endpoint(own_requirements, group_of(run.task), groups.endpoints, context)
        if chosen is None and own_requirements.is_restricted:
            # Other runs of the step may be less restricted.
            continue
        if chosen is None:
            break
        chosen.resources.allocate(run.task, spec.demand)
        run_queue.remove(run.task)
        placed.append(PlacedRun(run, chosen.record.endpoint))
    groups.skip_rest(ranked, may_be_held)


def _requirements_of_run(
    run: Run, requirements: _Requirements, context: _PlacementContext
) -> _Requirements:
    """Return the *requirements* of its group with those of the run's own task."""
    isolation = context.isolations.get(run.task, Isolation.NONE)
    endpoint = context.bound_endpoints.get(run.task)
    if isolation is Isolation.NONE and endpoint is None:
        return requirements
    # A slow endpoint is better than none.
    speed = requirements.speed_min if endpoint is None else 0.0
    return requirements._replace(isolation=isolation, endpoint=endpoint, speed_min=speed)


def _reserve_for_group(
    group: RemoteGroup,
    endpoints: list[ZoneEndpoint],
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
        chosen = choose_endpoint(requirements, summary.group, endpoints, context)
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
    requirements: _Requirements,
    group: GroupId,
    endpoints: Iterable[ZoneEndpoint],
    context: _PlacementContext,
) -> ZoneEndpoint | None:
    """Return the best of *endpoints* with free capacity, if any.

    An isolated task prefers an idle endpoint; others prefer one without isolated tasks.
    """
    cpu_milli = requirements.demand.cpu_milli
    suitable = [
        candidate
        for candidate in endpoints
        if candidate.resources.free.cpu_milli >= cpu_milli
        and _meets_requirements(requirements, candidate, context)
        and _has_place_in_group(requirements, group, candidate)
    ]
    if not suitable:
        return None
    return max(suitable, key=lambda candidate: _score(requirements, candidate, context))


def _meets_requirements(
    requirements: _Requirements, candidate: ZoneEndpoint, context: _PlacementContext
) -> bool:
    record = candidate.record
    if record.service != requirements.service or not candidate.has_capacity_for(
        requirements.demand
    ):
        return False
    if requirements.endpoint is not None and record.endpoint != requirements.endpoint:
        return False
    if requirements.isolation is Isolation.REQUIRED and not candidate.is_idle:
        return False
    if context.isolation_on(candidate) is Isolation.REQUIRED:
        return False
    if context.speeds.speed_of(record.endpoint) < requirements.speed_min:
        return False
    label = requirements.placement.label
    return not label or label in record.labels


def _has_place_in_group(
    requirements: _Requirements, group: GroupId, candidate: ZoneEndpoint
) -> bool:
    """Return whether *candidate* may run another task of *group*."""
    per_endpoint_max = requirements.placement.per_endpoint_max
    if not per_endpoint_max:
        return True
    return candidate.resources.allocated_count(group.job_id, group.step) < per_endpoint_max


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
