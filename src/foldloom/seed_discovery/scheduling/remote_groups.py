# SPDX-License-Identifier: MIT
"""Queued groups of other zones, as offered by their owners for work stealing.

Each owner serves its zone's jobs by rank and receives the first groups of the other zones' queues.
If a remote group is next in order, the owner reserves capacity and asks for its runs; their entry
box then submits them here.
"""

from __future__ import annotations

from typing import NamedTuple

from foldloom.seed_discovery.jobs.spec import Demand, Placement, TaskId
from foldloom.seed_discovery.scheduling.ranking import Rank

# Time-to-live of another owner's offer or load; several default owner heartbeats.
REMOTE_VIEW_TTL_MS = 300.0
# Longer than the timeout of a steal request plus the delivery by the entry box.
RESERVATION_TTL_MS = 40.0


class GroupId(NamedTuple):
    """One step of one repetition of a job."""

    job_id: str
    repeat: int
    step: int


def group_of(task: TaskId) -> GroupId:
    """Return the group of *task*."""
    return GroupId(task.job_id, task.repeat, task.step)


class GroupSummary(NamedTuple):
    """A queued group of another zone.

    Args:
        group: Its id.
        service: The service whose endpoints run it.
        demand: Resource demand of each task.
        placement: Placement constraints.
        tier: Its tier.
        level: Its priority level within the tier.
        start_within_ms: Time left until its start deadline.
        waiting: Number of queued runs.
        cpu_ms: Estimated CPU time of the queued runs, in core milliseconds.
        speed_min: Minimum endpoint speed for the job to stay in its tier.
    """

    group: GroupId
    service: str
    demand: Demand
    placement: Placement
    tier: int
    level: int
    start_within_ms: int
    waiting: int
    cpu_ms: int
    speed_min: float = 0.0


class RemoteGroup:
    """A queued group of another zone and the number of its runs not yet requested.

    Args:
        zone: The zone that it is queued in.
        summary: The offer of the zone's owner.
        received_ms: When the offer arrived; own monotonic clock.
    """

    def __init__(self, zone: str, summary: GroupSummary, received_ms: float) -> None:
        self.zone = zone
        self.summary = summary
        self.rank = Rank(summary.tier, summary.level, received_ms + summary.start_within_ms)
        self.remaining = summary.waiting


class RemoteGroups:
    """The newest offer of each other zone."""

    def __init__(self) -> None:
        self._groups_by_zone: dict[str, list[RemoteGroup]] = {}
        self._received_ms: dict[str, float] = {}

    def note_offer(self, zone: str, summaries: list[GroupSummary], now_ms: float) -> None:
        """Replace a zone's offer."""
        self._groups_by_zone[zone] = [RemoteGroup(zone, one, now_ms) for one in summaries]
        self._received_ms[zone] = now_ms

    def stealable(self, now_ms: float) -> list[RemoteGroup]:
        """Return the groups of unexpired offers that have runs left to steal."""
        return [
            group
            for zone, groups in self._groups_by_zone.items()
            if now_ms - self._received_ms[zone] < REMOTE_VIEW_TTL_MS
            for group in groups
            if group.remaining > 0
        ]
