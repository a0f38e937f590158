# SPDX-License-Identifier: MIT
"""Actions that an owner's state has decided and the zone owner has yet to execute.

Owns the pending actions until they are popped. Performs no I/O.
"""

from __future__ import annotations

from typing import NamedTuple

from foldloom.seed_discovery.jobs.spec import RunId
from foldloom.seed_discovery.owners.messages import RunEnd, TaskReport
from foldloom.seed_discovery.scheduling.placing import Reservation
from foldloom.seed_discovery.scheduling.remote_groups import GroupId
from foldloom.seed_discovery.scheduling.runs import HolderId


class StartAction(NamedTuple):
    """Start *run_id* on *endpoint* with *task_input*."""

    run_id: RunId
    endpoint: str
    task_input: str


class StopAction(NamedTuple):
    """Stop *run_id* on *endpoint*."""

    run_id: RunId
    endpoint: str


class StealAction(NamedTuple):
    """Request runs of *group* from the owner of *zone*; capacity for them is reserved here."""

    zone: str
    group: GroupId
    reservations: list[Reservation]


class NotifyAction(NamedTuple):
    """Notify *holder* of *end*."""

    holder: HolderId
    end: RunEnd


class Actions:
    """Pending actions by kind, in order of decision."""

    def __init__(self) -> None:
        self._starts: list[StartAction] = []
        self._stops: list[StopAction] = []
        self._steals: list[StealAction] = []
        self._notifications: list[NotifyAction] = []
        self._reports: list[TaskReport] = []

    def start(self, action: StartAction) -> None:
        """Add a start."""
        self._starts.append(action)

    def stop(self, action: StopAction) -> None:
        """Add a stop."""
        self._stops.append(action)

    def steal(self, action: StealAction) -> None:
        """Add a request for runs of another zone."""
        self._steals.append(action)

    def notify(self, action: NotifyAction) -> None:
        """Add a notification."""
        self._notifications.append(action)

    def report(self, report: TaskReport) -> None:
        """Add a report to all boxes."""
        self._reports.append(report)

    def pop_starts(self) -> list[StartAction]:
        """Return and clear the pending starts."""
        popped, self._starts = self._starts, []
        return popped

    def pop_stops(self) -> list[StopAction]:
        """Return and clear the pending stops."""
        popped, self._stops = self._stops, []
        return popped

    def pop_steals(self) -> list[StealAction]:
        """Return and clear the pending requests to other zones."""
        popped, self._steals = self._steals, []
        return popped

    def pop_notifications(self) -> list[NotifyAction]:
        """Return and clear the pending notifications."""
        popped, self._notifications = self._notifications, []
        return popped

    def pop_reports(self) -> list[TaskReport]:
        """Return and clear the pending reports to all boxes."""
        popped, self._reports = self._reports, []
        return popped
