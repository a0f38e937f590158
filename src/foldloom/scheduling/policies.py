# SPDX-License-Identifier: MIT
"""In which order waiting groups are served: policies that can be compared."""

from __future__ import annotations

from functools import singledispatch
from typing import Any, NamedTuple

from foldloom.scheduling.groups import Group

ON_TIME, LATE, HOPELESS = 0, 1, 2
# Estimates are rough: a worker is left out only if it is too slow by more than that.
_SPEED_TOLERANCE = 0.75


class ByArrival(NamedTuple):
    """By arrival: a baseline."""


class ByPriority(NamedTuple):
    """By priority, then by arrival: a baseline."""


class ByDeadline(NamedTuple):
    """Who can still be on time goes first, the most urgent first; then who can be late."""


class UrgentFirst(NamedTuple):
    """As by deadline, but priority 0 goes before all others of its tier.

    Its tasks are the shortest; a job of many of them needs room for all at nearly once, which
    it seldom gets behind longer ones.
    """


Policy = ByArrival | ByPriority | ByDeadline | UrgentFirst
DEFAULT_POLICY: Policy = UrgentFirst()


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


@singledispatch
def rank(_policy: Any, _group: Group, _now_ms: float) -> Rank:
    """Return the place of *_group* by *_policy* at *_now_ms*."""
    raise TypeError("no such policy")


@rank.register
def _(_policy: ByArrival, group: Group, _now_ms: float) -> Rank:
    return Rank(ON_TIME, 0, group.spec.began_ms)


@rank.register
def _(_policy: ByPriority, group: Group, _now_ms: float) -> Rank:
    return Rank(ON_TIME, group.spec.priority, group.spec.began_ms)


@rank.register
def _(_policy: ByDeadline, group: Group, now_ms: float) -> Rank:
    return _by_deadline(group, now_ms, 0)


@rank.register
def _(_policy: UrgentFirst, group: Group, now_ms: float) -> Rank:
    return _by_deadline(group, now_ms, min(1, group.spec.priority))


def tier_of(group: Group, now_ms: float) -> int:
    """Return whether a group can still be on time, or late, or neither."""
    if now_ms <= group.start_by():
        return ON_TIME
    return LATE if now_ms <= group.late_start_by() else HOPELESS


def speed_min(group: Group, now_ms: float) -> float:
    """Return how fast a worker must be for a group to stay in its tier.

    It is rounded, so that groups that are alike fit where any of them fits.
    """
    tier_ms = group.on_time_ms if tier_of(group, now_ms) == ON_TIME else group.late_ms
    return round(group.slowest(tier_ms, now_ms) * _SPEED_TOLERANCE, 1)


def _by_deadline(group: Group, now_ms: float, level: int) -> Rank:
    tier = tier_of(group, now_ms)
    by_ms = group.start_by() if tier == ON_TIME else group.late_start_by()
    return Rank(tier, level, by_ms)
