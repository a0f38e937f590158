# SPDX-License-Identifier: MIT
"""The endpoints of a zone as placement sees them: room, trust, orphaned runs.

Owns the room of each endpoint. Relies on its record and on the owner's link to it.
"""

from __future__ import annotations

from typing import NamedTuple

from foldloom.seed_discovery.endpoints.records import EndpointRecord, EndpointState
from foldloom.seed_discovery.jobs.spec import Demand, TaskId
from foldloom.seed_discovery.scheduling.rooms import EndpointCapacity, fits


class OrphanedRun(NamedTuple):
    """A run that an endpoint lists and that no entry box has delivered yet.

    Args:
        attempt: Which start of its task.
        noted_ms: When it was first seen, or when it was last ordered to stop.
    """

    attempt: int
    noted_ms: float


class ZoneEndpoint:
    """One endpoint.

    ``has_crashed``: whether its present life is known to be over; ``lapsed_tasks``: what was there
    when its leases lapsed in silence, after which it may turn out to have crashed.

    Args:
        record: What it says of itself.
    """

    def __init__(self, record: EndpointRecord) -> None:
        self.record = record
        self.room = EndpointCapacity(record.capacity)
        self.is_trusted = False
        self.is_silent = False
        self.blocked_until_ms = 0.0
        self.orphans: dict[TaskId, OrphanedRun] = {}
        self.has_crashed = False
        self.lapsed_tasks: list[TaskId] = []

    @property
    def is_ready(self) -> bool:
        """Whether it has not said that it leaves."""
        return self.record.state is EndpointState.READY

    @property
    def is_overdue(self) -> bool:
        """Whether it gets no work only because an answer of its is late."""
        return self.is_ready and not self.is_trusted and not self.is_silent and not self.has_crashed

    @property
    def is_idle(self) -> bool:
        """Whether nothing runs there, as far as is known."""
        return not self.room.tasks and not self.orphans

    def follow(self, record: EndpointRecord) -> None:
        """Adopt a newer record of the same life."""
        self.record = record
        self.room.set_capacity(record.capacity)

    def begin_life(self) -> None:
        """Forget what holds for one life only; the room of its runs is kept until it reports."""
        self.is_trusted = False
        self.is_silent = False
        self.blocked_until_ms = 0.0
        self.orphans.clear()
        self.note_alive()

    def note_alive(self) -> None:
        """Note that its present life has answered, so that nothing has crashed it before."""
        self.has_crashed = False
        self.lapsed_tasks = []

    def is_described(self, born_ms: int) -> bool:
        """Return whether the record is of the life born at *born_ms*, as far as either says.

        Before its first heartbeat, a life's capacity and whether it takes work are not known.
        """
        return not self.record.born_ms or self.record.born_ms >= born_ms

    def is_open(self, now_ms: float) -> bool:
        """Return whether it may be given work now.

        While it runs what no box has delivered to this owner, its free room is not known.
        """
        return (
            self.is_trusted
            and self.is_ready
            and not self.orphans
            and now_ms >= self.blocked_until_ms
        )

    def has_capacity_for(self, demand: Demand) -> bool:
        """Return whether it has room for *demand* now."""
        return fits(demand, self.room.free)
