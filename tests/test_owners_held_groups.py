# SPDX-License-Identifier: MIT
"""Zones that started nothing although endpoints were free: held groups came first in order.

Groups wait for one endpoint, for an idle one, or for the end of their own tasks. However many of
them are queued, the groups behind them are placed.
"""

from __future__ import annotations

import pytest

from foldloom.seed_discovery.endpoints.calls import EndpointReport
from foldloom.seed_discovery.jobs.spec import Demand, Placement, RunId, TaskId
from foldloom.seed_discovery.owners.messages import EndpointBinding, SubmitRuns
from foldloom.seed_discovery.owners.state import OwnerState
from foldloom.seed_discovery.scheduling.crashes import CrashCount
from foldloom.seed_discovery.scheduling.runs import HolderId
from test_owners_state import endpoint, owner_with, submission

_BOX = HolderId("e1", 1)
_HELD = 200
_OTHER_JOB = f"{2**32:016x}"
# Priority of the group behind the held ones.
_LOW = 1


def _held_job(number: int, cpu_milli: int) -> SubmitRuns:
    return submission(job_id=f"{number:016x}", demand=Demand(cpu_milli, 64, 0))


def _bind(message: SubmitRuns) -> SubmitRuns:
    """Return *message* with its task bound to an endpoint that is not heard."""
    run_id = RunId(TaskId(message.job_id, 0, 0, 0), 1)
    return message._replace(bindings=(EndpointBinding(run_id, "silent"),))


def _isolate(message: SubmitRuns) -> SubmitRuns:
    """Return *message* with a task that needs an idle endpoint, as its endpoints have crashed."""
    orders = [order._replace(crashes=CrashCount(2, 0)) for order in message.orders]
    return message._replace(orders=orders)


def _submit_other(state: OwnerState) -> list[str]:
    """Submit a job that any endpoint may run; return the jobs of the starts that follow."""
    message = submission(job_id=_OTHER_JOB, demand=Demand(900, 64, 0), priority=_LOW)
    state.submit(_BOX, message, 20.0)
    state.place(20.0)
    return [action.run_id.task.job_id for action in state.actions.pop_starts()]


@pytest.mark.parametrize("are_demands_equal", [False, True])
class TestHeldGroups:
    """Held groups of a higher priority are queued in front of another group."""

    @pytest.mark.parametrize("hold", [_bind, _isolate])
    def test_one_endpoint(self, are_demands_equal: bool, hold: object) -> None:
        """Guards against tasks of a lost endpoint that stop the zone while they wait."""
        state = owner_with(endpoint("w1"), endpoint("silent"))
        state.submit(_BOX, submission(job_id="f" * 16, demand=Demand(1_000, 64, 0)), 1.0)
        state.place(1.0)
        assert len(state.actions.pop_starts()) == 1
        state.exclude_from_placement("silent")
        assert callable(hold)
        for number in range(_HELD):
            state.submit(
                _BOX, hold(_held_job(number, 1_000 if are_demands_equal else 1_000 + number)), 10.0
            )
        state.place(10.0)
        assert not state.actions.pop_starts()
        assert _submit_other(state) == [_OTHER_JOB]

    def test_limit_of_tasks(self, are_demands_equal: bool) -> None:
        """Guards against jobs that wait for their own tasks and stop the zone meanwhile."""
        state = owner_with(endpoint("w1", 10**6))
        state.report(EndpointReport("w1", (), (), 1.0), 2.0)
        for number in range(_HELD):
            message = submission(
                2,
                job_id=f"{number:016x}",
                demand=Demand(1_000 if are_demands_equal else 1_000 + number, 64, 0),
                placement=Placement(per_endpoint_max=1),
            )
            state.submit(_BOX, message, 10.0)
            state.place(10.0)
        assert len(state.actions.pop_starts()) == _HELD
        assert _submit_other(state) == [_OTHER_JOB]
