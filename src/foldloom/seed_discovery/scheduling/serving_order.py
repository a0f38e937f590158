# SPDX-License-Identifier: MIT
"""Queued groups in serving order.

A group's rank changes when the start deadline of its tier passes and when one of its tasks ends.
Groups are ranked again only then, so that an event costs about the same with any number of groups.
"""

from __future__ import annotations

import heapq
import itertools
import math
from bisect import bisect_left, bisect_right, insort
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from foldloom.seed_discovery.jobs.spec import Demand, Placement
from foldloom.seed_discovery.scheduling.groups import RunGroup
from foldloom.seed_discovery.scheduling.ranking import Rank, Tier, rank

# Entries of removed groups that may wait for their expiry, beside as many as there are groups.
_STALE_EXPIRIES_MAX = 64


class GroupRequirements(NamedTuple):
    """What the tasks of a group require of their endpoints.

    Args:
        service: The service whose endpoints run them.
        demand: Resource demand of each task.
        placement: Placement constraints.
    """

    service: str
    demand: Demand
    placement: Placement


def requirements_of(group: RunGroup) -> GroupRequirements:
    """Return the requirements of *group*."""
    return GroupRequirements(group.spec.service, group.spec.demand, group.spec.placement)


class RankedGroup(NamedTuple):
    """A queued group and its place in the serving order.

    Args:
        rank: Its rank.
        number: Order of queueing, for groups of equal rank; unique.
        group: The group.
    """

    rank: Rank
    number: int
    group: RunGroup


class _Expiry(NamedTuple):
    """When the rank of a group changes, unless the group has been ranked again before."""

    at_ms: float
    number: int
    ranked: RankedGroup


class ServingOrder:
    """The groups with queued runs, sorted by rank: all, and those with equal requirements."""

    def __init__(self) -> None:
        self._numbers = itertools.count()
        self._ranked: dict[RunGroup, RankedGroup] = {}
        # Dicts serve as ordered sets.
        self._unranked: dict[RunGroup, None] = {}
        self._expiries: list[_Expiry] = []
        self._all: list[RankedGroup] = []
        self._by_requirements: dict[GroupRequirements, list[RankedGroup]] = {}
        self._heads: list[RankedGroup] = []
        # CPU demand of each combination of requirements, sorted.
        self._cpu_demands_milli: list[int] = []

    def __len__(self) -> int:
        return len(self._ranked) + len(self._unranked)

    def __iter__(self) -> Iterator[RunGroup]:
        """Iterate over the groups in serving order."""
        return (ranked.group for ranked in self._all)

    @property
    def groups(self) -> list[RunGroup]:
        """The groups, in no particular order."""
        return [*self._ranked, *self._unranked]

    @property
    def smallest_cpu_milli(self) -> float:
        """The smallest CPU demand of any task, in thousandths of a core; infinite if none."""
        return self._cpu_demands_milli[0] if self._cpu_demands_milli else math.inf

    def add(self, group: RunGroup) -> None:
        """Add a group; it is ranked by the next update."""
        self._unranked[group] = None

    def discard(self, group: RunGroup) -> None:
        """Remove a group, if present."""
        self._unranked.pop(group, None)
        self._remove(group)

    def note_changed(self, group: RunGroup) -> None:
        """Rank a group again with the next update, if present: its estimates have changed."""
        if group in self._ranked:
            self._remove(group)
            self._unranked[group] = None

    def update(self, now_ms: float) -> None:
        """Rank the groups that have been added or whose rank has changed by *now_ms*."""
        while self._expiries and self._expiries[0].at_ms < now_ms:
            ranked = heapq.heappop(self._expiries).ranked
            if self._ranked.get(ranked.group) is ranked:
                self.note_changed(ranked.group)
        if not self._unranked:
            return
        unranked, self._unranked = self._unranked, {}
        for group in unranked:
            self._insert(RankedGroup(rank(group, now_ms), next(self._numbers), group))
        self._drop_stale_expiries()

    @property
    def heads(self) -> Sequence[RankedGroup]:
        """The first group of each combination of requirements, in serving order."""
        return self._heads

    def with_requirements_of(self, ranked: RankedGroup) -> list[RankedGroup]:
        """Return the groups with the same requirements; the list changes with the order."""
        return self._by_requirements[requirements_of(ranked.group)]

    def up_to(self, last: Rank) -> Iterator[RunGroup]:
        """Iterate over the groups with rank *last* or lower, in order."""
        end = bisect_right(self._all, (last, math.inf))
        return (ranked.group for ranked in itertools.islice(self._all, end))

    def unattainable(self) -> list[RunGroup]:
        """Return the groups whose jobs can no longer complete in time."""
        start = bisect_left(self._all, ((Tier.UNATTAINABLE,),))
        return [ranked.group for ranked in self._all[start:]]

    def _insert(self, ranked: RankedGroup) -> None:
        self._ranked[ranked.group] = ranked
        insort(self._all, ranked)
        similar = self._by_requirements.setdefault(requirements_of(ranked.group), [])
        former_head = similar[0] if similar else None
        if not similar:
            insort(self._cpu_demands_milli, ranked.group.spec.demand.cpu_milli)
        insort(similar, ranked)
        self._update_head(former_head, similar)
        if ranked.rank.tier != Tier.UNATTAINABLE:
            expiry = _Expiry(ranked.rank.start_deadline_ms, ranked.number, ranked)
            heapq.heappush(self._expiries, expiry)

    def _remove(self, group: RunGroup) -> None:
        ranked = self._ranked.pop(group, None)
        if ranked is None:
            return
        _remove_sorted(self._all, ranked)
        requirements = requirements_of(group)
        similar = self._by_requirements[requirements]
        former_head = similar[0]
        _remove_sorted(similar, ranked)
        self._update_head(former_head, similar)
        if not similar:
            del self._by_requirements[requirements]
            demands = self._cpu_demands_milli
            del demands[bisect_left(demands, requirements.demand.cpu_milli)]

    def _update_head(self, former: RankedGroup | None, similar: list[RankedGroup]) -> None:
        head = similar[0] if similar else None
        if head is former:
            return
        if former is not None:
            _remove_sorted(self._heads, former)
        if head is not None:
            insort(self._heads, head)

    def _drop_stale_expiries(self) -> None:
        if len(self._expiries) <= 2 * len(self._ranked) + _STALE_EXPIRIES_MAX:
            return
        self._expiries = [
            expiry
            for expiry in self._expiries
            if self._ranked.get(expiry.ranked.group) is expiry.ranked
        ]
        heapq.heapify(self._expiries)


def _remove_sorted(groups: list[RankedGroup], ranked: RankedGroup) -> None:
    del groups[bisect_left(groups, ranked)]
