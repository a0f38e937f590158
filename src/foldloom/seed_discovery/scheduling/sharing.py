# SPDX-License-Identifier: MIT
"""What waits in other zones, as their owners offer it, to be stolen for room that is free here.

Owns the newest offer of each zone.

Each owner serves its own zone's jobs first come by rank, and sees the first of what waits
elsewhere in the same order. Where a group of another zone is next, it reserves room, steals runs
from their owner, and their box hands them in here.
"""

from __future__ import annotations

from typing import NamedTuple

from foldloom.seed_discovery.jobs.spec import Demand, Placement, TaskId
from foldloom.seed_discovery.scheduling.ranking import Rank

# Milliseconds for which what another zone's owner said is acted on: three of its heartbeats (100
# ms), which carry its load.
REMOTE_VIEW_TTL_MS = 300.0
# Milliseconds for which room is kept for a stolen run: above the 30 ms for which the request waits
# for its reply, plus the box's delivery over two hops between zones (0.5 ms each).
RESERVATION_TTL_MS = 40.0


class GroupId(NamedTuple):
    """One step of one time of one job."""

    job_id: str
    repeat: int
    step: int


def group_of(task: TaskId) -> GroupId:
    """Return the group that *task* belongs to."""
    return GroupId(task.job_id, task.repeat, task.step)


class GroupSummary(NamedTuple):
    """A group that waits in another zone.

    Args:
        group: Which.
        service: Whose endpoints run it.
        demand: What each task takes.
        placement: Where they may run.
        tier: Its tier.
        level: Its level in the tier.
        start_within_ms: In how long it must start.
        waiting: How many of its runs wait.
        cpu_ms: How much processor they will take, in core milliseconds.
        speed_min: How fast an endpoint must be for the job to stay in its tier.
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
    """A group that waits in another zone, and how many of its runs were not stolen yet.

    Args:
        zone: Where it waits.
        summary: What its owner offered.
        received_ms: When it was offered; own monotonic clock.
    """

    def __init__(self, zone: str, summary: GroupSummary, received_ms: float) -> None:
        self.zone = zone
        self.summary = summary
        self.rank = Rank(summary.tier, summary.level, received_ms + summary.start_within_ms)
        self.remaining = summary.waiting


class RemoteGroups:
    """What waits in the other zones."""

    def __init__(self) -> None:
        self._groups_by_zone: dict[str, list[RemoteGroup]] = {}
        self._received_ms: dict[str, float] = {}

    def note_offer(self, zone: str, summaries: list[GroupSummary], now_ms: float) -> None:
        """Note what waits in a zone, in place of what its owner offered before."""
        self._groups_by_zone[zone] = [RemoteGroup(zone, one, now_ms) for one in summaries]
        self._received_ms[zone] = now_ms

    def stealable(self, now_ms: float) -> list[RemoteGroup]:
        """Return the groups that were offered lately and have runs left to steal."""
        return [
            group
            for zone, groups in self._groups_by_zone.items()
            if now_ms - self._received_ms[zone] < REMOTE_VIEW_TTL_MS
            for group in groups
            if group.remaining > 0
        ]
