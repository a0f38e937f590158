# SPDX-License-Identifier: MIT
"""Boxes that lacked processor time and served almost nothing: jobs waited for the box itself."""

from __future__ import annotations

import random
from typing import NamedTuple

import pytest

from foldloom.seed_discovery.owners.messages import SubmitStatus
from foldloom.seed_discovery.owners.state import OwnerState
from foldloom.seed_discovery.scheduling.overload import (
    TARGET_DELAY_MS,
    UPDATE_INTERVAL_MS,
    OverloadControl,
)
from foldloom.seed_discovery.scheduling.runs import HolderId
from test_owners_state import endpoint, owner_with, submission

_BOX = HolderId("e1", 1)
_LATE_MS = 100.0
_TICK_MS = 5.0
_SECONDS = 20.0
_SETTLED_S = 4.0
# Work for a rejected job, as a share of that for an accepted one.
_REJECTION_COST = 0.05
# The target: what is served falls no faster than the processor time does, a tenth for control.
_SERVED_MIN = 0.9
_DELAY_MAX_MS = 100.0


class _Outcome(NamedTuple):
    """Results of a simulated box: share of its time spent on accepted jobs; longest delay."""

    served_share: float
    longest_delay_ms: float
    rejected_share: float


def _simulate(load: float, until_s: float = _SECONDS, later_load: float | None = None) -> _Outcome:
    """Return what a box serves under *load*, where 1 is as much as it can do.

    The delay of its events is the work that waits. The load changes to *later_load* half-way.
    """
    control, draws = OverloadControl(random.Random(1)), random.Random(2)
    waiting_ms = served_ms = longest_ms = 0.0
    now_ms = UPDATE_INTERVAL_MS
    while now_ms < until_s * 1_000:
        is_later = later_load is not None and now_ms > until_s * 500
        offered_ms = (later_load if is_later and later_load is not None else load) * _TICK_MS
        offered_ms *= draws.uniform(0.7, 1.3)
        accepted_ms = offered_ms * (1 - control.rejected_share)
        rejection_ms = offered_ms * control.rejected_share * _REJECTION_COST
        waiting_ms += accepted_ms + rejection_ms
        done_ms = min(waiting_ms, _TICK_MS)
        waiting_ms -= done_ms
        if now_ms > _SETTLED_S * 1_000:
            served_ms += max(0.0, done_ms - rejection_ms)
            longest_ms = max(longest_ms, waiting_ms)
        control.update(waiting_ms, now_ms)
        now_ms += _TICK_MS
    settled_ms = (until_s - _SETTLED_S) * 1_000
    return _Outcome(served_ms / settled_ms, longest_ms, control.rejected_share)


class TestDelay:
    """The control loop with a box whose events wait for the work before them."""

    @pytest.mark.parametrize("load", [1.1, 1.5, 2.0, 3.0])
    def test_overload(self, load: float) -> None:
        """Guards against a box that falls further behind the more it is offered."""
        outcome = _simulate(load)
        rejections = load * outcome.rejected_share * _REJECTION_COST
        assert outcome.served_share + rejections >= _SERVED_MIN
        assert outcome.longest_delay_ms <= _DELAY_MAX_MS

    def test_usual_load(self) -> None:
        """A box that is on time rejects nothing."""
        assert _simulate(0.8).rejected_share == 0.0

    def test_end_of_the_overload(self) -> None:
        """The box takes all jobs again soon after it is on time."""
        assert _simulate(2.0, later_load=0.5).rejected_share == 0.0

    def test_one_pause(self) -> None:
        """A pause that is over does not count as an overload."""
        control = OverloadControl()
        for number, delay_ms in enumerate([0.0, 0.0, 3_000.0, 0.0, 0.0], start=1):
            control.update(delay_ms, number * UPDATE_INTERVAL_MS)
        assert control.rejected_share == 0.0


def _late_control(seed: int = 1) -> OverloadControl:
    """Return the control of a box that has been late for a while."""
    control = OverloadControl(random.Random(seed))
    for number in range(1, 8):
        control.update(_LATE_MS, number * UPDATE_INTERVAL_MS)
    assert _LATE_MS > TARGET_DELAY_MS
    return control


class TestRejections:
    """Which jobs are rejected, and when their callers may return."""

    def test_priorities(self) -> None:
        """The highest priority is rejected less often, but not never."""
        control = _late_control()
        rejected = [sum(control.reject(level) > 0 for _ in range(2_000)) for level in (0, 1)]
        assert 0 < rejected[0] < rejected[1]

    def test_retry_delays_differ(self) -> None:
        """Guards against callers that all return at once."""
        control = _late_control()
        delays = [delay for delay in (control.reject(1) for _ in range(200)) if delay]
        assert len(set(delays)) > len(delays) / 2
        assert all(100 <= delay <= 5_000 for delay in delays)


def _late_owner() -> OwnerState:
    """Return an owner with free endpoints on a box that rejects almost all new jobs."""
    control = OverloadControl(random.Random(1))
    for number in range(1, 40):
        control.update(400.0, number * UPDATE_INTERVAL_MS)
    state = OwnerState(750.0, overload=control)
    state.update_endpoint(endpoint("w1"))
    return state


class TestLateOwner:
    """Jobs that reach an owner whose box is late."""

    def test_new_job(self) -> None:
        """It is rejected with a retry delay before anything is done for it."""
        state = _late_owner()
        replies = [
            state.submit(_BOX, submission(job_id=f"{number:016x}", priority=1), 10.0)
            for number in range(50)
        ]
        refused = [reply for reply in replies if reply.status is SubmitStatus.REFUSED]
        assert len(refused) > 40
        assert all(reply.reason == "overload" and reply.retry_after_ms for reply in refused)
        assert len(state.run_queue) == len(replies) - len(refused)

    def test_late_copy(self) -> None:
        """A copy of a rejected delivery starts nothing."""
        state = _late_owner()
        message = submission(priority=1)
        order = message.orders[0]._replace(delivery=7)
        message = message._replace(orders=[order])
        while state.submit(_BOX, message, 10.0).status is not SubmitStatus.REFUSED:
            state = _late_owner()
        assert state.submit(_BOX, message, 11.0).status is SubmitStatus.REFUSED
        assert len(state.run_queue) == 0

    @pytest.mark.parametrize("change", [{"is_resumed": True}, {"is_moved": True}, {"attempt": 2}])
    def test_job_that_is_under_way(self, change: dict[str, object]) -> None:
        """Guards against work that is lost because its owner changed."""
        state = _late_owner()
        for number in range(50):
            message = submission(job_id=f"{number:016x}", priority=1)
            orders = [order._replace(**change) for order in message.orders]
            reply = state.submit(_BOX, message._replace(orders=orders), 10.0)
            assert reply.status is SubmitStatus.TAKEN

    def test_known_job(self) -> None:
        """A job that is delivered by a second box attaches to its runs."""
        state = owner_with(endpoint("w1"))
        state.submit(_BOX, submission(priority=1), 10.0)
        state._admission._overload = _late_control()
        for number in range(20):
            holder = HolderId("e2", number)
            assert state.submit(holder, submission(priority=1), 11.0).status is SubmitStatus.TAKEN
