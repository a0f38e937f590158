# SPDX-License-Identifier: MIT
"""Serving order of queued groups and the minimum endpoint speed of each.

Groups that can meet their objective go first, groups whose result would be worthless last.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from foldloom.seed_discovery.scheduling.groups import RunGroup

# Share of the estimated minimum speed below which an endpoint is excluded; below 1 to allow for
# estimation errors.
_SPEED_TOLERANCE = 0.75


class Tier(IntEnum):
    """Attainable outcome of a group's job; lower tiers are served first."""

    ON_TIME = 0
    LATE = 1
    UNATTAINABLE = 2


class Rank(NamedTuple):
    """A group's sort key in the serving order, smallest first.

    Args:
        tier: The attainable outcome of its job.
        level: Priority level within the tier.
        start_deadline_ms: Latest start for its tier; own monotonic clock.
    """

    tier: int
    level: int
    start_deadline_ms: float


def rank(group: RunGroup, now_ms: float) -> Rank:
    """Return the rank of *group* at *now_ms*.

    Within a tier, priority 0 goes first, since its jobs consist of many short tasks that need
    capacity at the same time; then the earliest start deadline.
    """
    tier = tier_of(group, now_ms)
    start_deadline_ms = (
        group.on_time_start_deadline_ms()
        if tier is Tier.ON_TIME
        else group.late_start_deadline_ms()
    )
    return Rank(tier, min(1, group.spec.priority), start_deadline_ms)


def tier_of(group: RunGroup, now_ms: float) -> Tier:
    """Return the best outcome that the group's job can still attain."""
    if now_ms <= group.on_time_start_deadline_ms():
        return Tier.ON_TIME
    return Tier.LATE if now_ms <= group.late_start_deadline_ms() else Tier.UNATTAINABLE


def speed_min(group: RunGroup, now_ms: float) -> float:
    """Return the minimum endpoint speed for a group to stay in its tier.

    Rounded to a tenth, so that similar groups have equal requirements.
    """
    is_on_time = tier_of(group, now_ms) is Tier.ON_TIME
    tier_deadline_ms = group.on_time_deadline_ms if is_on_time else group.useful_until_ms
    return round(group.speed_needed(tier_deadline_ms, now_ms) * _SPEED_TOLERANCE, 1)
