# SPDX-License-Identifier: MIT
"""Which waiting run goes to which endpoint now, and which runs of other zones to steal.

Owns the numbers of reservations. Relies on the order
(:mod:`foldloom.seed_discovery.scheduling.ranking`), the endpoints' rooms and speeds, and what other
zones offer. Runs are considered in order; each goes to the endpoint with room that is near its
data, fast, and left with the least room.
"""

from __future__ import annotations

import itertools
from collections.abc import Mapping
from typing import NamedTuple

from foldloom.seed_discovery.jobs.spec import Demand, Placement, TaskId
from foldloom.seed_discovery.scheduling.crashes import NO_ISOLATIONS, Isolation
from foldloom.seed_discovery.scheduling.endpoints import ZoneEndpoint
from foldloom.seed_discovery.scheduling.groups import RunGroup
from foldloom.seed_discovery.scheduling.ranking import Rank, Tier, rank, speed_min
from foldloom.seed_discovery.scheduling.runs import Run
from foldloom.seed_discovery.scheduling.sharing import (
    RESERVATION_TTL_MS,
    GroupId,
    RemoteGroup,
    RemoteGroups,
    group_of,
)
from foldloom.seed_discovery.scheduling.speeds import EndpointSpeeds
from foldloom.seed_discovery.scheduling.waiting import WaitingRuns

_reservation_numbers = itertools.count(1)


class PlacedRun(NamedTuple):
    """A decision: *run* goes to *endpoint*."""

    run: Run
    endpoint: str


class Reservation(NamedTuple):
    """Room that is kept on an endpoint, under a number."""

    endpoint: str
    number: int


class StolenRuns(NamedTuple):
    """A decision: runs of a group that waits in another zone are asked for, for room here."""

    zone: str
    group: GroupId
    reservations: list[Reservation]


class PlacementRound(NamedTuple):
    """What one round decided."""

    placed: list[PlacedRun]
    stolen: list[StolenRuns]


class _Requirements(NamedTuple):
    """Runs that fit where any one of them fits.

    ``speed_min`` is how fast an endpoint must be for the job not to fall into a lower tier;
    ``isolation`` how the run is kept apart.
    """

    service: str
    demand: Demand
    placement: Placement
    speed_min: float = 0.0
    isolation: Isolation = Isolation.NONE


class _PlacementContext(NamedTuple):
    """Where runs may go now.

    Args:
        endpoints: Those that may be given work.
        speeds: How fast they are.
        isolations: How tasks under which endpoints have crashed are kept apart from others.
    """

    endpoints: list[ZoneEndpoint]
    speeds: EndpointSpeeds
    isolations: Mapping[TaskId, Isolation]

    def isolation_on(self, candidate: ZoneEndpoint) -> Isolation:
        """Return how what runs on an endpoint is kept apart."""
        if not self.isolations:
            return Isolation.NONE
        levels = [self.isolations.get(task, Isolation.NONE) for task in candidate.room.tasks]
        return max(levels, default=Isolation.NONE)


class _QueuedGroup(NamedTuple):
    """A group in the order; the own ones come first where ranks are the same."""

    rank: Rank
    is_remote: bool
    number: int


def place(
    waiting: WaitingRuns,
    remote: RemoteGroups,
    candidates: Mapping[str, ZoneEndpoint],
    speeds: EndpointSpeeds,
    now_ms: float,
    isolations: Mapping[TaskId, Isolation] = NO_ISOLATIONS,
) -> PlacementRound:
    """Return who starts where now, and charge the room; the runs are taken out of the queue."""
    result = PlacementRound([], [])
    eligible_endpoints = [one for one in candidates.values() if one.is_open(now_ms)]
    if not eligible_endpoints:
        return result
    places = _PlacementContext(eligible_endpoints, speeds, isolations)
    own_groups, remote_groups = waiting.groups, remote.stealable(now_ms)
    queued_groups = [
        _QueuedGroup(rank(group, now_ms), False, n) for n, group in enumerate(own_groups)
    ]
    queued_groups += [_QueuedGroup(group.rank, True, n) for n, group in enumerate(remote_groups)]
    exhausted: set[_Requirements] = set()
    for _, is_remote, number in sorted(queued_groups):
        if is_remote:
            _steal_group(remote_groups[number], places, exhausted, now_ms, result.stolen)
        else:
            _place_group(own_groups[number], waiting, places, exhausted, now_ms, result.placed)
    return result


def _place_group(
    group: RunGroup,
    waiting: WaitingRuns,
    places: _PlacementContext,
    exhausted: set[_Requirements],
    now_ms: float,
    placed: list[PlacedRun],
) -> None:
    spec = group.spec
    kind = _Requirements(spec.service, spec.demand, spec.placement, speed_min(group, now_ms))
    if kind in exhausted:
        return
    for run in list(group.waiting.values()):
        isolation = places.isolations.get(run.task, Isolation.NONE)
        chosen = choose_endpoint(kind._replace(isolation=isolation), group_of(run.task), places)
        if chosen is None and isolation is Isolation.REQUIRED:
            # The others of its step may do with less than an idle endpoint.
            continue
        if chosen is None:
            if not spec.placement.per_endpoint_max:
                exhausted.add(kind)
            return
        chosen.room.charge(run.task, spec.demand)
        waiting.remove(run.task)
        placed.append(PlacedRun(run, chosen.record.endpoint))


def _steal_group(
    group: RemoteGroup,
    places: _PlacementContext,
    exhausted: set[_Requirements],
    now_ms: float,
    stolen: list[StolenRuns],
) -> None:
    summary = group.summary
    kind = _Requirements(summary.service, summary.demand, summary.placement, summary.speed_min)
    # How many of its step an endpoint has is known only where all of the step is.
    if kind in exhausted or summary.tier == Tier.UNATTAINABLE or summary.placement.per_endpoint_max:
        return
    reservations: list[Reservation] = []
    while group.remaining > 0:
        chosen = choose_endpoint(kind, summary.group, places)
        if chosen is None:
            exhausted.add(kind)
            break
        number = next(_reservation_numbers)
        chosen.room.reserve(number, summary.demand, now_ms + RESERVATION_TTL_MS)
        reservations.append(Reservation(chosen.record.endpoint, number))
        group.remaining -= 1
    if reservations:
        stolen.append(StolenRuns(group.zone, summary.group, reservations))


def choose_endpoint(
    kind: _Requirements, group: GroupId, places: _PlacementContext
) -> ZoneEndpoint | None:
    """Return the best endpoint with room, if any: near the data, fast, tightly filled.

    A task under which an endpoint has crashed goes to an idle one before that, and others go
    elsewhere than beside it.
    """
    eligible = [one for one in places.endpoints if _is_eligible(kind, group, one, places)]
    if not eligible:
        return None
    return max(eligible, key=lambda one: _score(kind, one, places))


def _is_eligible(
    kind: _Requirements, group: GroupId, candidate: ZoneEndpoint, places: _PlacementContext
) -> bool:
    record, speeds = candidate.record, places.speeds
    if kind.isolation is Isolation.REQUIRED and not candidate.is_idle:
        return False
    if places.isolation_on(candidate) is Isolation.REQUIRED:
        return False
    if record.service != kind.service or not candidate.has_capacity_for(kind.demand):
        return False
    if speeds.speed_of(record.endpoint) < kind.speed_min:
        return False
    placement = kind.placement
    if placement.label and placement.label not in record.labels:
        return False
    if not placement.per_endpoint_max:
        return True
    return candidate.room.count_of(group.job_id, group.step) < placement.per_endpoint_max


def _score(
    kind: _Requirements, candidate: ZoneEndpoint, places: _PlacementContext
) -> tuple[bool, bool, float, int, str]:
    is_isolated = kind.isolation is not Isolation.NONE
    meets_isolation = candidate.is_idle if is_isolated else not places.isolation_on(candidate)
    rack = kind.placement.rack
    is_rack_local = not rack or rack in candidate.record.labels
    cpu_left_milli = candidate.room.free.cpu_milli - kind.demand.cpu_milli
    endpoint = candidate.record.endpoint
    speed = round(places.speeds.speed_of(endpoint), 1)
    return (meets_isolation, is_rack_local, speed, -cpu_left_milli, endpoint)
