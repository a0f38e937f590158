# SPDX-License-Identifier: MIT
"""A task on two endpoints: an unanswered start is executed by an undiscovered incarnation.

A confirmed stop covers one incarnation only, so the task stays with the endpoint that may still
start it.
"""

from __future__ import annotations

from typing import Any

import pytest

from foldloom.seed_discovery.endpoints.calls import (
    ActiveRun,
    CallOutcome,
    EndedRun,
    EndKind,
    EndpointReport,
)
from foldloom.seed_discovery.jobs.spec import RunId, TaskId
from foldloom.seed_discovery.owners.messages import EndCause, EndpointBinding, Objective
from foldloom.seed_discovery.owners.state import OwnerState
from foldloom.seed_discovery.owners.unanswered_starts import UNANSWERED_ORDER_TTL_MS
from foldloom.seed_discovery.scheduling.remote_groups import GroupId, group_of
from foldloom.seed_discovery.scheduling.runs import HolderId
from test_owners_state import endpoint, ends_of, owner_with, submission

_HOLDER = HolderId("e1", 1)
_UNANSWERED_MS = 260.0
_STOPPED_MS = 281.0
_GROUP = GroupId("0" * 16, 0, 0)


def _report(
    state: OwnerState, name: str, now_ms: float, *active: RunId, ended: tuple[EndedRun, ...] = ()
) -> None:
    runs = tuple(ActiveRun(run_id) for run_id in active)
    born_ms = state.candidates[name].record.born_ms
    state.report(EndpointReport(name, runs, ended, now_ms - 1, born_ms), now_ms)


def _owner_with_unanswered_start(born_ms: int = 1, **changes: Any) -> tuple[OwnerState, str, RunId]:
    """Return an owner of two endpoints, and the endpoint and id of a run stopped after no answer.

    The present incarnation of the endpoint has confirmed the stop.
    """
    state = owner_with(endpoint("w1", born_ms=born_ms), endpoint("w2", born_ms=born_ms))
    state.submit(_HOLDER, submission(**changes), 10.0)
    state.place(10.0)
    start = state.actions.pop_starts()[0]
    state.handle_start_outcome(start.run_id, start.endpoint, CallOutcome.UNKNOWN, _UNANSWERED_MS)
    state.actions.pop_stops()
    state.handle_stop_outcome(start.run_id, start.endpoint, CallOutcome.DONE, 270.0)
    _report(state, start.endpoint, _STOPPED_MS)
    return state, start.endpoint, start.run_id


def _other(name: str) -> str:
    return "w2" if name == "w1" else "w1"


def _started_on(state: OwnerState, now_ms: float) -> list[tuple[str, int]]:
    """Place the queued runs; return endpoint and attempt of each start."""
    state.place(now_ms)
    return [(start.endpoint, start.run_id.attempt) for start in state.actions.pop_starts()]


class TestPlacement:
    """Where a task with an unanswered start is started again."""

    def test_on_the_same_endpoint(self) -> None:
        """A higher attempt on the same endpoint excludes the unanswered one there."""
        state, name, _ = _owner_with_unanswered_start()
        assert _started_on(state, 300.0) == [(name, 2)]

    def test_nowhere_while_the_endpoint_is_silent(self) -> None:
        """The next incarnation could execute the unanswered start beside a run elsewhere."""
        state, name, _ = _owner_with_unanswered_start()
        state.handle_unanswered_poll(name)
        assert _started_on(state, 300.0) == []
        _report(state, name, 900.0)
        assert _started_on(state, 901.0) == [(name, 2)]

    def test_in_the_next_incarnation(self) -> None:
        """The next incarnation gets the task once its first report does not list it."""
        state, name, _ = _owner_with_unanswered_start()
        state.begin_incarnation(name, 400.0)
        assert _started_on(state, 401.0) == []
        state.update_endpoint(endpoint(name, born_ms=2))
        _report(state, name, 500.0)
        assert _started_on(state, 501.0) == [(name, 2)]

    def test_late_start_in_the_next_incarnation(self) -> None:
        """An undiscovered incarnation that has executed the start keeps the run."""
        state, name, run_id = _owner_with_unanswered_start()
        state.handle_unanswered_poll(name)
        assert _started_on(state, 300.0) == []
        state.begin_incarnation(name, 400.0)
        state.update_endpoint(endpoint(name, born_ms=2))
        _report(state, name, 500.0, run_id)
        assert _started_on(state, 501.0) == []
        _report(state, name, 600.0, ended=(EndedRun(1, run_id, EndKind.DONE),))
        assert [end.cause for _, end in ends_of(state)] == [EndCause.DONE]

    def test_late_start_beside_the_next_attempt(self) -> None:
        """An incarnation that lists the unanswered run in place of the next one keeps the task."""
        state, name, run_id = _owner_with_unanswered_start()
        assert _started_on(state, 300.0) == [(name, 2)]
        state.handle_start_outcome(run_id._replace(attempt=2), name, CallOutcome.DONE, 301.0)
        state.begin_incarnation(name, 400.0)
        state.update_endpoint(endpoint(name, born_ms=2))
        _report(state, name, 500.0, run_id)
        assert ends_of(state) == []
        assert _started_on(state, 501.0) == []
        _report(state, name, 510.0, run_id)
        _report(state, name, 600.0, ended=(EndedRun(1, run_id, EndKind.DONE),))
        assert [end.cause for _, end in ends_of(state)] == [EndCause.DONE]

    def test_slow_endpoint(self) -> None:
        """A start on a slow endpoint is better than none."""
        state, name, _ = _owner_with_unanswered_start(deadline_ms=500)
        state._lifecycle.speeds.note_overdue(name, 10_000.0, 100.0)
        assert _started_on(state, 300.0) == [(name, 2)]

    def test_other_tasks_of_the_step(self) -> None:
        """The step's other tasks start on any endpoint."""
        state, name, run_id = _owner_with_unanswered_start()
        state.handle_unanswered_poll(name)
        state.submit(_HOLDER, submission(2), 290.0)
        assert _started_on(state, 300.0) == [(_other(name), 1)]
        assert state.current_run(run_id.task) is not None

    def test_anywhere_after_the_order_expired(self) -> None:
        """An expired order binds the task no longer."""
        state, name, _ = _owner_with_unanswered_start()
        state.handle_unanswered_poll(name)
        assert _started_on(state, _UNANSWERED_MS + UNANSWERED_ORDER_TTL_MS - 1.0) == []
        state.tick(_UNANSWERED_MS + UNANSWERED_ORDER_TTL_MS)
        now_ms = _UNANSWERED_MS + UNANSWERED_ORDER_TTL_MS
        assert _started_on(state, now_ms) == [(_other(name), 2)]

    def test_anywhere_after_the_order_was_executed(self) -> None:
        """An order is executed once: an endpoint that lists the run will not start it again."""
        state, name, run_id = _owner_with_unanswered_start()
        _report(state, name, 290.0, ended=(EndedRun(1, run_id, EndKind.STOPPED),))
        state.handle_unanswered_poll(name)
        assert _started_on(state, 300.0) == [(_other(name), 2)]

    def test_id_for_each_incarnation(self) -> None:
        """No task waits for an endpoint once another id answers at its address."""
        state, name, run_id = _owner_with_unanswered_start(born_ms=0)
        state.handle_unanswered_poll(name)
        assert _started_on(state, 290.0) == []
        state.handle_other_id(name, 295.0)
        assert _started_on(state, 300.0) == [(_other(name), 2)]
        assert EndpointBinding(run_id, name, is_lifted=True) in state.actions.pop_reports()

    def test_another_id_in_place_of_a_birth(self) -> None:
        """The incarnation has ended, also in a service that reuses ids."""
        state, name, _ = _owner_with_unanswered_start()
        state.handle_other_id(name, 290.0)
        state.handle_unanswered_poll(name)
        assert _started_on(state, 300.0) == [(_other(name), 2)]

    @pytest.mark.parametrize("born_ms", [0, 1])
    def test_another_id_at_another_address(self, born_ms: int) -> None:
        """It says nothing of this endpoint, whose next incarnation may keep its id.

        An address may have been passed on to another endpoint.
        """
        state, name, run_id = _owner_with_unanswered_start(born_ms=born_ms)
        state.handle_other_id(_other(name), 290.0)
        state.handle_unanswered_poll(name)
        state.update_endpoint(endpoint("w3"))
        _report(state, "w3", 295.0)
        assert _started_on(state, 300.0) == []
        assert state.actions.pop_reports() == [EndpointBinding(run_id, name)]

    def test_before_the_first_birth(self) -> None:
        """The next incarnation may be the first of its service to report its birth."""
        state, name, run_id = _owner_with_unanswered_start(born_ms=0)
        assert EndpointBinding(run_id, name) in state.actions.pop_reports()
        state.handle_unanswered_poll(name)
        assert _started_on(state, 300.0) == []
        state.begin_incarnation(name, 400.0)
        state.update_endpoint(endpoint(name, born_ms=2))
        _report(state, name, 500.0)
        assert _started_on(state, 501.0) == [(name, 2)]


class TestAnswers:
    """What a caller is told of a job whose task is bound."""

    def test_order_of_another_owner(self) -> None:
        """The order may be executed, although this owner has started nothing."""
        state = owner_with(endpoint("w1", born_ms=1))
        task = TaskId(submission().job_id, 0, 0, 0)
        binding = EndpointBinding(RunId(task, 1), "w1")
        state.submit(_HOLDER, submission(bindings=(binding,)), 10.0)
        assert state.cancel(_HOLDER, task.job_id, 20.0)

    def test_no_order(self) -> None:
        """Nothing may have started otherwise."""
        state = owner_with(endpoint("w1", born_ms=1))
        state.submit(_HOLDER, submission(), 10.0)
        assert not state.cancel(_HOLDER, submission().job_id, 20.0)


class TestEnds:
    """A bound task is started again by its owner: its box could deliver it to another zone."""

    def test_lapsed(self) -> None:
        """The lease of the task's next attempt has expired."""
        state, name, _ = _owner_with_unanswered_start()
        state.place(300.0)
        start = state.actions.pop_starts()[0]
        state.handle_start_outcome(start.run_id, name, CallOutcome.DONE, 301.0)
        state.handle_unanswered_poll(name)
        state.handle_lease_expiry(name, 1_500.0)
        assert ends_of(state) == []
        assert _started_on(state, 1_501.0) == []
        _report(state, name, 1_600.0)
        assert _started_on(state, 1_601.0) == [(name, 3)]

    def test_removed_endpoint(self) -> None:
        """The endpoint leaves and rejoins under its id."""
        state, name, _ = _owner_with_unanswered_start()
        state.remove_endpoint(name, 290.0)
        assert _started_on(state, 300.0) == []
        state.update_endpoint(endpoint(name, born_ms=2))
        _report(state, name, 500.0)
        assert _started_on(state, 501.0) == [(name, 2)]

    def test_removed_before_the_answer(self) -> None:
        """The endpoint leaves while the answer to the start is awaited."""
        state = owner_with(endpoint("w1", born_ms=1), endpoint("w2", born_ms=1))
        state.submit(_HOLDER, submission(), 10.0)
        state.place(10.0)
        start = state.actions.pop_starts()[0]
        state.remove_endpoint(start.endpoint, 100.0)
        assert ends_of(state) == []
        assert _started_on(state, 101.0) == []

    def test_refused_after_the_removal(self) -> None:
        """An endpoint that has refused the start will not execute it."""
        state = owner_with(endpoint("w1", born_ms=1), endpoint("w2", born_ms=1))
        state.submit(_HOLDER, submission(), 10.0)
        state.place(10.0)
        start = state.actions.pop_starts()[0]
        state.remove_endpoint(start.endpoint, 100.0)
        state.handle_start_outcome(start.run_id, start.endpoint, CallOutcome.NO_LISTENER, 110.0)
        assert _started_on(state, 111.0) == [(_other(start.endpoint), 2)]

    def test_too_late(self) -> None:
        """A task whose endpoint is not back in time ends as unattainable, before its deadline."""
        state, name, _ = _owner_with_unanswered_start(
            objective=Objective(0, 1.6, 0, 0), deadline_ms=1_000
        )
        state.handle_unanswered_poll(name)
        state.tick(950.0)
        assert [end.cause for _, end in ends_of(state)] == [EndCause.UNATTAINABLE]


class TestOtherZones:
    """A bound task is not handed to another zone, whose attempts are numbered on their own."""

    def test_is_neither_offered_nor_released(self) -> None:
        """The owner of another zone neither learns of the task nor gets it."""
        state, name, run_id = _owner_with_unanswered_start()
        state.handle_unanswered_poll(name)
        assert group_of(run_id.task) == _GROUP
        assert state.offer(300.0) == []
        assert state.release_to_zone(_GROUP, 1, "b", 301.0) == 0
        assert ends_of(state) == []

    def test_other_tasks_of_the_step(self) -> None:
        """The step's other queued tasks are offered and released."""
        state, name, run_id = _owner_with_unanswered_start()
        for one in ("w1", "w2"):
            state.handle_unanswered_poll(one)
        state.submit(_HOLDER, submission(3), 290.0)
        assert [summary.waiting for summary in state.offer(300.0)] == [2]
        assert state.release_to_zone(_GROUP, 3, "b", 301.0) == 2
        assert run_id.task not in [end.run_id.task for _, end in ends_of(state)]


class TestSubmittedAgain:
    """The job is submitted again under its id after it was cancelled."""

    def test_stays_with_its_endpoint(self) -> None:
        """The new submission starts on the same endpoint, with a higher attempt."""
        state, name, _ = _owner_with_unanswered_start()
        state.cancel(_HOLDER, "0" * 16, 290.0)
        state.handle_unanswered_poll(name)
        # The cancelled run's tombstone has expired, the unanswered order has not.
        state.tick(9_000.0)
        state.submit(_HOLDER, submission(), 9_000.0)
        assert _started_on(state, 9_001.0) == []
        _report(state, name, 9_100.0)
        assert _started_on(state, 9_101.0) == [(name, 2)]
