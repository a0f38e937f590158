# SPDX-License-Identifier: MIT
"""The runs of one step of one job, and by when they must start.

Owns the runs that wait, and the step's duration as estimated from its finished tasks.
"""

from __future__ import annotations

import math

from foldloom.seed_discovery.jobs.spec import TaskId
from foldloom.seed_discovery.scheduling.runs import Run, RunSpec

# Times its objective, until which a job earns anything: the users' rule for late answers.
LATE_FACTOR = 3.0
# By how much the longest task of a step exceeds the mean, for each doubling of the count of tasks:
# for the spread of 0.15 between tasks of a step in the users' site files.
_SKEW_PER_DOUBLING = 0.08
# Milliseconds from a task's end to the caller's answer: three one-way delays to clients (3 ms) and
# a hop within the zone.
_ANSWER_MS = 10.0
# Weight of the tasks of the step that are done against the estimate for its queue, because tasks of
# one step are much more alike than jobs of one queue.
_STEP_WEIGHT = 0.7


class RunGroup:
    """A step's runs that wait, and what is known of how long they take.

    Args:
        spec: What the runs share.
        expected_ms: How long one task is expected to take on an endpoint of speed 1.
    """

    def __init__(self, spec: RunSpec, expected_ms: float) -> None:
        self.spec = spec
        self.started = 0
        self.waiting: dict[TaskId, Run] = {}
        self._expected_ms = expected_ms
        self._finished_log_sum = 0.0
        self._finished_count = 0

    @property
    def expected_ms(self) -> float:
        """How long a task is expected to take, best known from finished tasks of the same step."""
        if not self._finished_count:
            return self._expected_ms
        step_log_mean = self._finished_log_sum / self._finished_count
        queue_weight = 1 - _STEP_WEIGHT
        return math.exp(_STEP_WEIGHT * step_log_mean + queue_weight * math.log(self._expected_ms))

    @property
    def longest_ms(self) -> float:
        """How long the longest of its tasks is expected to take."""
        return self.expected_ms * (1 + _SKEW_PER_DOUBLING * math.log2(max(1, self.spec.tasks)))

    @property
    def longest_plausible_ms(self) -> float:
        """How long the longest of its tasks takes by what was learned or by its caller's guess.

        A queue may mix long jobs with short ones: its mean says little of the long ones.
        """
        return max(self.longest_ms, float(self.spec.estimate_ms))

    @property
    def objective_ms(self) -> float:
        """How soon after its arrival the job should be answered."""
        return self._objective_ms(self.longest_ms)

    def _objective_ms(self, longest_ms: float) -> float:
        critical_path_ms = self.spec.other_ms + longest_ms
        return self.spec.stretch * critical_path_ms + self.spec.slack_ms

    @property
    def on_time_deadline_ms(self) -> float:
        """Until when the job is on time."""
        return self.spec.began_ms + self.objective_ms

    @property
    def late_ms(self) -> float:
        """Until when the job earns anything.

        By the caller's own guess where that is longer: a queue may mix long jobs with short
        ones, and a job that is given up wrongly is lost.
        """
        objective_ms = max(self.objective_ms, self._objective_ms(self.spec.estimate_ms))
        latest_ms = self.spec.began_ms + LATE_FACTOR * objective_ms
        return min(latest_ms, self.spec.deadline_ms)

    @property
    def waiting_cpu_ms(self) -> float:
        """How much processor its waiting tasks will take, in core milliseconds."""
        return len(self.waiting) * self.expected_ms * self.spec.demand.cpu_milli / 1_000

    def speed_needed(self, tier_deadline_ms: float, now_ms: float) -> float:
        """Return the speed that a task starting now needs to end by *tier_deadline_ms*.

        Args:
            tier_deadline_ms: Until when the job must be answered; own clock.
            now_ms: The time.
        """
        left_ms = tier_deadline_ms - _ANSWER_MS - now_ms
        return self.longest_ms / left_ms if left_ms > 0 else math.inf

    def on_time_start_deadline_ms(self, speed: float = 1.0) -> float:
        """Return until when a task on an endpoint of *speed* may start and the job be on time."""
        return self.on_time_deadline_ms - _ANSWER_MS - self.longest_ms / speed

    def late_start_deadline_ms(self, speed: float = 1.0) -> float:
        """Return until when a task may start for the job to earn anything."""
        return self.late_ms - _ANSWER_MS - self.longest_ms / speed

    def note_done(self, work_ms: float) -> None:
        """Learn from one of its tasks, which took *work_ms* on an endpoint of speed 1."""
        if work_ms > 0:
            self._finished_log_sum += math.log(work_ms)
            self._finished_count += 1
