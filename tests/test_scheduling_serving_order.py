# SPDX-License-Identifier: MIT
"""The serving order, kept sorted, equals a sort of all groups at each time."""

from __future__ import annotations

from typing import NamedTuple

from hypothesis import given
from hypothesis import strategies as st

from foldloom.seed_discovery.jobs.spec import Demand, Placement
from foldloom.seed_discovery.scheduling.groups import RunGroup
from foldloom.seed_discovery.scheduling.ranking import Tier, rank
from foldloom.seed_discovery.scheduling.runs import RunSpec
from foldloom.seed_discovery.scheduling.serving_order import ServingOrder, requirements_of

_GROUPS_MAX = 12


class _Change(NamedTuple):
    """A change of one group, some time after the change before."""

    after_ms: int
    number: int
    is_added: bool
    is_removed: bool
    work_ms: int


_CHANGES = st.lists(
    st.builds(
        _Change,
        st.integers(0, 120),
        st.integers(0, _GROUPS_MAX - 1),
        st.booleans(),
        st.booleans(),
        st.integers(0, 300),
    ),
    max_size=30,
)


def _group(number: int) -> RunGroup:
    spec = RunSpec(
        job_id=f"{number:016x}",
        queue="q",
        service="svc",
        task_input="",
        demand=Demand(1_000 * (1 + number % 3), 64, 0),
        placement=Placement(),
        priority=number % 2,
        estimate_ms=50 + 10 * number,
        arrived_ms=10.0 * number,
        stretch=1.6,
        slack_ms=20.0,
        other_steps_ms=0.0,
        tasks=1 + number,
        deadline_ms=600.0 + 50 * number,
    )
    return RunGroup(spec, float(spec.estimate_ms))


class TestServingOrder:
    """The order after any sequence of additions, removals, ended tasks and passed time."""

    @given(_CHANGES)
    def test_it_equals_a_sort(self, changes: list[_Change]) -> None:
        """Guards against a group that keeps the rank it had when it was queued."""
        groups = [_group(number) for number in range(_GROUPS_MAX)]
        order = ServingOrder()
        present: dict[RunGroup, None] = {}
        now_ms = 0.0
        for change in changes:
            now_ms += change.after_ms
            group = groups[change.number]
            if change.is_added and group not in present:
                order.add(group)
                present[group] = None
            if change.work_ms:
                group.note_done(change.work_ms)
                order.note_changed(group)
            if change.is_removed:
                order.discard(group)
                present.pop(group, None)
            order.update(now_ms)
            ranks = sorted(rank(one, now_ms) for one in present)
            assert [rank(one, now_ms) for one in order] == ranks
            assert len(order) == len(present)
            unattainable = [one for one in present if rank(one, now_ms).tier is Tier.UNATTAINABLE]
            assert set(order.unattainable()) == set(unattainable)
            best: dict[object, object] = {}
            for one in order:
                best.setdefault(requirements_of(one), one)
            assert [head.group for head in order.heads] == list(best.values())
            demands = [one.spec.demand.cpu_milli for one in present]
            assert order.smallest_cpu_milli == min(demands, default=float("inf"))
