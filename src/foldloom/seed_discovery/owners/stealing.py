# SPDX-License-Identifier: MIT
"""Work stealing from other zones: their offers and loads, and capacity reserved for their runs.

An owner with free capacity requests runs from the owner of another zone, which releases them; the
runs' entry box then submits them here.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from foldloom.seed_discovery.fleet.messages import ZoneLoad
from foldloom.seed_discovery.owners.actions import StealAction
from foldloom.seed_discovery.owners.lifecycle import RunLifecycle
from foldloom.seed_discovery.owners.messages import EndCause, RunEnd
from foldloom.seed_discovery.scheduling.endpoints import ZoneEndpoint
from foldloom.seed_discovery.scheduling.placing import Reservation
from foldloom.seed_discovery.scheduling.remote_groups import (
    REMOTE_VIEW_TTL_MS,
    GroupId,
    RemoteGroups,
)


class _ReceivedLoad(NamedTuple):
    """Load of another zone and the time it was received."""

    load: ZoneLoad
    received_ms: float


class WorkStealing:
    """The requesting side of work stealing.

    Args:
        candidates: The zone's endpoints by id.
    """

    def __init__(self, candidates: Mapping[str, ZoneEndpoint]) -> None:
        self._candidates = candidates
        self._loads: dict[str, _ReceivedLoad] = {}
        self._reservations: dict[GroupId, list[Reservation]] = {}
        self.remote = RemoteGroups()

    def note_load(self, zone: str, load: ZoneLoad, now_ms: float) -> None:
        """Record the load of another zone."""
        self._loads[zone] = _ReceivedLoad(load, now_ms)

    def loads(self, now_ms: float) -> list[ZoneLoad]:
        """Return the unexpired loads of other zones."""
        return [
            received.load
            for received in self._loads.values()
            if now_ms - received.received_ms < REMOTE_VIEW_TTL_MS
        ]

    def settle_reservations(self, action: StealAction, granted: int) -> None:
        """Keep a reservation for each granted run and cancel the rest."""
        self._reservations.setdefault(action.group, []).extend(action.reservations[:granted])
        for reservation in action.reservations[granted:]:
            self._cancel_reservation(reservation)

    def release_reservation(self, group: GroupId) -> None:
        """Cancel the reservation for a run of *group* that has been submitted here."""
        reservations = self._reservations.get(group)
        if not reservations:
            return
        self._cancel_reservation(reservations.pop())
        if not reservations:
            del self._reservations[group]

    def _cancel_reservation(self, reservation: Reservation) -> None:
        candidate = self._candidates.get(reservation.endpoint)
        if candidate is not None:
            candidate.resources.cancel_reservation(reservation.number)


def release_runs(lifecycle: RunLifecycle, key: GroupId, runs: int, zone: str, now_ms: float) -> int:
    """Hand up to *runs* queued runs of a group to *zone*; return the number handed over.

    Runs of bound tasks stay.
    """
    group = lifecycle.run_queue.get(key)
    if group is None:
        return 0
    bound_tasks = lifecycle.unanswered_starts.bound_endpoints
    movable = [run for task, run in group.queued.items() if task not in bound_tasks]
    # Taken from the tail: the head of the queue starts here next.
    released = movable[-runs:]
    for run in released:
        has_started = run.task.job_id in lifecycle.started
        end = RunEnd(run.run_id, EndCause.MOVED, moved_to=zone, has_started=has_started)
        lifecycle.retire(run, end, now_ms)
        lifecycle.started.note_moved(run.task, zone)
    return len(released)
