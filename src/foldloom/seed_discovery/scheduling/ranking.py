# SPDX-License-Identifier: MIT
"""In which order waiting groups are served, and how fast an endpoint each of them needs.

Owns nothing; decisions only. On time goes before late, and what can earn nothing any more goes
last; how the order was compared with others is in docs/design/scheduling.md.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from foldloom.seed_discovery.scheduling.groups import RunGroup

# Share of the speed that a group needs by its estimate, below which an endpoint is left out: below
# 1 because estimates are off by some tens of per cent.
_SPEED_TOLERANCE = 0.75


class Tier(IntEnum):
    """What a group's job can still earn; lower tiers are served first."""

    ON_TIME = 0
    LATE = 1
    UNATTAINABLE = 2


class Rank(NamedTuple):
    """A group's place in the order: the least comes first.

    Args:
        tier: What its job can still earn.
        level: Among those of a tier.
        start_deadline_ms: When it must start for its tier; own monotonic clock.
    """

    tier: int
    level: int
    start_deadline_ms: float


def rank(group: RunGroup, now_ms: float) -> Rank:
    """Return the place of *group* in the order at *now_ms*.

    On time goes before late; within a tier priority 0 goes before all others, since its tasks are
    the shortest and a job of many of them needs room for all at nearly once, which it seldom gets
    behind longer ones; then who must start soonest.
    """
    tier = tier_of(group, now_ms)
    start_deadline_ms = (
        group.on_time_start_deadline_ms()
        if tier is Tier.ON_TIME
        else group.late_start_deadline_ms()
    )
    return Rank(tier, min(1, group.spec.priority), start_deadline_ms)


def tier_of(group: RunGroup, now_ms: float) -> Tier:
    """Return whether a group's job can still be on time, or late, or neither."""
    if now_ms <= group.on_time_start_deadline_ms():
        return Tier.ON_TIME
    return Tier.LATE if now_ms <= group.late_start_deadline_ms() else Tier.UNATTAINABLE


def speed_min(group: RunGroup, now_ms: float) -> float:
    """Return how fast an endpoint must be for a group to stay in its tier.

    It is rounded to a tenth, so that groups that are alike fit where any of them fits.
    """
    is_on_time = tier_of(group, now_ms) is Tier.ON_TIME
    tier_deadline_ms = group.on_time_deadline_ms if is_on_time else group.late_ms
    return round(group.speed_needed(tier_deadline_ms, now_ms) * _SPEED_TOLERANCE, 1)
