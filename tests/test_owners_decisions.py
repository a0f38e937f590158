# SPDX-License-Identifier: MIT
"""Unit tests of an owner's pure decisions: reports, recovery, stragglers, tombstones."""

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


class TestClassifyEnd:
    """Only matching ends finish a run."""

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
        """The effect depends on the attempt, the endpoint and the run's state."""
        end = EndedRun(1, RunId(_TASK, attempt), how)
        assert classify_end(run_in(state), end, endpoint) is expected


class TestClassifyAbsence:
    """A run missing from a report has ended only if the report is conclusive."""

    def test_running_is_lost(self) -> None:
        """A running run is lost only if the report was polled after the start took effect."""
        run = run_in(RunState.RUNNING)
        assert classify_absence(run, 100.0) is None
        assert classify_absence(run, 101.0) is EndCause.LOST

    def test_stopping_waits_for_the_stop(self) -> None:
        """A stopping run may still start until the endpoint has confirmed the stop."""
        run = run_in(RunState.STOPPING)
        assert classify_absence(run, 500.0) is None
        run.stop_confirmed_ms = 200.0
        assert classify_absence(run, 200.0) is None
        assert classify_absence(run, 201.0) is EndCause.STOPPED

    def test_starting_is_undecided(self) -> None:
        """The start may still be in flight."""
        assert classify_absence(run_in(RunState.STARTING), 500.0) is None


class TestOrphans:
    """Listed runs that do not match the owner's current run."""

    def test_is_orphan(self) -> None:
        """A run that is unknown, another attempt, or on another endpoint is orphaned."""
        run = run_in(RunState.RUNNING)
        assert is_orphan(None, 2, "w1")
        assert is_orphan(run, 1, "w1")
        assert is_orphan(run, 2, "w2")
        assert not is_orphan(run, 2, "w1")


class TestRecovery:
    """Guards against ending an earlier owner's runs while they may be active, or never."""

    def test_until_the_lease_has_lapsed(self) -> None:
        """A run is lost once the earlier owner's grant and its lease have ended."""
        run = run_in(RunState.RECOVERING)
        run.recovery_bound = recovery_bound(1_000.0, 200.0, 750.0)
        assert not is_lost(run, [], False, 1_949.0)
        assert is_lost(run, [], False, 1_950.0)

    def test_once_every_endpoint_has_reported(self) -> None:
        """A run is lost once all endpoints have reported, if the catalog is complete."""
        run = run_in(RunState.RECOVERING)
        run.recovery_bound = recovery_bound(1_000.0, 200.0, 750.0)
        assert is_lost(run, [1_201.0, 1_300.0], True, 1_301.0)
        assert not is_lost(run, [1_200.0, 1_300.0], True, 1_301.0)
        assert not is_lost(run, [1_201.0, 1_300.0], False, 1_301.0)


class TestStragglers:
    """Thresholds for overdue and stuck runs."""

    def test_overdue_before_stuck(self) -> None:
        """A run is overdue well before it is stuck."""
        assert not is_overdue(200.0, 100.0)
        assert is_overdue(201.0, 100.0)
        assert not is_stuck(340.0, 100.0)
        assert is_stuck(341.0, 100.0)

    def test_stopped_before(self) -> None:
        """After a stop, the next attempt is stuck only after twice the duration."""
        assert not is_stuck(800.0, 100.0, 400.0)
        assert is_stuck(801.0, 100.0, 400.0)


class TestTombstones:
    """Tombstones reject late copies of deliveries."""

    def test_covers_late_copies_only(self) -> None:
        """Only numbered deliveries of the same box up to the latest one are covered."""
        known = Tombstones()
        run = run_in(RunState.RUNNING)
        run.holders[_BOX] = 7
        known.add(run, 0.0)
        tombstone = known.get(_TASK)
        assert tombstone is not None
        assert tombstone.is_duplicate(_BOX, 7)
        assert tombstone.is_duplicate(_BOX, 6)
        assert not tombstone.is_duplicate(_BOX, 8)
        assert not tombstone.is_duplicate(_BOX, 0)
        assert not tombstone.is_duplicate(HolderId("e2", 1), 7)
