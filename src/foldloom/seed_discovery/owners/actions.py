# SPDX-License-Identifier: MIT
"""What an owner's state has decided and the zone owner is still to carry out.

Owns the lists of decided actions until they are popped. Relies on nothing but the types of runs
and messages; nothing here sends or waits.
"""

from __future__ import annotations

from typing import NamedTuple

from foldloom.seed_discovery.jobs.spec import RunId
from foldloom.seed_discovery.owners.messages import RunEnd
from foldloom.seed_discovery.scheduling.placing import Reservation
from foldloom.seed_discovery.scheduling.runs import HolderId
from foldloom.seed_discovery.scheduling.sharing import GroupId


class StartAction(NamedTuple):
    """Start *run_id* on *endpoint*; *text* is what the task is given."""

    run_id: RunId
    endpoint: str
    text: str


class StopAction(NamedTuple):
    """Stop *run_id* on *endpoint*."""

    run_id: RunId
    endpoint: str


class StealAction(NamedTuple):
    """Ask the owner of *zone* for runs of *group*, for which room is reserved here."""

    zone: str
    group: GroupId
    reservations: list[Reservation]


class NotifyAction(NamedTuple):
    """Notify *holder* of *end*."""

    holder: HolderId
    end: RunEnd


class Actions:
    """Actions in the order in which they were decided, by kind."""

    def __init__(self) -> None:
        self._starts: list[StartAction] = []
        self._stops: list[StopAction] = []
        self._steals: list[StealAction] = []
        self._notifications: list[NotifyAction] = []

    def start(self, action: StartAction) -> None:
        """Add a run to be started."""
        self._starts.append(action)

    def stop(self, action: StopAction) -> None:
        """Add a run to be stopped."""
        self._stops.append(action)

    def steal(self, action: StealAction) -> None:
        """Add runs to be asked for in another zone."""
        self._steals.append(action)

    def notify(self, action: NotifyAction) -> None:
        """Add an end that a box is to be notified of."""
        self._notifications.append(action)

    def pop_starts(self) -> list[StartAction]:
        """Return and clear what is to be started."""
        popped, self._starts = self._starts, []
        return popped

    def pop_stops(self) -> list[StopAction]:
        """Return and clear what is to be stopped."""
        popped, self._stops = self._stops, []
        return popped

    def pop_steals(self) -> list[StealAction]:
        """Return and clear what is to be asked for in other zones."""
        popped, self._steals = self._steals, []
        return popped

    def pop_notifications(self) -> list[NotifyAction]:
        """Return and clear who is to be notified of which end."""
        popped, self._notifications = self._notifications, []
        return popped
