# SPDX-License-Identifier: MIT
"""Zones that served less and less: the work for each event grew with the queue of the zone.

A short peak leaves a queue. If that makes each later event dearer, the owner falls behind, and the
queue stays although the peak is over. Work is counted in executed bytecode instructions, so that
the result doesn't depend on the machine.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest

from executed_instructions import executed_instructions
from foldloom.seed_discovery.endpoints.calls import EndpointReport
from foldloom.seed_discovery.jobs.spec import Demand
from foldloom.seed_discovery.owners.messages import Objective, SubmitStatus
from foldloom.seed_discovery.owners.state import OwnerState
from foldloom.seed_discovery.scheduling.runs import HolderId
from test_owners_state import endpoint, owner_with, submission

_SHORT, _LONG = 5, 500
# The length grows a hundredfold; binary searches may take a few steps more.
_GROWTH_MAX = 2.0
_ENDPOINTS = 8
_BOX = HolderId("e1", 1)
_NOW_MS = 10.0
# So tight that only an endpoint of at least half the usual speed is of use.
_OBJECTIVE = Objective(0, 1.6, 20, 0)

Event = Callable[[OwnerState], object]


def _job_id(number: int) -> str:
    return f"{number:016x}"


def _submit(state: OwnerState, number: int, tasks: int, cpu_milli: int) -> None:
    message = submission(
        tasks,
        job_id=_job_id(number),
        demand=Demand(cpu_milli, 64, 0),
        objective=_OBJECTIVE,
    )
    assert state.submit(_BOX, message, _NOW_MS).status is SubmitStatus.TAKEN


def _full_zone(groups: int, are_demands_equal: bool, has_slow_endpoint: bool) -> OwnerState:
    """Return a zone without capacity for any of its queued groups.

    Each endpoint has some free capacity, too little for any task. With *has_slow_endpoint* there is
    another one with much free capacity, which is too slow for all of them.
    """
    names = [f"w{number}" for number in range(_ENDPOINTS)]
    state = owner_with(*(endpoint(name) for name in names))
    _submit(state, 0, 2 * _ENDPOINTS, 6_800)
    state.place(_NOW_MS)
    assert len(state.actions.pop_starts()) == 2 * _ENDPOINTS
    if has_slow_endpoint:
        state.update_endpoint(endpoint("slow"))
        state.report(EndpointReport("slow", (), (), 0.0), 1.0)
        for name in names:
            state._lifecycle.speeds.record(name, 100.0, 100.0)
        for _ in range(100):
            state._lifecycle.speeds.record("slow", 10_000.0, 100.0)
    for number in range(1, groups + 1):
        _submit(state, number, 1, 6_800 if are_demands_equal else 6_800 + number)
    state.place(_NOW_MS)
    assert len(state.run_queue) == groups
    assert not state.actions.pop_starts()
    state.offer(_NOW_MS)
    return state


def _submit_and_cancel(state: OwnerState) -> None:
    number = 2**32
    _submit(state, number, 1, 6_800)
    state.cancel(_BOX, _job_id(number), _NOW_MS)


_EVENTS: dict[str, Event] = {
    "place": lambda state: state.place(_NOW_MS),
    "offer": lambda state: state.offer(_NOW_MS),
    "tick": lambda state: state.tick(_NOW_MS),
    "report": lambda state: state.report(EndpointReport("w0", (), (), 0.0), _NOW_MS),
    "load": lambda state: state.load(_NOW_MS),
    "submit and cancel": _submit_and_cancel,
}


@pytest.mark.parametrize("has_slow_endpoint", [False, True])
@pytest.mark.parametrize("are_demands_equal", [False, True])
@pytest.mark.parametrize("event", _EVENTS)
class TestQueueCost:
    """An event costs the same with a long queue as with a short one."""

    def test_it_does_not_grow(
        self, event: str, are_demands_equal: bool, has_slow_endpoint: bool
    ) -> None:
        """Guards against a queue that keeps itself up by the work that it makes."""
        handle = _EVENTS[event]
        work = {}
        for groups in (_SHORT, _LONG):
            state = _full_zone(groups, are_demands_equal, has_slow_endpoint)
            work[groups] = executed_instructions(lambda state=state: handle(state))
        assert work[_LONG] <= _GROWTH_MAX * work[_SHORT], work


class TestCancelCost:
    """A tick costs the same after many cancels, each of which is remembered for a while."""

    def test_it_does_not_grow(self) -> None:
        """Guards against rejections that make the owner later than it is."""
        work = {}
        for cancels in (_SHORT, _LONG):
            state = owner_with(endpoint("w0"))
            for number in range(cancels):
                state.cancel(_BOX, _job_id(number), _NOW_MS)
            work[cancels] = executed_instructions(lambda state=state: state.tick(_NOW_MS + 1))
        assert work[_LONG] <= _GROWTH_MAX * work[_SHORT], work
