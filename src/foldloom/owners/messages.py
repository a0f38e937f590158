# SPDX-License-Identifier: MIT
"""Messages between entry nodes and the owners of workers: runs, their ends, cancels."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from foldloom.jobs.spec import Demand, Placement, RunId
from foldloom.peers.messages import register


class RunOrder(NamedTuple):
    """One run to be started.

    Args:
        step: The step's number.
        number: The task's number in its step.
        run: Counts the task's starts.
        is_resumed: Whether it may have been handed to an earlier owner.
    """

    step: int
    number: int
    run: int
    is_resumed: bool = False


class SubmitRuns(NamedTuple):
    """A node hands runs of one step of a job to an owner.

    Args:
        token: The owner's token.
        job_id: The job.
        repeat: Which time of it.
        service: Whose workers run it.
        spec: What its tasks are told.
        demand: What each task takes.
        placement: Where they may run.
        priority: 0 comes first.
        estimate_ms: A rough guess of how long a task takes.
        aim_ms: How soon the job should end, from now.
        late_ms: How soon it still earns something, from now.
        deadline_ms: When it is given up, from now.
        old_right_ms: For how much longer an earlier owner may run these.
        orders: The runs.
    """

    token: int
    job_id: str
    repeat: int
    service: str
    spec: str
    demand: Demand
    placement: Placement
    priority: int
    estimate_ms: int
    aim_ms: int
    late_ms: int
    deadline_ms: int
    old_right_ms: int
    orders: list[RunOrder]


class SubmitStatus(IntEnum):
    """What an owner did with runs that it was handed."""

    TAKEN = 0
    REFUSED = 1
    NOT_OWNER = 2


class SubmitReply(NamedTuple):
    """Whether the runs were taken; ``retry_after_ms`` tells when to come back if not."""

    status: SubmitStatus
    reason: str = ""
    retry_after_ms: int = 0


class CancelJob(NamedTuple):
    """A node wants nothing more of a job: what runs of it is stopped."""

    job_id: str


class Cancelled(NamedTuple):
    """The cancel is known."""


class EndCause(IntEnum):
    """How a run that an owner was handed ended."""

    DONE = 0
    FAILED = 1
    STOPPED = 2
    LAPSED = 3
    LOST = 4
    OLD_RUN = 5
    REFUSED = 6


class RunEnd(NamedTuple):
    """The end of one run; after it the run is certainly not on any worker.

    Args:
        run_id: The run.
        cause: How it ended.
        worker: Where it ran; empty if it never started.
        ran_ms: How long it ran, as the owner saw it.
        checkpoint: Where it could go on from.
    """

    run_id: RunId
    cause: EndCause
    worker: str = ""
    ran_ms: int = 0
    checkpoint: str = ""


class RunsEnded(NamedTuple):
    """An owner tells of ends; sent again until it is acknowledged."""

    token: int
    ends: list[RunEnd]


class EndsNoted(NamedTuple):
    """The ends are known."""


for _kind, _type in enumerate(
    (
        SubmitRuns,
        SubmitReply,
        CancelJob,
        Cancelled,
        RunsEnded,
        EndsNoted,
    ),
    start=100,
):
    register(_kind, _type)
