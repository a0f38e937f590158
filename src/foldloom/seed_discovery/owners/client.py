# SPDX-License-Identifier: MIT
"""An entry box's side of the owners: which one gets a job's runs, and where their ends go.

Owns the connections to the owners of all zones, and which jobs may have run. Relies on the view of
the other boxes and on owners' heartbeats.
"""

from __future__ import annotations

import asyncio
import itertools

from foldloom.logs import PLACE_LOG
from foldloom.peers.wire import PeerNetwork
from foldloom.seed_discovery.fleet.messages import OwnerHeartbeat
from foldloom.seed_discovery.fleet.view import FleetView
from foldloom.seed_discovery.jobs.spec import RunId
from foldloom.seed_discovery.owners.batches import Batch
from foldloom.seed_discovery.owners.connection import OwnerConnection
from foldloom.seed_discovery.owners.messages import (
    EndCause,
    EndsNoted,
    RunEnd,
    RunOrder,
    RunsEnded,
    SessionBegan,
    SessionNoted,
    SubmitReply,
    SubmitRuns,
)
from foldloom.settings import TimingSettings
from foldloom.tasks import TaskSet

# Seconds between two checks for owners that fell silent. Not measured: chosen small against the
# 1.2 s of silence after which their work has ended.
_LOST_CHECK_S = 0.05
# Seconds between two checks for an owner that can take a run. Not measured: chosen small against
# the 60 ms and more of a job's objective.
_OWNER_CHECK_S = 0.01


class OwnerClient:
    """Talk to the owners of all zones, first of all to that of the own one.

    Args:
        view: The other boxes.
        network: The peers.
        timings: Intervals and bounds.
    """

    def __init__(self, view: FleetView, network: PeerNetwork, timings: TimingSettings) -> None:
        self._view = view
        self._network = network
        self._timings = timings
        self._deliveries = itertools.count(1)
        self._home = OwnerConnection(view.own.zone, view, network, timings, self._deliveries)
        self._jobs: set[str] = set()
        self._maybe_started: set[str] = set()
        self._connections: dict[str, OwnerConnection] = {view.own.zone: self._home}
        self._tasks = TaskSet()
        network.on(RunsEnded, self._on_ends)
        network.on(SessionBegan, self._on_session)

    @property
    def silent_ms(self) -> float:
        """Milliseconds since a heartbeat of any owner that could take a job."""
        return min(connection.silent_ms for connection in self._connections.values())

    def handle_heartbeat(self, heartbeat: OwnerHeartbeat, published_version: int) -> None:
        """Handle a heartbeat of any zone's owner."""
        connection = self._connections.get(heartbeat.owner.zone)
        if connection is None:
            connection = OwnerConnection(
                heartbeat.owner.zone, self._view, self._network, self._timings, self._deliveries
            )
            self._connections[heartbeat.owner.zone] = connection
        connection.handle_heartbeat(heartbeat, published_version)

    async def run(self) -> None:
        """End the runs of silent owners, once they have ended for certain, until cancelled."""
        while True:
            await asyncio.sleep(_LOST_CHECK_S)
            for connection in self._connections.values():
                lost = connection.pop_lost()
                self._maybe_started |= lost.started_jobs & self._jobs
                for batch, order in lost.runs:
                    # Its owner can't be asked any more, and may have started it.
                    self._maybe_started.add(batch.template.job_id)
                    PLACE_LOG.event(
                        "run.lost",
                        job=batch.template.job_id,
                        task=order.position,
                        run=order.attempt,
                        zone=connection.zone,
                        owner=connection.owner.box,
                        silent_ms=int(connection.silent_ms),
                    )
                    end = RunEnd(RunId(batch.task(order), order.attempt), EndCause.LOST)
                    batch.ends.put_nowait(end)

    async def submit(
        self,
        template: SubmitRuns,
        began_ms: float,
        ends: asyncio.Queue[RunEnd],
        orders: list[RunOrder],
    ) -> SubmitReply:
        """Deliver runs where they can run, once there is an owner; return its reply."""
        self._jobs.add(template.job_id)
        while (connection := self._choose()) is None:
            await asyncio.sleep(_OWNER_CHECK_S)
        return await connection.submit(self._batch(connection, template, began_ms, ends), orders)

    async def give_up(self, job_id: str) -> bool:
        """Cancel a job everywhere; return whether any run of it may have started."""
        self._jobs.discard(job_id)
        cancels = [
            connection.cancel(job_id)
            for connection in self._connections.values()
            if connection.batches_of(job_id)
        ]
        was_known = job_id in self._maybe_started
        # Until the owners have answered: the wait for them may be cut short by a deadline.
        self._maybe_started.add(job_id)
        has_started = any(await asyncio.gather(*cancels)) or was_known
        if not has_started:
            self._maybe_started.discard(job_id)
        return has_started

    def forget(self, job_id: str) -> None:
        """Cancel a job, and wait for nobody."""
        self._jobs.discard(job_id)
        is_open = any(connection.batches_of(job_id) for connection in self._connections.values())
        if is_open or job_id in self._maybe_started:
            self._tasks.spawn(self._forget(job_id))

    async def _forget(self, job_id: str) -> None:
        await self.give_up(job_id)
        self._maybe_started.discard(job_id)

    def _choose(self) -> OwnerConnection | None:
        """Return the own zone's owner unless it is silent, else the one with the most room."""
        lost_ms = self._timings.owner_silent_ms
        if self._home.silent_ms < lost_ms and self._home.load.total_milli:
            return self._home
        reachable = [
            connection
            for connection in self._connections.values()
            if connection.silent_ms < lost_ms
        ]
        return max(
            reachable,
            key=lambda connection: (connection.load.free_milli, connection.load.total_milli),
            default=None,
        )

    def _batch(
        self,
        connection: OwnerConnection,
        template: SubmitRuns,
        began_ms: float,
        ends: asyncio.Queue[RunEnd],
    ) -> Batch:
        for batch in connection.batches_of(template.job_id):
            if batch.template == template:
                return batch
        return Batch(template, ends, began_ms)

    def _on_session(self, _sender: str, message: SessionBegan) -> SessionNoted:
        connection = self._connections.get(message.zone)
        if connection is not None and connection.owner.token == message.token:
            connection.reopen()
        return SessionNoted()

    def _on_ends(self, _sender: str, message: RunsEnded) -> EndsNoted:
        connection = self._connections.get(message.zone)
        for end in message.ends:
            if connection is not None:
                self._take_end(connection, end)
        return EndsNoted()

    def _take_end(self, connection: OwnerConnection, end: RunEnd) -> None:
        for batch in connection.batches_of(end.run_id.task.job_id):
            order = batch.close(end)
            if order is None:
                continue
            if end.cause is EndCause.MOVED:
                self._tasks.spawn(self._move(batch, order, end.moved_to))
            else:
                batch.ends.put_nowait(end)
            return
        PLACE_LOG.event(
            "run.end_ignored",
            job=end.run_id.task.job_id,
            run=end.run_id.text,
            zone=connection.zone,
            cause=end.cause.label,
            has_started=end.has_started,
            delivery=end.delivery,
        )

    async def _move(self, batch: Batch, order: RunOrder, zone: str) -> None:
        """Deliver a run that its owner gave away to another zone's owner."""
        moved = order._replace(is_moved=True, is_resumed=False)
        connection = self._connections.get(zone)
        if connection is None or connection.silent_ms >= self._timings.owner_silent_ms:
            connection = None
        while connection is None and batch.template.job_id in self._jobs:
            connection = self._choose()
            await asyncio.sleep(_OWNER_CHECK_S)
        if connection is None or batch.template.job_id not in self._jobs:
            return
        PLACE_LOG.event(
            "run.moved",
            job=batch.template.job_id,
            task=order.position,
            run=order.attempt,
            zone=connection.zone,
        )
        target = self._batch(connection, batch.template, batch.began_ms, batch.ends)
        await connection.submit(target, [moved])
