# SPDX-License-Identifier: MIT
"""Jobs as they are handed in: steps of tasks, what each task needs, and where it may run.

Owns nothing: types only.
"""

from __future__ import annotations

from typing import NamedTuple


class Demand(NamedTuple):
    """What one task takes of an endpoint.

    Args:
        cpu_milli: Thousandths of a core.
        memory_mb: Megabytes.
        gpus: Whole accelerators.
    """

    cpu_milli: int = 0
    memory_mb: int = 0
    gpus: int = 0


class Placement(NamedTuple):
    """Where a step's tasks may run.

    Args:
        label: A label that the endpoint must have; empty for any.
        rack: The rack that holds the data; empty for none.
        per_endpoint_max: At most so many of the step's tasks on one endpoint; 0 for no bound.
    """

    label: str = ""
    rack: str = ""
    per_endpoint_max: int = 0


class Step(NamedTuple):
    """Tasks that are alike.

    Args:
        tasks: How many tasks.
        demand: What each takes.
        estimate_ms: A rough guess of how long one takes.
        depends_on: Numbers of the steps that must be done before.
        placement: Where its tasks may run.
    """

    tasks: int
    demand: Demand
    estimate_ms: int = 0
    depends_on: tuple[int, ...] = ()
    placement: Placement = Placement()


class Job(NamedTuple):
    """A checked job that need not be kept: it is answered once it has ended.

    Args:
        job_id: The caller's id, the same when it is sent again.
        spec: What its tasks are given.
        steps: The steps, in the order of their numbers.
    """

    job_id: str
    spec: str
    steps: tuple[Step, ...]


class TaskId(NamedTuple):
    """One task of a job.

    Args:
        job_id: The job.
        repeat: Which time of a job that runs several times, from 0.
        step: The step's number, from 0.
        position: The task's place in its step, from 0.
    """

    job_id: str
    repeat: int
    step: int
    position: int


class RunId(NamedTuple):
    """One start of a task; ``attempt`` rises from 1."""

    task: TaskId
    attempt: int

    @property
    def text(self) -> str:
        """The run as logs name it: job, repeat, step, position, attempt."""
        job_id, repeat, step, position = self.task
        return f"{job_id}.{repeat}.{step}.{position}#{self.attempt}"
