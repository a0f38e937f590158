# SPDX-License-Identifier: MIT
"""Admission while endpoints are overdue or unresponsive."""

from __future__ import annotations

from foldloom.seed_discovery.endpoints.calls import EndpointReport
from foldloom.seed_discovery.jobs.spec import Demand
from foldloom.seed_discovery.owners.messages import Objective, SubmitRuns, SubmitStatus
from foldloom.seed_discovery.owners.state import OwnerState
from foldloom.seed_discovery.scheduling.runs import HolderId
from test_owners_state import endpoint, owner_with, submission

_E1 = HolderId("e1", 1)
_NOW_MS = 10_000.0


def _urgent_job() -> SubmitRuns:
    """Return a job of one task with a start deadline of some hundred milliseconds."""
    return submission(objective=Objective(0, 1.6, 60, 0), deadline_ms=1_500)


def _warm_owner() -> OwnerState:
    """Return an owner of two endpoints after the warm-up of its term."""
    state = owner_with(endpoint("w1"), endpoint("w2"))
    state.submit(_E1, submission(job_id="1" * 16, demand=Demand(1, 1, 0)), 1.0)
    state.cancel(_E1, "1" * 16, 2.0)
    return state


class TestOverdue:
    """All reports are overdue at once, as after a delay of the owner itself."""

    def test_a_job_waits_for_the_next_answer(self) -> None:
        """The job is accepted and starts with the next report."""
        state = _warm_owner()
        for name in ("w1", "w2"):
            state.exclude_from_placement(name)
        assert state.submit(_E1, _urgent_job(), _NOW_MS).status is SubmitStatus.TAKEN
        state.report(EndpointReport("w1", (), (), _NOW_MS + 20.0), _NOW_MS + 25.0)
        state.place(_NOW_MS + 25.0)
        assert [start.endpoint for start in state.actions.pop_starts()] == ["w1"]

    def test_unresponsive_endpoints(self) -> None:
        """The job is rejected with a retry delay if every endpoint missed a poll."""
        state = _warm_owner()
        for name in ("w1", "w2"):
            state.handle_unanswered_poll(name)
        reply = state.submit(_E1, _urgent_job(), _NOW_MS)
        assert (reply.status, reply.retry_after_ms) == (SubmitStatus.REFUSED, 2_000)

    def test_one_of_them_is_overdue(self) -> None:
        """The job is accepted if at least one endpoint is only overdue."""
        state = _warm_owner()
        state.handle_unanswered_poll("w1")
        state.exclude_from_placement("w2")
        assert state.submit(_E1, _urgent_job(), _NOW_MS).status is SubmitStatus.TAKEN
