# SPDX-License-Identifier: MIT
"""Simulated endpoint: leases, fencing, run ends, and late orders."""

from __future__ import annotations

from typing import NamedTuple

from foldloom.seed_discovery.endpoints.calls import ActiveRun, CallOutcome, EndedRun, EndKind
from foldloom.seed_discovery.jobs.spec import RunId, TaskId

# Longest lease an endpoint accepts, in milliseconds of its own clock.
LEASE_MAX_MS = 1_000.0


class PollResult(NamedTuple):
    """The reply to a poll."""

    outcome: CallOutcome
    clock_ms: float
    active: tuple[ActiveRun, ...]
    ended: tuple[EndedRun, ...]


class SimulatedEndpoint:
    """One life of an endpoint.

    Args:
        name: Id of the endpoint.
        clock_rate: Rate of its clock relative to the test's clock.
        started_ms: Time on the test's clock at which this life and the endpoint's clock start.
    """

    def __init__(self, name: str, clock_rate: float, started_ms: float = 0.0) -> None:
        self.name = name
        self.is_reachable = True
        self.active: dict[TaskId, int] = {}
        self.token = 0
        self._clock_rate = clock_rate
        self._started_ms = started_ms
        self._lease_end = 0.0
        self._unacknowledged: list[EndedRun] = []
        self._last_sequence = 0
        self._last_attempts: dict[TaskId, int] = {}

    def clock(self, now_ms: float) -> float:
        """Return the time on the endpoint's clock."""
        return 10_000.0 + (now_ms - self._started_ms) * self._clock_rate

    def lease_left_ms(self, now_ms: float) -> float:
        """Return for how long the lease lasts, by the endpoint's clock."""
        return self._lease_end - self.clock(now_ms)

    def lapse(self, now_ms: float) -> None:
        """End all runs if the lease has expired."""
        if self.clock(now_ms) < self._lease_end:
            return
        for task in list(self.active):
            self._end(task, EndKind.LAPSED)

    def start(self, run_id: RunId, token: int, lease_until: float, now_ms: float) -> CallOutcome:
        """Carry out a start order."""
        self.lapse(now_ms)
        if token < self.token:
            return CallOutcome.FENCED
        self.token = token
        if lease_until <= self.clock(now_ms):
            return CallOutcome.LATE
        if self.active.get(run_id.task) == run_id.attempt:
            return CallOutcome.DONE
        if run_id.attempt <= self._last_attempts.get(run_id.task, 0) or run_id.task in self.active:
            return CallOutcome.OLD_RUN
        self._renew(lease_until, now_ms)
        self.active[run_id.task] = run_id.attempt
        return CallOutcome.DONE

    def stop(self, run_id: RunId, token: int, now_ms: float) -> CallOutcome:
        """Carry out a stop order."""
        self.lapse(now_ms)
        if token < self.token:
            return CallOutcome.FENCED
        self.token = token
        if self.active.get(run_id.task) == run_id.attempt:
            self._end(run_id.task, EndKind.STOPPED)
        self._close(run_id.task, run_id.attempt)
        return CallOutcome.DONE

    def look(self, token: int, last_sequence: int, lease_until: float, now_ms: float) -> PollResult:
        """Serve a poll: renew the lease; return active runs and ends after *last_sequence*."""
        self.lapse(now_ms)
        clock_ms = self.clock(now_ms)
        if token < self.token:
            return PollResult(CallOutcome.FENCED, clock_ms, (), ())
        self.token = token
        self._renew(lease_until, now_ms)
        self._unacknowledged = [end for end in self._unacknowledged if end.sequence > last_sequence]
        active = tuple(ActiveRun(RunId(task, attempt)) for task, attempt in self.active.items())
        return PollResult(CallOutcome.DONE, clock_ms, active, tuple(self._unacknowledged))

    def finish(self, task: TaskId, how: EndKind, now_ms: float) -> None:
        """End the active run of *task*, if any."""
        self.lapse(now_ms)
        if task in self.active:
            self._end(task, how)

    def _renew(self, lease_until: float, now_ms: float) -> None:
        self._lease_end = max(self._lease_end, min(lease_until, self.clock(now_ms) + LEASE_MAX_MS))

    def _end(self, task: TaskId, kind: EndKind) -> None:
        attempt = self.active.pop(task)
        self._last_sequence += 1
        self._unacknowledged.append(EndedRun(self._last_sequence, RunId(task, attempt), kind))
        self._close(task, attempt)

    def _close(self, task: TaskId, attempt: int) -> None:
        self._last_attempts[task] = max(attempt, self._last_attempts.get(task, 0))
