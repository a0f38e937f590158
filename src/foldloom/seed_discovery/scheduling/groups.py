# SPDX-License-Identifier: MIT
"""Groups: the runs of one step of one job, with their estimated durations and start deadlines."""

from __future__ import annotations

import math

from foldloom.seed_discovery.jobs.spec import TaskId
from foldloom.seed_discovery.scheduling.runs import Run, RunSpec

# Multiple of its objective after which a job's result is worthless.
USEFUL_UNTIL_FACTOR = 3.0
# Excess of a step's longest task over the mean, for each doubling of the number of tasks. Derived
# from a spread of 0.15 between the tasks of a step.
_SKEW_PER_DOUBLING = 0.08
# Latency from a task's end to the caller's response: three one-way delays to clients (3 ms) and a
# hop within the zone.
_RESPONSE_LATENCY_MS = 10.0
# Weight of the step's own finished tasks against the estimate for the queue: tasks of one step
# are more alike than jobs of one queue.
_STEP_WEIGHT = 0.7


class RunGroup:
    """The queued runs of a step and the estimated duration of its tasks.

    Args:
        spec: The specification that the runs share.
        expected_ms: Initial estimate of a task's duration on an endpoint of speed 1.
    """

    def __init__(self, spec: RunSpec, expected_ms: float) -> None:
        self.spec = spec
        self.started = 0
        self.queued: dict[TaskId, Run] = {}
        self._initial_log_ms = math.log(expected_ms)
        self._longest_to_expected = 1 + _SKEW_PER_DOUBLING * math.log2(max(1, spec.tasks))
        self._finished_log_sum = 0.0
        self._finished_count = 0
        self._update_deadlines(expected_ms)

    @property
    def expected_ms(self) -> float:
        """Estimated duration of a task, refined by finished tasks of the step."""
        return self._expected_ms

    @property
    def longest_ms(self) -> float:
        """Estimated duration of the step's longest task."""
        return self._longest_ms

    @property
    def longest_plausible_ms(self) -> float:
        """The larger of the estimated longest duration and the caller's estimate.

        The mean of a queue underestimates long jobs if the queue mixes them with short ones.
        """
        return max(self.longest_ms, float(self.spec.estimate_ms))

    @property
    def objective_ms(self) -> float:
        """The job's latency objective, from its arrival."""
        return self._objective_ms(self._longest_ms)

    def _objective_ms(self, longest_ms: float) -> float:
        critical_path_ms = self.spec.other_steps_ms + longest_ms
        return self.spec.stretch * critical_path_ms + self.spec.slack_ms

    @property
    def on_time_deadline_ms(self) -> float:
        """When the job must end to meet its objective."""
        return self._on_time_deadline_ms

    @property
    def useful_until_ms(self) -> float:
        """When the job's result becomes worthless.

        Uses the caller's estimate if it is larger, since a job that is cancelled too early is lost.
        """
        return self._useful_until_ms

    @property
    def queued_cpu_ms(self) -> float:
        """Estimated CPU time of the queued tasks, in core milliseconds."""
        return len(self.queued) * self.expected_ms * self.spec.demand.cpu_milli / 1_000

    def speed_needed(self, tier_deadline_ms: float, now_ms: float) -> float:
        """Return the minimum endpoint speed for a task that starts now to end in time.

        Args:
            tier_deadline_ms: When the job must be answered; the owner's own clock.
            now_ms: The current time.
        """
        left_ms = tier_deadline_ms - _RESPONSE_LATENCY_MS - now_ms
        return self._longest_ms / left_ms if left_ms > 0 else math.inf

    def on_time_start_deadline_ms(self, speed: float = 1.0) -> float:
        """Return the latest start on an endpoint of *speed* that meets the objective."""
        return self._on_time_deadline_ms - _RESPONSE_LATENCY_MS - self._longest_ms / speed

    def late_start_deadline_ms(self, speed: float = 1.0) -> float:
        """Return the latest start on an endpoint of *speed* for a result that is still of use."""
        return self._useful_until_ms - _RESPONSE_LATENCY_MS - self._longest_ms / speed

    def note_done(self, work_ms: float) -> None:
        """Record the duration of a finished task, in milliseconds on an endpoint of speed 1."""
        if work_ms <= 0:
            return
        self._finished_log_sum += math.log(work_ms)
        self._finished_count += 1
        step_log_mean = self._finished_log_sum / self._finished_count
        queue_weight = 1 - _STEP_WEIGHT
        self._update_deadlines(
            math.exp(_STEP_WEIGHT * step_log_mean + queue_weight * self._initial_log_ms)
        )

    def _update_deadlines(self, expected_ms: float) -> None:
        self._expected_ms = expected_ms
        self._longest_ms = expected_ms * self._longest_to_expected
        self._on_time_deadline_ms = self.spec.arrived_ms + self.objective_ms
        objective_ms = max(self.objective_ms, self._objective_ms(self.spec.estimate_ms))
        latest_ms = self.spec.arrived_ms + USEFUL_UNTIL_FACTOR * objective_ms
        self._useful_until_ms = min(latest_ms, self.spec.deadline_ms)
