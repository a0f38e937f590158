# SPDX-License-Identifier: MIT
"""What an owner knows of one task's present run. The lifecycle of runs changes it.

Owns nothing: types only.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from foldloom.seed_discovery.jobs.spec import Demand, Placement, RunId, TaskId


class HolderId(NamedTuple):
    """A box's life that has a session: it is notified of how its runs end."""

    box: str
    life: int


class RunState(Enum):
    """Where a run is."""

    RECOVERING = "recovering"
    QUEUED = "queued"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


class RunSpec(NamedTuple):
    """What is the same for all runs of one step of a job.

    Args:
        job_id: The job.
        queue: Where it was handed in.
        service: Whose endpoints run it.
        text: What its tasks are given.
        demand: What each takes.
        placement: Where they may run.
        priority: 0 comes first.
        estimate_ms: How long one is expected to take.
        began_ms: When the job arrived; the owner's own clock.
        stretch: The job should end this times its longest chain after that, ...
        slack_ms: ... plus this.
        other_ms: How long the chain's other steps take.
        tasks: How many tasks the step has.
        deadline_ms: When it is given up.
    """

    job_id: str
    queue: str
    service: str
    text: str
    demand: Demand
    placement: Placement
    priority: int
    estimate_ms: int
    began_ms: float
    stretch: float
    slack_ms: float
    other_ms: float
    tasks: int
    deadline_ms: float


class Run:
    """The present run of one task; at most one of a task is known to an owner.

    ``began_ms`` is when this owner ordered the start (0: an earlier owner did);
    ``stop_known_ms`` when the endpoint confirmed an order to stop (0: not yet);
    ``stopped_after_ms`` how long the attempt before had run that was stopped as stuck (0: none
    was); ``holders`` who wants it, each with its newest delivery of the run.

    Args:
        task: The task.
        attempt: Counts the task's starts, from 1.
        spec: What it shares with the other tasks of its step.
        state: Where it is.
        since_ms: Since when it is in that state.
    """

    __slots__ = (
        "began_ms",
        "holders",
        "attempt",
        "since_ms",
        "spec",
        "state",
        "stop_known_ms",
        "stop_sent_ms",
        "stopped_after_ms",
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
        self.stop_known_ms = 0.0
        self.stop_sent_ms = 0.0
        self.stopped_after_ms = 0.0
        self.holders: dict[HolderId, int] = {}
        self.recovery_bound = RecoveryBound(0.0, 0.0)

    @property
    def run_id(self) -> RunId:
        """The run's id on endpoints."""
        return RunId(self.task, self.attempt)

    def enter(self, state: RunState, now_ms: float, endpoint: str = "") -> None:
        """Go to *state*; *endpoint* is where it is from then on."""
        if state is RunState.STARTING:
            self.began_ms = now_ms
        elif state is RunState.QUEUED:
            self.began_ms = 0.0
            self.stop_known_ms = 0.0
        self.state = state
        self.since_ms = now_ms
        self.endpoint = endpoint


class RecoveryBound(NamedTuple):
    """Until when a run that an earlier owner may have started must be looked for.

    Args:
        reports_after_ms: If it runs, reports that were asked for after this time list it.
        lost_at_ms: By then its lease has lapsed on any endpoint.
    """

    reports_after_ms: float
    lost_at_ms: float
