# SPDX-License-Identifier: MIT
"""State of a zone's endpoints for placement: capacity, eligibility and orphaned runs."""

from __future__ import annotations

from typing import NamedTuple

from foldloom.seed_discovery.endpoints.records import EndpointRecord, EndpointState
from foldloom.seed_discovery.jobs.spec import Demand, TaskId
from foldloom.seed_discovery.scheduling.endpoint_capacity import EndpointCapacity, fits

# Time between the polls of two reports above which the endpoint was silent in between: twice the
# wait of a poll.
_POLL_INTERVAL_MAX_MS = 400.0


class OrphanedRun(NamedTuple):
    """A run that an endpoint lists and that is not the owner's current run of its task.

    Args:
        attempt: The attempt of its task.
        noted_ms: When it was first reported.
        stop_sent_ms: When the last stop order was sent; 0 before the first one.
    """

    attempt: int
    noted_ms: float
    stop_sent_ms: float = 0.0


class ZoneEndpoint:
    """An endpoint as a candidate for placement.

    ``unresponsive_at_ms`` is when it did not respond to a check before a start; 0 if it has since.
    ``heard_since_ms`` is since when it has reported without a silence; ``has_reported`` is whether
    the present incarnation has reported or its leases have expired, so that its runs are known.
    ``has_crashed`` is set once the present incarnation is known to have ended; ``lapsed_tasks``
    are the tasks whose leases expired before such a crash was confirmed.

    Args:
        record: Its newest record.
    """

    def __init__(self, record: EndpointRecord) -> None:
        self.record = record
        self.resources = EndpointCapacity(record.capacity)
        self.has_current_report = False
        self.has_reported = False
        self.is_silent = False
        self.backoff_until_ms = 0.0
        self.unresponsive_at_ms = 0.0
        self.heard_since_ms = 0.0
        self._polled_ms = 0.0
        self.orphans: dict[TaskId, OrphanedRun] = {}
        self.has_crashed = False
        self.lapsed_tasks: list[TaskId] = []

    @property
    def is_ready(self) -> bool:
        """Whether it is not draining."""
        return self.record.state is EndpointState.READY

    @property
    def is_unresponsive(self) -> bool:
        """Whether it has not responded since a check before a start."""
        return self.unresponsive_at_ms > 0.0

    @property
    def is_overdue(self) -> bool:
        """Whether it is ineligible only because a report or the answer to a check is overdue."""
        return (
            self.is_ready
            and (self.is_unresponsive or not self.has_current_report)
            and not self.is_silent
            and not self.has_crashed
        )

    @property
    def is_idle(self) -> bool:
        """Whether it has no known runs."""
        return not self.resources.tasks and not self.orphans

    def update_record(self, record: EndpointRecord) -> None:
        """Apply a newer record of the same incarnation."""
        self.record = record
        self.resources.set_capacity(record.capacity)

    def begin_incarnation(self) -> None:
        """Reset the state of the previous incarnation; allocations stay until the next report."""
        self.has_current_report = False
        self.has_reported = False
        self.is_silent = False
        self.backoff_until_ms = 0.0
        self.unresponsive_at_ms = 0.0
        self.orphans.clear()
        self.mark_alive()

    def mark_alive(self) -> None:
        """Clear the crash state: the present incarnation has answered."""
        self.has_crashed = False
        self.lapsed_tasks = []

    def has_current_record(self, born_ms: int) -> bool:
        """Return whether the record covers the incarnation started at *born_ms*.

        True if the record has no start time. The capacity and state of an incarnation are unknown
        until its first heartbeat.
        """
        return not self.record.born_ms or self.record.born_ms >= born_ms

    def note_polled(self, polled_ms: float) -> None:
        """Record an answered poll that was sent at *polled_ms*.

        One that was sent before a check stayed unanswered proves nothing of orders sent since.
        """
        if polled_ms >= self.unresponsive_at_ms:
            self.unresponsive_at_ms = 0.0

    def note_heard(self, polled_ms: float, now_ms: float) -> None:
        """Record a report, received at *now_ms*, to a poll that was sent at *polled_ms*."""
        if polled_ms - self._polled_ms > _POLL_INTERVAL_MAX_MS:
            self.heard_since_ms = now_ms
        self._polled_ms = max(self._polled_ms, polled_ms)

    def is_eligible(self, now_ms: float) -> bool:
        """Return whether runs may be placed on it now.

        Its free capacity is unknown while it has orphaned runs.
        """
        return (
            self.has_current_report
            and not self.is_unresponsive
            and self.is_ready
            and not self.orphans
            and now_ms >= self.backoff_until_ms
        )

    def has_capacity_for(self, demand: Demand) -> bool:
        """Return whether its free capacity covers *demand*."""
        return fits(demand, self.resources.free)
