# SPDX-License-Identifier: MIT
"""Zones that lost capacity for good: an endpoint that had been silent was never used again.

Silence says nothing about the speed of an endpoint: a cut, a pause of the endpoint or a late owner
causes it too.
"""

from __future__ import annotations

import pytest

from foldloom.seed_discovery.endpoints.calls import (
    ActiveRun,
    CallOutcome,
    EndedRun,
    EndKind,
    EndpointReport,
)
from foldloom.seed_discovery.jobs.spec import Demand, RunId
from foldloom.seed_discovery.owners.messages import Objective
from foldloom.seed_discovery.scheduling.runs import HolderId
from test_owners_state import endpoint, owner_with, submission

_BOX = HolderId("e1", 1)
_TASK_MS = 60
_ENDPOINTS = 4
_TASKS = 8
_POLL_MS = 20.0
# The usual demands fit twice on an endpoint, so a job of eight tasks needs all of four.
_OBJECTIVE = Objective(0, 1.6, 20, 0)
# Runs of such a job are soon too late to be stopped and started again.
_SHORT_OBJECTIVE = Objective(0, 1.0, 0, 0)
_RECOVERY_MAX_MS = 5_000.0
# An endpoint of half the usual speed still serves jobs with a usual objective in time.
_USABLE_SPEED = 0.5


class _SimulatedZone:
    """An owner's state and endpoints that run tasks of ``_TASK_MS``, by a clock of its own."""

    def __init__(self) -> None:
        self.names = [f"w{number}" for number in range(_ENDPOINTS)]
        self.state = owner_with(*(endpoint(name) for name in self.names))
        self.silent: set[str] = set()
        self.started: dict[str, int] = dict.fromkeys(self.names, 0)
        self._now_ms = 1.0
        self._jobs = 0
        self._sequence = 0
        self._active: dict[str, dict[RunId, float]] = {name: {} for name in self.names}
        self._ended: dict[str, list[EndedRun]] = {name: [] for name in self.names}

    def run(self, duration_ms: float, job_interval_ms: float = 0.0) -> None:
        """Let time pass, and submit a job at each *job_interval_ms*; 0 for none."""
        until_ms = self._now_ms + duration_ms
        next_job_ms = self._now_ms
        while self._now_ms < until_ms:
            if job_interval_ms and self._now_ms >= next_job_ms:
                self.submit()
                next_job_ms += job_interval_ms
            self._now_ms += _POLL_MS
            for name in self.names:
                self._poll(name)
            self.state.tick(self._now_ms)
            self._start_placed()

    def submit(self, objective: Objective = _OBJECTIVE) -> None:
        """Submit a job of as many tasks as the zone has capacity for."""
        self._jobs += 1
        message = submission(
            _TASKS,
            job_id=f"{self._jobs:016x}",
            demand=Demand(6_800, 64, 0),
            estimate_ms=_TASK_MS,
            objective=objective,
            deadline_ms=1_500,
        )
        self.state.submit(_BOX, message, self._now_ms)
        self._start_placed()

    def _start_placed(self) -> None:
        self.state.place(self._now_ms)
        for action in self.state.actions.pop_starts():
            self.started[action.endpoint] += 1
            self._active[action.endpoint][action.run_id] = self._now_ms + _TASK_MS
            self.state.handle_start_outcome(
                action.run_id, action.endpoint, CallOutcome.DONE, self._now_ms
            )
        for stop in self.state.actions.pop_stops():
            self._active[stop.endpoint].pop(stop.run_id, None)
            self.state.handle_stop_outcome(
                stop.run_id, stop.endpoint, CallOutcome.DONE, self._now_ms
            )

    def _poll(self, name: str) -> None:
        active = self._active[name]
        for run_id in [run_id for run_id, end_ms in active.items() if end_ms <= self._now_ms]:
            del active[run_id]
            self._sequence += 1
            self._ended[name].append(EndedRun(self._sequence, run_id, EndKind.DONE))
        if name in self.silent:
            self.state.handle_unanswered_poll(name)
            return
        listed = tuple(ActiveRun(run_id) for run_id in active)
        ended, self._ended[name] = tuple(self._ended[name]), []
        report = EndpointReport(name, listed, ended, self._now_ms - 1.0)
        self.state.report(report, self._now_ms)


def _zone_after_silence(silent_ms: float, silent_count: int) -> _SimulatedZone:
    """Return a zone in which *silent_count* endpoints were silent while they ran tasks."""
    zone = _SimulatedZone()
    zone.run(1_000.0, job_interval_ms=100.0)
    zone.submit()
    zone.silent.update(zone.names[:silent_count])
    zone.run(silent_ms)
    zone.silent.clear()
    zone.run(_POLL_MS)
    return zone


@pytest.mark.parametrize("silent_count", [1, 2, _ENDPOINTS])
@pytest.mark.parametrize("silent_ms", [600.0, 1_000.0, 3_000.0])
class TestSilentEndpoint:
    """An endpoint runs tasks while it is not heard, and is sound afterwards."""

    def test_its_speed(self, silent_ms: float, silent_count: int) -> None:
        """Guards against an endpoint that counts as slow because its reports did not arrive."""
        zone = _zone_after_silence(silent_ms, silent_count)
        assert min(map(zone.state.speed_of, zone.names)) >= _USABLE_SPEED

    def test_it_is_used(self, silent_ms: float, silent_count: int) -> None:
        """Guards against capacity that is lost for the rest of the owner's term."""
        zone = _zone_after_silence(silent_ms, silent_count)
        before = dict(zone.started)
        zone.run(_RECOVERY_MAX_MS, job_interval_ms=100.0)
        assert all(zone.started[name] > before[name] for name in zone.names)


class TestDurationEstimates:
    """The estimated duration of a queue's tasks after several silences."""

    def test_they_leave_out_the_silence(self) -> None:
        """Guards against jobs given up early because an end was reported late."""
        zone = _SimulatedZone()
        for _ in range(5):
            zone.run(1_000.0, job_interval_ms=100.0)
            zone.submit(_SHORT_OBJECTIVE)
            zone.silent.update(zone.names)
            zone.run(3_000.0)
            zone.silent.clear()
            zone.run(_POLL_MS)
        assert zone.state._lifecycle._estimates.expected_ms("q", 0.0) < 2 * _TASK_MS


class TestSlowEndpoint:
    """An endpoint that was slow is tried again."""

    def test_its_estimate_ages(self) -> None:
        """Guards against an endpoint that is left out for good after it was slow for a while."""
        zone = _SimulatedZone()
        zone.run(1_000.0, job_interval_ms=100.0)
        for _ in range(100):
            zone.state._lifecycle.speeds.record("w0", 20 * _TASK_MS, _TASK_MS)
        before = zone.started["w0"]
        zone.run(_RECOVERY_MAX_MS, job_interval_ms=100.0)
        assert zone.started["w0"] > before
