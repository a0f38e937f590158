# SPDX-License-Identifier: MIT
"""What the owners have reported about tasks, kept by each entry box.

An owner's records end with its term. It therefore reports the crash counts of tasks to all boxes,
which pass them on with each delivery: to the next owner of the zone, to the owners of other zones,
and with a job that is submitted again.
"""

from __future__ import annotations

from foldloom.seed_discovery.jobs.spec import TaskId
from foldloom.seed_discovery.owners.crash_records import CrashRecords
from foldloom.seed_discovery.owners.messages import SubmitRuns, TaskCrashes
from foldloom.seed_discovery.scheduling.crashes import CrashCount


class TaskHistories:
    """The reported crash counts by task, kept as long as an owner keeps them."""

    def __init__(self) -> None:
        self._crashes = CrashRecords()

    def note_crashes(self, report: TaskCrashes, now_ms: float) -> None:
        """Record a count reported by an owner; a count of 0 means that the task ended normally."""
        self._crashes.expire(now_ms)
        if report.crashes == CrashCount():
            self._crashes.clear(report.task)
        else:
            self._crashes.merge(report.task, report.crashes, now_ms)

    def annotate(self, message: SubmitRuns, now_ms: float) -> SubmitRuns:
        """Return *message* with the crash counts of its tasks."""
        self._crashes.expire(now_ms)
        orders = []
        for order in message.orders:
            task = TaskId(message.job_id, message.repeat, order.step, order.position)
            crashes = order.crashes.merged(self._crashes.count_of(task))
            orders.append(order._replace(crashes=crashes))
        return message._replace(orders=orders)
