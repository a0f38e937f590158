# SPDX-License-Identifier: MIT
"""Runs that an entry box has delivered to an owner and that have not ended. Owns them."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from foldloom.clock import monotonic_ms
from foldloom.seed_discovery.jobs.spec import TaskId
from foldloom.seed_discovery.owners.messages import RunEnd, RunOrder, SubmitRuns


class Batch:
    """Runs of one step of a job at one zone's owner.

    Args:
        template: What is the same in every message about them.
        ends: Where their ends go.
        began_ms: When the template's times count from; own monotonic clock.

    ``has_started``: whether a run of it has started, or may have under an earlier owner.
    """

    def __init__(self, template: SubmitRuns, ends: asyncio.Queue[RunEnd], began_ms: float) -> None:
        self.template = template
        self.ends = ends
        self.began_ms = began_ms
        self.has_started = False
        self._open: dict[TaskId, RunOrder] = {}

    @property
    def orders(self) -> list[RunOrder]:
        """The runs that are open."""
        return list(self._open.values())

    def add(self, orders: Iterable[RunOrder]) -> None:
        """Note runs that are handed in."""
        for order in orders:
            self._open[self.task(order)] = order

    def close(self, end: RunEnd) -> RunOrder | None:
        """Note an end; return the open run that it ends, if any."""
        order = self._open.get(end.run_id.task)
        if order is None or end.run_id.attempt < order.attempt:
            return None
        if end.delivery and end.delivery != order.delivery:
            # It ends an earlier delivery; the run was delivered again since.
            return None
        self.has_started = self.has_started or end.has_started
        return self._open.pop(end.run_id.task)

    def clear(self) -> None:
        """Want none of its runs any more."""
        self._open.clear()

    def is_open(self, order: RunOrder) -> bool:
        """Return whether the end of *order* is still to come."""
        return self._open.get(self.task(order)) == order

    def task(self, order: RunOrder) -> TaskId:
        """Return the task that *order* is about."""
        return TaskId(self.template.job_id, self.template.repeat, order.step, order.position)

    def message(self, token: int, orders: list[RunOrder], old_right_ms: float) -> SubmitRuns:
        """Return the message that hands *orders* to the owner with *token*."""
        spent_ms = int(monotonic_ms() - self.began_ms)
        template = self.template
        objective = template.objective
        return template._replace(
            token=token,
            objective=objective._replace(elapsed_ms=objective.elapsed_ms + spent_ms),
            deadline_ms=template.deadline_ms - spent_ms,
            old_right_ms=int(old_right_ms),
            orders=orders,
        )
