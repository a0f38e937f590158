# SPDX-License-Identifier: MIT
"""State of a task's present run at its owner."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from foldloom.seed_discovery.jobs.spec import Demand, Placement, RunId, TaskId


class HolderId(NamedTuple):
    """An incarnation of a box with a session; it is notified when its runs end."""

    box: str
    incarnation: int


class RunState(Enum):
    """Lifecycle state of a run."""

    RECOVERING = "recovering"
    QUEUED = "queued"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


class RunSpec(NamedTuple):
    """Attributes shared by all runs of one step of a job.

    Args:
        job_id: The job.
        queue: The queue of the job.
        service: The service whose endpoints run it.
        task_input: Input of the tasks.
        demand: Resource demand of each task.
        placement: Placement constraints.
        priority: 0 is the highest.
        estimate_ms: The caller's estimate of a task's duration.
        arrived_ms: Arrival of the job; the owner's own clock.
        stretch: The job's objective is this factor times its critical path, ...
        slack_ms: ... plus this.
        other_steps_ms: Estimated duration of the other steps on the critical path.
        tasks: Number of tasks of the step.
        deadline_ms: When the job is cancelled.
    """

    job_id: str
    queue: str
    service: str
    task_input: str
    demand: Demand
    placement: Placement
    priority: int
    estimate_ms: int
    arrived_ms: float
    stretch: float
    slack_ms: float
    other_steps_ms: float
    tasks: int
    deadline_ms: float


class Run:
    """The present run of a task; an owner has at most one for each task.

    ``began_ms`` is when this owner sent the start order (0: an earlier owner did);
    ``stop_confirmed_ms`` when the endpoint confirmed a stop order (0: not yet);
    ``stuck_attempt_ms`` the run time of the previous attempt if it was stopped as stuck (0: it was
    not); ``holders`` the boxes that want the run, each with its newest delivery of it.

    Args:
        task: The task.
        attempt: Number of the attempt, from 1.
        spec: Attributes shared by all runs of the step.
        state: Lifecycle state.
        since_ms: When it entered that state.
    """

    __slots__ = (
        "began_ms",
        "holders",
        "attempt",
        "since_ms",
        "spec",
        "state",
        "stop_confirmed_ms",
        "stop_sent_ms",
        "stuck_attempt_ms",
        "task",
        "recovery_bound",
        "endpoint",
    )

    def __init__(
        self, task: TaskId, attempt: int, spec: RunSpec, state: RunState, since_ms: float
    ) -> None:
        self.task = task
        self.attempt = attempt
        self.spec = spec
        self.state = state
        self.since_ms = since_ms
        self.endpoint = ""
        self.began_ms = 0.0
        self.stop_confirmed_ms = 0.0
        self.stop_sent_ms = 0.0
        self.stuck_attempt_ms = 0.0
        self.holders: dict[HolderId, int] = {}
        self.recovery_bound = RecoveryBound(0.0, 0.0)

    @property
    def run_id(self) -> RunId:
        """The run's id on endpoints."""
        return RunId(self.task, self.attempt)

    def enter(self, state: RunState, now_ms: float, endpoint: str = "") -> None:
        """Change to *state* on *endpoint*, empty if the run is on none."""
        if state is RunState.STARTING:
            self.began_ms = now_ms
        elif state is RunState.QUEUED:
            self.began_ms = 0.0
            self.stop_confirmed_ms = 0.0
        self.state = state
        self.since_ms = now_ms
        self.endpoint = endpoint


class RecoveryBound(NamedTuple):
    """Times that decide when a recovering run is lost.

    Args:
        reports_after_ms: A run that exists is listed in every report polled after this time.
        lost_at_ms: By this time its lease has expired on every endpoint.
        endpoints: The endpoints on which earlier owners may have started it; ``None`` if they are
            not known.
    """

    reports_after_ms: float
    lost_at_ms: float
    endpoints: frozenset[str] | None = frozenset()

    def joined(self, other: RecoveryBound) -> RecoveryBound:
        """Return the bound that covers the statements of two boxes."""
        endpoints = None
        if self.endpoints is not None and other.endpoints is not None:
            endpoints = self.endpoints | other.endpoints
        return RecoveryBound(
            max(self.reports_after_ms, other.reports_after_ms),
            max(self.lost_at_ms, other.lost_at_ms),
            endpoints,
        )
