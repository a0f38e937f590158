# SPDX-License-Identifier: MIT
"""Job specifications: steps, tasks, resource demand and placement constraints."""

from __future__ import annotations

from typing import NamedTuple


class Demand(NamedTuple):
    """Resources of one task or endpoint.

    Args:
        cpu_milli: Thousandths of a core.
        memory_mb: Memory in megabytes.
        gpus: Whole accelerators.
    """

    cpu_milli: int = 0
    memory_mb: int = 0
    gpus: int = 0


class Placement(NamedTuple):
    """Placement constraints of a step's tasks.

    Args:
        label: Label that the endpoint must have; empty for any.
        rack: Label of the preferred rack, which holds the data; empty for none.
        per_endpoint_max: Maximum number of the step's tasks on one endpoint; 0 for no limit.
    """

    label: str = ""
    rack: str = ""
    per_endpoint_max: int = 0


class Step(NamedTuple):
    """A step: tasks with equal demand and placement.

    Args:
        tasks: Number of tasks.
        demand: Resource demand of each task.
        estimate_ms: Estimated duration of a task.
        depends_on: Numbers of the steps that must finish first.
        placement: Placement constraints of its tasks.
    """

    tasks: int
    demand: Demand
    estimate_ms: int = 0
    depends_on: tuple[int, ...] = ()
    placement: Placement = Placement()


class Job(NamedTuple):
    """A validated job that is kept in memory only and answered when it ends.

    Args:
        job_id: The caller's id; the same if the job is submitted again.
        spec: Input of its tasks.
        steps: The steps, in the order of their numbers.
    """

    job_id: str
    spec: str
    steps: tuple[Step, ...]


class TaskId(NamedTuple):
    """Id of a task.

    Args:
        job_id: The job.
        repeat: The repetition of a job that runs several times, from 0.
        step: Number of the step, from 0.
        position: Index of the task in its step, from 0.
    """

    job_id: str
    repeat: int
    step: int
    position: int


class RunId(NamedTuple):
    """One attempt of a task; ``attempt`` counts from 1."""

    task: TaskId
    attempt: int

    @property
    def text(self) -> str:
        """The run in log format: job, repetition, step, position, attempt."""
        job_id, repeat, step, position = self.task
        return f"{job_id}.{repeat}.{step}.{position}#{self.attempt}"
