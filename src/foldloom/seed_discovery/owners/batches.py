# SPDX-License-Identifier: MIT
"""Runs that an entry box has delivered to an owner and that have not ended. Owns them.

For each open run it knows the terms to whose owners the run was sent: whether it was started is
certain only once each of these has said that it was not.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from foldloom.clock import monotonic_ms
from foldloom.seed_discovery.jobs.spec import TaskId
from foldloom.seed_discovery.owners.messages import RunEnd, RunOrder, SubmitRuns
from foldloom.seed_discovery.owners.open_job import OpenJob
from foldloom.seed_discovery.owners.started_jobs import REMEMBERED_MS

# Milliseconds beyond a job's deadline until which a box believes an owner's word: 100 ms less than
# the owner remembers a start, which two steady clocks do not differ by in some seconds.
BELIEVED_MS = REMEMBERED_MS - 100.0


class _OpenRun(NamedTuple):
    """A run whose end is still to come.

    Args:
        order: Its newest delivery.
        terms: The tokens of the owners that it was sent to.
    """

    order: RunOrder
    terms: frozenset[int] = frozenset()


class Batch:
    """Runs of one step of a job at one zone's owner.

    Args:
        job: Whose runs they are.
        template: What is the same in every message about them.

    ``has_started``: whether a run of it that has ended was started, or may have been.
    """

    def __init__(self, job: OpenJob, template: SubmitRuns) -> None:
        self.job = job
        self.template = template
        self.has_started = False
        self._open: dict[TaskId, _OpenRun] = {}

    @property
    def orders(self) -> list[RunOrder]:
        """The runs that are open."""
        return [run.order for run in self._open.values()]

    @property
    def believed_until_ms(self) -> float:
        """Until when an owner's word on starts counts; own clock.

        It remembers a start longer than that, counted from the same deadline.
        """
        return self.job.began_ms + self.template.deadline_ms + BELIEVED_MS

    @property
    def terms(self) -> frozenset[int]:
        """The tokens of the owners that may have started a run that is open."""
        return frozenset[int]().union(*(run.terms for run in self._open.values()))

    def add(self, orders: Iterable[RunOrder]) -> None:
        """Note runs that are delivered, or delivered again."""
        for order in orders:
            task = self.task(order)
            known = self._open.get(task)
            self._open[task] = _OpenRun(order) if known is None else known._replace(order=order)

    def note_sent(self, orders: Iterable[RunOrder], token: int) -> None:
        """Note that *orders* are being sent to the owner with *token*: it may start them."""
        for order in orders:
            known = self._open[self.task(order)]
            self._open[self.task(order)] = known._replace(terms=known.terms | {token})

    def close(self, end: RunEnd, token: int) -> RunOrder | None:
        """Note an end that the owner with *token* lists; return the open run that it ends, if any.

        What that owner says of a start covers its own term only, and it may have forgotten a start
        by the time that a late box hears of it.
        """
        run = self._open.get(end.run_id.task)
        if run is None or end.run_id.attempt < run.order.attempt:
            return None
        if end.delivery and end.delivery != run.order.delivery:
            # It ends an earlier delivery; the run was delivered again since.
            return None
        del self._open[end.run_id.task]
        is_believed = monotonic_ms() < self.believed_until_ms and not run.terms - {token}
        self.has_started = self.has_started or end.has_started or not is_believed
        return run.order

    def clear(self) -> None:
        """Want none of its runs any more."""
        self._open.clear()

    def is_open(self, order: RunOrder) -> bool:
        """Return whether the end of *order* is still to come."""
        run = self._open.get(self.task(order))
        return run is not None and run.order == order

    def task(self, order: RunOrder) -> TaskId:
        """Return the task that *order* is about."""
        return TaskId(self.template.job_id, self.template.repeat, order.step, order.position)

    def message(self, token: int, orders: list[RunOrder], old_right_ms: float) -> SubmitRuns:
        """Return the message that hands *orders* to the owner with *token*."""
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
