# SPDX-License-Identifier: MIT
"""Batches of runs that an entry box has delivered to an owner. Owns the open runs.

An open run records the fencing token of each owner that it was sent to. The run counts as not
started only if every one of these owners has confirmed it.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from foldloom.clock import monotonic_ms
from foldloom.seed_discovery.jobs.spec import TaskId
from foldloom.seed_discovery.owners.messages import RunEnd, RunOrder, StartOrdered, SubmitRuns
from foldloom.seed_discovery.owners.open_job import OpenJob
from foldloom.seed_discovery.owners.started_jobs import STARTED_JOB_GRACE_MS

# How long after a job's deadline a box accepts an owner's statement that nothing was started.
# 100 ms shorter than the owner's record of starts: two monotonic clocks differ by less in some
# seconds.
REPLY_VALID_MS = STARTED_JOB_GRACE_MS - 100.0


class _OpenRun(NamedTuple):
    """A run whose end has not been received.

    Args:
        order: Its latest delivery.
        tokens: Fencing tokens of the owners that it was sent to.
        start: Its start order that is in flight, if any.
    """

    order: RunOrder
    tokens: frozenset[int] = frozenset()
    start: StartOrdered | None = None


class Batch:
    """Runs of one job step that were delivered to the owner of one zone.

    ``has_started`` is whether any run that has ended was started, or may have been.

    Args:
        job: The job.
        template: Message with the fields that all deliveries share.
    """

    def __init__(self, job: OpenJob, template: SubmitRuns) -> None:
        self.job = job
        self.template = template
        self.has_started = False
        self._open: dict[TaskId, _OpenRun] = {}

    @property
    def orders(self) -> list[RunOrder]:
        """The latest orders of the open runs."""
        return [run.order for run in self._open.values()]

    @property
    def reply_valid_until_ms(self) -> float:
        """Until when an owner's statement on starts is valid; own monotonic clock.

        The owner's record of a start outlasts it.
        """
        return self.job.began_ms + self.template.deadline_ms + REPLY_VALID_MS

    @property
    def tokens(self) -> frozenset[int]:
        """Fencing tokens of the owners that may have started an open run."""
        return frozenset[int]().union(*(run.tokens for run in self._open.values()))

    @property
    def starts_in_flight(self) -> list[StartOrdered]:
        """Start orders of open runs that no endpoint has answered yet."""
        return [run.start for run in self._open.values() if run.start is not None]

    def add(self, orders: Iterable[RunOrder]) -> None:
        """Add open runs, or update the orders of those delivered again."""
        for order in orders:
            task = self.task(order)
            known = self._open.get(task)
            self._open[task] = _OpenRun(order) if known is None else known._replace(order=order)

    def note_sent(self, orders: Iterable[RunOrder], token: int) -> list[RunOrder]:
        """Record that *orders* are sent to the owner with *token*, which may start them.

        Return those that are sent to it for the first time.
        """
        first_sent = []
        for order in orders:
            known = self._open[self.task(order)]
            if token not in known.tokens:
                first_sent.append(order)
            self._open[self.task(order)] = known._replace(tokens=known.tokens | {token})
        return first_sent

    def note_not_taken(self, orders: Iterable[RunOrder], token: int) -> None:
        """Record that the owner with *token* has not accepted *orders*, sent to it only once.

        An order that has been delivered again since may have been accepted then.
        """
        for order in orders:
            if self.is_open(order):
                known = self._open[self.task(order)]
                self._open[self.task(order)] = known._replace(tokens=known.tokens - {token})

    def resume(self) -> list[RunOrder]:
        """Mark the open runs that an owner may have accepted as resumed, and return their orders.

        The others are still being delivered for the first time.
        """
        for task, run in self._open.items():
            if run.tokens:
                self._open[task] = run._replace(order=run.order._replace(is_resumed=True))
        return [order for order in self.orders if order.is_resumed]

    def note_start(self, start: StartOrdered) -> None:
        """Record that an open run is being started, or that its endpoint has answered."""
        run = self._open.get(start.run_id.task)
        if run is None:
            return
        if not start.is_answered:
            self._open[start.run_id.task] = run._replace(start=start)
        elif run.start == start._replace(is_answered=False):
            self._open[start.run_id.task] = run._replace(start=None)

    def close(self, end: RunEnd, token: int) -> RunOrder | None:
        """Close the open run that *end* belongs to, and return its order, if there is one.

        ``has_started`` of the end is trusted only if it is received in time and the run was sent
        to no owner other than the one with *token*.
        """
        run = self._open.get(end.run_id.task)
        if run is None or end.run_id.attempt < run.order.attempt:
            return None
        if end.delivery and end.delivery != run.order.delivery:
            # The end of an earlier delivery; the run has been delivered again since.
            return None
        del self._open[end.run_id.task]
        is_reply_valid = monotonic_ms() < self.reply_valid_until_ms and not run.tokens - {token}
        self.has_started = self.has_started or end.has_started or not is_reply_valid
        return run.order

    def clear(self) -> None:
        """Drop all open runs."""
        self._open.clear()

    def is_open(self, order: RunOrder) -> bool:
        """Return whether *order* is the latest order of an open run."""
        run = self._open.get(self.task(order))
        return run is not None and run.order == order

    def task(self, order: RunOrder) -> TaskId:
        """Return the task of *order*."""
        return TaskId(self.template.job_id, self.template.repeat, order.step, order.position)

    def message(self, token: int, orders: list[RunOrder], old_right_ms: float) -> SubmitRuns:
        """Return the message that delivers *orders* to the owner with *token*."""
        spent_ms = int(monotonic_ms() - self.job.began_ms)
        template = self.template
        objective = template.objective
        return template._replace(
            token=token,
            objective=objective._replace(elapsed_ms=objective.elapsed_ms + spent_ms),
            deadline_ms=template.deadline_ms - spent_ms,
            old_right_ms=int(old_right_ms),
            orders=orders,
        )
