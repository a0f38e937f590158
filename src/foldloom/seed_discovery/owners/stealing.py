# SPDX-License-Identifier: MIT
"""Work stealing between zones: what waits elsewhere, and room that is kept for it here.

Owns what other zones' owners have said of their queues and load, and the reservations of runs that
were asked for. Relies on the endpoints' rooms, which it is given. An owner with free room asks the
owner of another zone for runs that are next in order; their entry box then delivers them here.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from foldloom.seed_discovery.fleet.messages import ZoneLoad
from foldloom.seed_discovery.owners.actions import StealAction
from foldloom.seed_discovery.scheduling.endpoints import ZoneEndpoint
from foldloom.seed_discovery.scheduling.placing import Reservation
from foldloom.seed_discovery.scheduling.sharing import REMOTE_VIEW_TTL_MS, GroupId, RemoteGroups


class _ReceivedLoad(NamedTuple):
    """How loaded another zone is, and when its owner said so."""

    load: ZoneLoad
    received_ms: float


class WorkStealing:
    """The thief's side of work stealing.

    Args:
        candidates: The endpoints by id.
    """

    def __init__(self, candidates: Mapping[str, ZoneEndpoint]) -> None:
        self._candidates = candidates
        self._loads: dict[str, _ReceivedLoad] = {}
        self._reservations: dict[GroupId, list[Reservation]] = {}
        self.remote = RemoteGroups()

    def note_load(self, zone: str, load: ZoneLoad, now_ms: float) -> None:
        """Note how loaded another zone is: runs may be moved to its room."""
        self._loads[zone] = _ReceivedLoad(load, now_ms)

    def loads(self, now_ms: float) -> list[ZoneLoad]:
        """Return the loads of other zones that were received lately."""
        return [
            received.load
            for received in self._loads.values()
            if now_ms - received.received_ms < REMOTE_VIEW_TTL_MS
        ]

    def note_granted(self, action: StealAction, granted: int) -> None:
        """Keep room for as many runs as their owner gives, and free the rest."""
        self._reservations.setdefault(action.group, []).extend(action.reservations[:granted])
        for reservation in action.reservations[granted:]:
            self._cancel_reservation(reservation)

    def note_arrived(self, group: GroupId) -> None:
        """Free the room that was kept for a run of *group*, which has been delivered."""
        reservations = self._reservations.get(group)
        if not reservations:
            return
        self._cancel_reservation(reservations.pop())
        if not reservations:
            del self._reservations[group]

    def _cancel_reservation(self, reservation: Reservation) -> None:
        candidate = self._candidates.get(reservation.endpoint)
        if candidate is not None:
            candidate.room.cancel_reservation(reservation.number)
