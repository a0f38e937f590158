# SPDX-License-Identifier: MIT
"""In which order waiting groups are served, and how fast an endpoint each of them needs."""

from __future__ import annotations

from typing import NamedTuple

from foldloom.scheduling.groups import Group

ON_TIME, LATE, HOPELESS = 0, 1, 2
# Estimates are rough: an endpoint is left out only if it is too slow by more than that.
_SPEED_TOLERANCE = 0.75


class Rank(NamedTuple):
    """A group's place in the order: the least comes first.

    Args:
        tier: Whether it can be on time, late, or neither.
        level: Among those of a tier.
        by_ms: When it must start for its tier; own clock.
    """

    tier: int
    level: int
    by_ms: float


def rank(group: Group, now_ms: float) -> Rank:
    """Return the place of *group* in the order at *now_ms*.

    On time goes before late; within a tier priority 0 goes before all others, since its tasks are
    the shortest and a job of many of them needs room for all at nearly once, which it seldom gets
    behind longer ones; then who must start soonest.
    """
    tier = tier_of(group, now_ms)
    by_ms = group.start_by() if tier == ON_TIME else group.late_start_by()
    return Rank(tier, min(1, group.spec.priority), by_ms)


def tier_of(group: Group, now_ms: float) -> int:
    """Return whether a group can still be on time, or late, or neither."""
    if now_ms <= group.start_by():
        return ON_TIME
    return LATE if now_ms <= group.late_start_by() else HOPELESS


def speed_min(group: Group, now_ms: float) -> float:
    """Return how fast an endpoint must be for a group to stay in its tier.

    It is rounded, so that groups that are alike fit where any of them fits.
    """
    tier_ms = group.on_time_ms if tier_of(group, now_ms) == ON_TIME else group.late_ms
    return round(group.slowest(tier_ms, now_ms) * _SPEED_TOLERANCE, 1)
