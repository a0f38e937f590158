# SPDX-License-Identifier: MIT
"""An owner's decisions as plain functions: reports, recovery, stragglers, tombstones."""

from __future__ import annotations

import pytest

from foldloom.seed_discovery.endpoints.calls import EndedRun, EndKind
from foldloom.seed_discovery.jobs.spec import Demand, Placement, RunId, TaskId
from foldloom.seed_discovery.owners.messages import EndCause
from foldloom.seed_discovery.owners.recovery import is_lost, recovery_bound
from foldloom.seed_discovery.owners.reports import (
    ListedEnd,
    classify_absence,
    classify_end,
    is_orphan,
)
from foldloom.seed_discovery.owners.stragglers import is_overdue, is_stuck
from foldloom.seed_discovery.owners.tombstones import Tombstones
from foldloom.seed_discovery.scheduling.runs import HolderId, Run, RunSpec, RunState

_TASK = TaskId("0" * 16, 0, 0, 0)
_SPEC = RunSpec(
    _TASK.job_id, "q", "svc", "", Demand(), Placement(), 0, 100, 0.0, 1.6, 60.0, 0.0, 1, 10_000.0
)
_BOX = HolderId("e1", 1)


def run_in(state: RunState, attempt: int = 2, since_ms: float = 100.0, endpoint: str = "w1") -> Run:
    """Return a run that has been in *state* on *endpoint* since *since_ms*."""
    run = Run(_TASK, attempt, _SPEC, RunState.QUEUED, 0.0)
    run.enter(state, since_ms, endpoint)
    return run


class TestJudgeEnd:
    """What a listed end means."""

    @pytest.mark.parametrize(
        ("state", "attempt", "how", "endpoint", "expected"),
        [
            (RunState.RUNNING, 2, EndKind.DONE, "w1", ListedEnd.FINISHES),
            (RunState.RUNNING, 2, EndKind.FAILED, "w1", ListedEnd.FINISHES),
            (RunState.RUNNING, 1, EndKind.DONE, "w1", ListedEnd.OUTDATED),
            (RunState.RUNNING, 2, EndKind.DONE, "w2", ListedEnd.OUTDATED),
            (RunState.RECOVERING, 2, EndKind.DONE, "w2", ListedEnd.FINISHES),
            (RunState.RECOVERING, 3, EndKind.STOPPED, "w2", ListedEnd.ADVANCES),
            (RunState.RECOVERING, 1, EndKind.DONE, "w2", ListedEnd.OUTDATED),
        ],
    )
    def test_verdict(
        self, state: RunState, attempt: int, how: EndKind, endpoint: str, expected: ListedEnd
    ) -> None:
        """By the attempt, the place, and whether the run is recovering."""
        end = EndedRun(1, RunId(_TASK, attempt), how)
        assert classify_end(run_in(state), end, endpoint) is expected


class TestJudgeAbsence:
    """A run that a report does not list."""

    def test_running_is_lost(self) -> None:
        """Only by a report that was asked for after the start took effect."""
        run = run_in(RunState.RUNNING)
        assert classify_absence(run, 100.0) is None
        assert classify_absence(run, 101.0) is EndCause.LOST

    def test_stopping_waits_for_the_stop(self) -> None:
        """A start that is under way may come until the endpoint has confirmed the stop."""
        run = run_in(RunState.STOPPING)
        assert classify_absence(run, 500.0) is None
        run.stop_known_ms = 200.0
        assert classify_absence(run, 200.0) is None
        assert classify_absence(run, 201.0) is EndCause.STOPPED

    def test_starting_is_undecided(self) -> None:
        """The order may still be under way."""
        assert classify_absence(run_in(RunState.STARTING), 500.0) is None


class TestOrphans:
    """Runs that are present and not expected."""

    def test_is_orphan(self) -> None:
        """Unknown, of another attempt, or expected elsewhere."""
        run = run_in(RunState.RUNNING)
        assert is_orphan(None, 2, "w1")
        assert is_orphan(run, 1, "w1")
        assert is_orphan(run, 2, "w2")
        assert not is_orphan(run, 2, "w1")


class TestRecovery:
    """Runs of an earlier owner."""

    def test_until_the_lease_has_lapsed(self) -> None:
        """The earlier right, then its lease."""
        run = run_in(RunState.RECOVERING)
        run.recovery_bound = recovery_bound(1_000.0, 200.0, 750.0)
        assert not is_lost(run, [], False, 1_949.0)
        assert is_lost(run, [], False, 1_950.0)

    def test_once_every_endpoint_has_reported(self) -> None:
        """After the earlier right, if all endpoints are known."""
        run = run_in(RunState.RECOVERING)
        run.recovery_bound = recovery_bound(1_000.0, 200.0, 750.0)
        assert is_lost(run, [1_201.0, 1_300.0], True, 1_301.0)
        assert not is_lost(run, [1_200.0, 1_300.0], True, 1_301.0)
        assert not is_lost(run, [1_201.0, 1_300.0], False, 1_301.0)


class TestStragglers:
    """Runs that take too long."""

    def test_overdue_before_stuck(self) -> None:
        """A run tells that its endpoint is slow before it is stopped."""
        assert not is_overdue(200.0, 100.0)
        assert is_overdue(201.0, 100.0)
        assert not is_stuck(340.0, 100.0)
        assert is_stuck(341.0, 100.0)

    def test_stopped_before(self) -> None:
        """The next run of a task goes on for twice as long as the one that was stopped."""
        assert not is_stuck(800.0, 100.0, 400.0)
        assert is_stuck(801.0, 100.0, 400.0)


class TestTombstones:
    """What is remembered of tasks."""

    def test_covers_late_copies_only(self) -> None:
        """A copy of a delivery that is over, of the same box."""
        known = Tombstones()
        run = run_in(RunState.RUNNING)
        run.holders[_BOX] = 7
        known.add(run, 0.0)
        tombstone = known.get(_TASK)
        assert tombstone is not None
        assert tombstone.covers(_BOX, 7)
        assert tombstone.covers(_BOX, 6)
        assert not tombstone.covers(_BOX, 8)
        assert not tombstone.covers(_BOX, 0)
        assert not tombstone.covers(HolderId("e2", 1), 7)
