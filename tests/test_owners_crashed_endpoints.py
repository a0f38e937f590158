# SPDX-License-Identifier: MIT
"""Endpoint crashes during tasks: counting, isolation and crash limit."""

from __future__ import annotations

from foldloom.seed_discovery.endpoints.calls import (
    ActiveRun,
    CallOutcome,
    EndedRun,
    EndKind,
    EndpointReport,
)
from foldloom.seed_discovery.endpoints.records import EndpointState
from foldloom.seed_discovery.jobs.spec import Demand, RunId, TaskId
from foldloom.seed_discovery.owners.crash_records import CRASH_RECORD_TTL_MS, CrashRecords
from foldloom.seed_discovery.owners.messages import EndCause, RunEnd
from foldloom.seed_discovery.owners.state import OwnerState
from foldloom.seed_discovery.scheduling.crashes import CrashCount, Isolation
from foldloom.seed_discovery.scheduling.runs import HolderId
from test_owners_state import endpoint, ends_of, owner_with, submission

_E1 = HolderId("e1", 1)
_SMALL = Demand(2_000, 64, 0)
_JOB, _OTHER = "0" * 16, "1" * 16
_TASK = TaskId(_JOB, 0, 0, 0)


def _submit_and_start(
    state: OwnerState, now_ms: float, job_id: str = _JOB, tasks: int = 1
) -> list[str]:
    """Submit a job of small tasks and start it; return the endpoints of its tasks."""
    state.submit(_E1, submission(tasks, job_id=job_id, demand=_SMALL), now_ms)
    return _place_and_start(state, now_ms)


def _place_and_start(state: OwnerState, now_ms: float) -> list[str]:
    """Place queued runs and confirm their starts; return their endpoints."""
    state.place(now_ms)
    starts = state.actions.pop_starts()
    for start in starts:
        state.handle_start_outcome(start.run_id, start.endpoint, CallOutcome.DONE, now_ms)
    return [start.endpoint for start in starts]


def _deliver_next_attempt(state: OwnerState, end: RunEnd, now_ms: float) -> None:
    """Submit the next attempt of a run that has ended, as its entry box does."""
    message = submission(job_id=end.run_id.task.job_id, demand=_SMALL)
    order = message.orders[0]._replace(
        position=end.run_id.task.position,
        attempt=end.run_id.attempt + 1,
        crashes=end.crashes,
    )
    state.submit(_E1, message._replace(orders=[order]), now_ms)


def _crash_endpoint(state: OwnerState, name: str, now_ms: float) -> list[RunEnd]:
    """Crash an endpoint and expire its leases; return the run ends by run id."""
    state.handle_unanswered_poll(name)
    state.handle_crash(name, now_ms)
    state.handle_lease_expiry(name, now_ms + 650.0)
    return sorted((end for _, end in ends_of(state)), key=lambda end: end.run_id)


class TestCrashCounting:
    """Only confirmed crashes count."""

    def test_expired_leases_are_no_crash(self) -> None:
        """An endpoint that answers again after its leases expired has not crashed."""
        state = owner_with(endpoint("w1"))
        _submit_and_start(state, 10.0)
        state.handle_unanswered_poll("w1")
        state.handle_lease_expiry("w1", 700.0)
        assert [end.crashes for _, end in ends_of(state)] == [CrashCount()]
        state.report(EndpointReport("w1", (), (), 800.0, 1), 801.0)
        state.begin_incarnation("w1", 5_000.0)
        state.report(EndpointReport("w1", (), (), 5_001.0, 2), 5_002.0)
        _deliver_next_attempt(state, RunEnd(RunId(_TASK, 1), EndCause.LAPSED), 5_003.0)
        assert _place_and_start(state, 5_003.0) == ["w1"]
        assert [end.crashes for end in _crash_endpoint(state, "w1", 5_100.0)] == [CrashCount(1, 1)]

    def test_next_incarnation_confirms_crash(self) -> None:
        """A new incarnation confirms a crash after the leases expired, as after a power failure."""
        state = owner_with(endpoint("w1"), endpoint("w2"))
        _submit_and_start(state, 10.0)
        state.handle_unanswered_poll("w2")
        state.handle_lease_expiry("w2", 700.0)
        ((_, end),) = ends_of(state)
        state.begin_incarnation("w2", 3_000.0)
        _deliver_next_attempt(state, end, 3_001.0)
        assert _place_and_start(state, 3_001.0) == ["w1"]
        assert [end.crashes for end in _crash_endpoint(state, "w1", 3_100.0)] == [CrashCount(2, 2)]

    def test_one_crash_per_incarnation(self) -> None:
        """Repeated refused connections and the next incarnation are one crash."""
        state = owner_with(endpoint("w1"))
        _submit_and_start(state, 10.0)
        for now_ms in (20.0, 70.0, 170.0):
            state.handle_crash("w1", now_ms)
        state.begin_incarnation("w1", 200.0)
        state.handle_lease_expiry("w1", 700.0)
        assert [end.crashes for _, end in ends_of(state)] == [CrashCount(1, 1)]

    def test_draining_endpoint_counts_no_crash(self) -> None:
        """The end of a draining endpoint is no crash."""
        state = owner_with(endpoint("w1"))
        _submit_and_start(state, 10.0)
        state.update_endpoint(endpoint("w1", state=EndpointState.DRAINING))
        assert [end.crashes for end in _crash_endpoint(state, "w1", 20.0)] == [CrashCount()]

    def test_start_without_listener(self) -> None:
        """A run whose start order met no listener starts elsewhere at once and is not counted."""
        state = owner_with(endpoint("w1"), endpoint("w2"))
        state.submit(_E1, submission(), 10.0)
        state.place(10.0)
        (start,) = state.actions.pop_starts()
        state.handle_start_outcome(start.run_id, start.endpoint, CallOutcome.NO_LISTENER, 11.0)
        state.handle_crash(start.endpoint, 12.0)
        assert _place_and_start(state, 12.0) == [{"w1": "w2", "w2": "w1"}[start.endpoint]]
        assert not state.actions.pop_stops()
        assert [end.crashes for end in _crash_endpoint(state, "w1", 20.0)] in (
            [CrashCount(1, 1)],
            [],
        )

    def test_a_start_without_an_answer(self) -> None:
        """A run whose start order got no answer is counted."""
        state = owner_with(endpoint("w1"))
        state.submit(_E1, submission(), 10.0)
        state.place(10.0)
        (start,) = state.actions.pop_starts()
        state.handle_start_outcome(start.run_id, "w1", CallOutcome.UNKNOWN, 11.0)
        state.handle_crash("w1", 60.0)
        state.handle_lease_expiry("w1", 700.0)
        state.begin_incarnation("w1", 3_000.0)
        state.report(EndpointReport("w1", (), (), 3_001.0), 3_002.0)
        assert _place_and_start(state, 3_002.0) == ["w1"]
        assert [end.crashes for end in _crash_endpoint(state, "w1", 3_100.0)] == [CrashCount(2, 2)]


class TestIsolationAfterCrash:
    """Isolation of the tasks that ran on a crashed endpoint."""

    def test_each_starts_isolated(self) -> None:
        """Three tasks of one endpoint start on three others, and a new job on none of these."""
        state = owner_with(*(endpoint(f"w{n}") for n in range(1, 6)))
        assert set(_submit_and_start(state, 10.0, tasks=3)) == {"w5"}
        for end in _crash_endpoint(state, "w5", 20.0):
            assert end.crashes == CrashCount(1, 0)
            _deliver_next_attempt(state, end, 700.0)
        placed_on = _place_and_start(state, 700.0)
        assert len(set(placed_on)) == 3
        (new_job_endpoint,) = _submit_and_start(state, 701.0, job_id=_OTHER)
        assert new_job_endpoint not in placed_on

    def test_beside_others_where_none_is_idle(self) -> None:
        """After one crash a task shares an endpoint if none is idle."""
        state = owner_with(endpoint("w1"), endpoint("w2"))
        _submit_and_start(state, 10.0)
        (end,) = _crash_endpoint(state, "w2", 20.0)
        assert _submit_and_start(state, 30.0, job_id=_OTHER) == ["w1"]
        _deliver_next_attempt(state, end, 700.0)
        assert _place_and_start(state, 700.0) == ["w1"]

    def test_after_two_crashes_it_waits(self) -> None:
        """After two crashes a task waits for an idle endpoint and does not share it."""
        state = owner_with(*(endpoint(f"w{n}") for n in (1, 2, 3)))
        for name, now_ms in (("w3", 10.0), ("w2", 1_000.0)):
            message = submission(2, job_id=_JOB, demand=_SMALL)
            orders = [order._replace(attempt=int(now_ms)) for order in message.orders]
            state.submit(_E1, message._replace(orders=orders), now_ms)
            # Place both on one endpoint: no other is eligible.
            for other in set(state.candidates) - {name}:
                state.exclude_from_placement(other)
            assert _place_and_start(state, now_ms) == [name, name]
            for other in set(state.candidates) - {"w2", "w3"}:
                state.report(EndpointReport(other, (), (), now_ms), now_ms)
            ends = _crash_endpoint(state, name, now_ms + 10.0)
            if name == "w3":
                state.report(EndpointReport("w2", (), (), 900.0), 901.0)
        assert [end.crashes for end in ends] == [CrashCount(2, 0)] * 2
        _submit_and_start(state, 1_900.0, job_id=_OTHER)
        for end in ends:
            _deliver_next_attempt(state, end, 2_000.0)
        assert _place_and_start(state, 2_000.0) == []
        other_end = EndedRun(1, RunId(TaskId(_OTHER, 0, 0, 0), 1), EndKind.DONE)
        state.report(EndpointReport("w1", (), (other_end,), 2_100.0), 2_101.0)
        assert _place_and_start(state, 2_101.0) == ["w1"]
        assert _submit_and_start(state, 2_102.0, job_id="2" * 16) == []

    def test_it_ends_once(self) -> None:
        """A normal end removes the task's crash count and isolation."""
        records = CrashRecords()
        records.note_crash([_TASK], has_other_runs=True, now_ms=1.0)
        assert records.isolations == {_TASK: Isolation.PREFERRED}
        records.clear(_TASK)
        assert records.count_of(_TASK) == CrashCount()
        assert not records.isolations


class TestGivenUp:
    """Tasks at their crash limit."""

    def test_ends_before_leases_expire(self) -> None:
        """A task alone on a second crashed endpoint ends before the leases there expire."""
        state = owner_with(endpoint("w1"), endpoint("w2"))
        _submit_and_start(state, 10.0, tasks=2)
        first = _crash_endpoint(state, "w2", 20.0)
        _deliver_next_attempt(state, first[0], 700.0)
        assert _place_and_start(state, 700.0) == ["w1"]
        state.handle_unanswered_poll("w1")
        state.handle_crash("w1", 750.0)
        assert [end.crashes for _, end in ends_of(state)] == [CrashCount(2, 1)]

    def test_submitted_again(self) -> None:
        """A task at its limit does not start; the crash count is returned to its box."""
        state = owner_with(endpoint("w1"))
        order = submission().orders[0]._replace(crashes=CrashCount(2, 1))
        state.submit(_E1, submission(orders=[order]), 10.0)
        assert _place_and_start(state, 10.0) == []
        assert [end.crashes for _, end in ends_of(state)] == [CrashCount(2, 1)]
        # The owner keeps the count when a submission carries none.
        state.submit(_E1, submission(), 2_000.0)
        assert _place_and_start(state, 2_000.0) == []
        assert [end.crashes for _, end in ends_of(state)] == [CrashCount(2, 1)]

    def test_it_is_remembered_for_a_while(self) -> None:
        """Counts expire after ``CRASH_RECORD_TTL_MS``."""
        records = CrashRecords()
        records.note_crash([_TASK], has_other_runs=False, now_ms=1.0)
        records.expire(CRASH_RECORD_TTL_MS)
        assert records.count_of(_TASK) == CrashCount(1, 1)
        records.expire(CRASH_RECORD_TTL_MS + 1.0)
        assert records.count_of(_TASK) == CrashCount()

    def test_a_run_of_another_owner(self) -> None:
        """A task beside an orphaned run was not alone."""
        state = owner_with(endpoint("w1"))
        _submit_and_start(state, 10.0)
        orphan = ActiveRun(RunId(TaskId(_OTHER, 0, 0, 0), 1))
        state.report(EndpointReport("w1", (ActiveRun(RunId(_TASK, 1)), orphan), (), 20.0), 21.0)
        assert [end.crashes for end in _crash_endpoint(state, "w1", 30.0)] == [CrashCount(1, 0)]
