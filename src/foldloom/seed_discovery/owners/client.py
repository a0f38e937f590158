# SPDX-License-Identifier: MIT
"""An entry box's client for the owners of all zones: delivers runs and receives their ends.

Holds a connection per zone. Whether a cancelled job may have run is decided in
:mod:`foldloom.seed_discovery.owners.withdrawal`.
"""

from __future__ import annotations

import asyncio
import itertools
import secrets
from typing import NamedTuple

from foldloom.clock import monotonic_ms
from foldloom.logs import PLACE_LOG
from foldloom.peers.wire import PeerNetwork
from foldloom.seed_discovery.fleet.messages import OwnerHeartbeat
from foldloom.seed_discovery.fleet.view import FleetView
from foldloom.seed_discovery.jobs.spec import RunId, TaskId
from foldloom.seed_discovery.owners.batches import Batch
from foldloom.seed_discovery.owners.cancels import Cancels
from foldloom.seed_discovery.owners.connection import LostRun, OwnerConnection
from foldloom.seed_discovery.owners.holder_confirmations import NEVER_MS
from foldloom.seed_discovery.owners.lease import run_expiry_ms
from foldloom.seed_discovery.owners.messages import (
    EndCause,
    EndpointBinding,
    EndsNoted,
    RunEnd,
    RunOrder,
    RunsEnded,
    SessionBegan,
    SessionNoted,
    StartOrdered,
    SubmitReply,
    SubmitRuns,
    SubmitStatus,
)
from foldloom.seed_discovery.owners.open_job import OpenJob
from foldloom.seed_discovery.owners.task_histories import TaskHistories
from foldloom.seed_discovery.owners.withdrawal import (
    Withdrawal,
    log_cancel_outcome,
    may_have_started,
)
from foldloom.settings import TimingSettings
from foldloom.tasks import TaskSet

# Interval of checks for expired grants; small against the time after which a grant expires.
_LOST_CHECK_S = 0.05
# Random bits of the first delivery number, so that incarnations do not share numbers; fits 64 bits.
_DELIVERY_BITS = 48
# Interval of checks for a reachable owner; small against a job's response-time objective.
_OWNER_CHECK_S = 0.01

# Ends that an owner concludes from an expired lease, or from what no endpoint reports.
_CAUSES_WITHOUT_REPORT = frozenset({EndCause.LAPSED, EndCause.LOST})


class _MovedTo(NamedTuple):
    """Where runs of a batch are delivered next.

    Args:
        batch: Their batch.
        zone: The zone.
        is_bound: Whether no other zone may run them, even if this one has no owner.
    """

    batch: Batch
    zone: str
    is_bound: bool


class OwnerClient:
    """Client for the owners of all zones; prefers the owner of the own zone.

    Args:
        view: The other boxes.
        network: Connections to the other boxes.
        timings: Intervals and timeouts.
    """

    def __init__(self, view: FleetView, network: PeerNetwork, timings: TimingSettings) -> None:
        self._view = view
        self._network = network
        self._timings = timings
        # Random start, so that ends sent to an earlier incarnation of this box match no run here.
        self._deliveries = itertools.count(1 + secrets.randbits(_DELIVERY_BITS))
        self._histories = TaskHistories()
        self._own_zone_connection = OwnerConnection(
            view.own.zone, view, network, timings, self._deliveries, self._histories
        )
        self._connections: dict[str, OwnerConnection] = {view.own.zone: self._own_zone_connection}
        self._cancels = Cancels(
            self._connections, view.own.zone, network, run_expiry_ms(timings.endpoint_lease_ms)
        )
        self._tasks = TaskSet()
        network.on(RunsEnded, self._on_ends)
        network.on(SessionBegan, self._on_session)

    @property
    def silent_ms(self) -> float:
        """Milliseconds since the newest heartbeat of any owner."""
        return min(connection.silent_ms for connection in self._connections.values())

    def bindings_from_others(self, zone: str, token: int) -> list[EndpointBinding]:
        """Return the bindings to endpoints of *zone* that its owner with *token* did not report."""
        return self._histories.bindings_from_others(zone, token)

    def holders_confirmed_ms(self, zone: str) -> float:
        """Return when all boxes that hold runs in *zone* were last known to be alive.

        As heard from the owners of *zone*; minus infinity if not known.
        """
        connection = self._connections.get(zone)
        return NEVER_MS if connection is None else connection.holders_confirmed_ms

    def handle_heartbeat(self, heartbeat: OwnerHeartbeat, published_version: int) -> None:
        """Handle a heartbeat from the owner of any zone."""
        connection = self._connections.get(heartbeat.owner.zone)
        if connection is None:
            connection = OwnerConnection(
                heartbeat.owner.zone,
                self._view,
                self._network,
                self._timings,
                self._deliveries,
                self._histories,
            )
            self._connections[heartbeat.owner.zone] = connection
        connection.handle_heartbeat(heartbeat, published_version)

    async def run(self) -> None:
        """Report the runs and starts of silent owners as lost; runs until cancelled."""
        while True:
            await asyncio.sleep(_LOST_CHECK_S)
            for connection in self._connections.values():
                connection.report_lost_starts()
                for run in connection.pop_lost():
                    self._report_lost(connection, run)

    async def submit(
        self, job: OpenJob, template: SubmitRuns, orders: list[RunOrder]
    ) -> SubmitReply:
        """Deliver runs of *job* to an owner, waiting for one if necessary; return its reply.

        Runs of bound tasks go to the owner of their endpoint's zone. With several owners, the reply
        is the first refusal, if any. A resubmitted job also waits while its cancelled runs may
        remain in another zone.
        """
        reply = SubmitReply(SubmitStatus.TAKEN)
        while orders and reply.status is not SubmitStatus.REFUSED:
            by_zone = self._split_by_zone(template, orders)
            zone = next(iter(by_zone))
            connection = self._select_for_delivery(job.job_id, zone)
            if connection is None:
                while self._select_for_delivery(job.job_id, zone) is None:
                    await asyncio.sleep(_OWNER_CHECK_S)
                # Tasks may have been bound to endpoints of other zones meanwhile.
                continue
            batch = self._find_or_create_batch(connection, job, template)
            reply = await connection.submit(batch, by_zone.pop(zone))
            orders = [order for remaining in by_zone.values() for order in remaining]
        return reply

    async def cancel_and_wait(self, job: OpenJob) -> bool:
        """Cancel a job in all zones; return whether any run of it may have started."""
        withdrawals = self._withdraw(job)
        is_known = job.may_have_started
        # Assumed until the owners have answered, since a deadline may cancel the wait.
        job.may_have_started = True
        answers = await self._cancels.cancel_and_wait(withdrawals)
        log_cancel_outcome(withdrawals, answers)
        job.may_have_started = is_known or may_have_started(withdrawals, answers)
        return job.may_have_started

    def cancel_in_background(self, job: OpenJob) -> None:
        """Cancel a job in all zones without waiting for the owners' answers."""
        self._cancels.begin(self._withdraw(job))

    def _withdraw(self, job: OpenJob) -> list[Withdrawal]:
        """Drop the batches of *job* in all zones and return the withdrawals.

        This must not await: the batches of a lost owner may be dropped at any suspension point, and
        the record of a start would be missed.
        """
        job.is_active = False
        withdrawn = (connection.withdraw(job) for connection in self._connections.values())
        return [withdrawal for withdrawal in withdrawn if withdrawal is not None]

    def _report_lost(self, connection: OwnerConnection, run: LostRun) -> None:
        """Report as lost a run of an owner whose grant has expired."""
        batch, order = run
        PLACE_LOG.event(
            "run.lost",
            job=batch.job.job_id,
            task=order.position,
            run=order.attempt,
            zone=connection.zone,
            owner=connection.owner.box,
            silent_ms=int(connection.silent_ms),
        )
        batch.job.ends.put_nowait(RunEnd(RunId(batch.task(order), order.attempt), EndCause.LOST))

    def _split_by_zone(
        self, template: SubmitRuns, orders: list[RunOrder]
    ) -> dict[str | None, list[RunOrder]]:
        """Return *orders* by the zone of their task's endpoint, ``None`` for tasks not bound."""
        now_ms = monotonic_ms()
        by_zone: dict[str | None, list[RunOrder]] = {}
        for order in orders:
            task = TaskId(template.job_id, template.repeat, order.step, order.position)
            by_zone.setdefault(self._histories.bound_zone(task, now_ms), []).append(order)
        return by_zone

    def _select_for_delivery(self, job_id: str, zone: str | None) -> OwnerConnection | None:
        """Return the selected owner if a job may be delivered to it now."""
        connection = self._select_connection(zone)
        if connection is None or not self._cancels.may_deliver(job_id, connection.zone):
            return None
        return connection

    def _select_connection(self, zone: str | None = None) -> OwnerConnection | None:
        """Return the owner of *zone* if usable; if no zone is given, the best one.

        That is the own zone's owner if usable, else the one with the most free capacity.
        """
        silent_max_ms = self._timings.owner_silent_ms
        if zone is not None:
            connection = self._connections.get(zone)
            is_usable = connection is not None and connection.silent_ms < silent_max_ms
            return connection if is_usable else None
        if (
            self._own_zone_connection.silent_ms < silent_max_ms
            and self._own_zone_connection.load.total_milli
        ):
            return self._own_zone_connection
        reachable = [
            connection
            for connection in self._connections.values()
            if connection.silent_ms < silent_max_ms
        ]
        return max(
            reachable,
            key=lambda connection: (connection.load.free_milli, connection.load.total_milli),
            default=None,
        )

    def _find_or_create_batch(
        self, connection: OwnerConnection, job: OpenJob, template: SubmitRuns
    ) -> Batch:
        for batch in connection.batches_of_job(job):
            if batch.template == template:
                return batch
        return Batch(job, template)

    def _on_session(self, _sender: str, message: SessionBegan) -> SessionNoted:
        connection = self._connections.get(message.zone)
        if connection is not None and connection.owner.token == message.token:
            connection.redeliver_all()
        return SessionNoted()

    def _on_ends(self, _sender: str, message: RunsEnded) -> EndsNoted:
        connection = self._connections.get(message.zone)
        now_ms = monotonic_ms()
        for report in message.crashes:
            self._histories.note_crashes(report, now_ms)
        for binding in message.bindings:
            self._histories.note_binding(message.zone, binding, now_ms, message.token)
        lifted = (
            StartOrdered(binding.run_id, binding.endpoint, is_answered=True)
            for binding in message.bindings
            if binding.is_lifted
        )
        for start in (*message.starts, *lifted):
            if connection is not None:
                connection.note_start(start, message.token)
        for start in message.owner_starts:
            if connection is not None:
                connection.note_owner_start(start, message.token)
        moved: dict[_MovedTo, list[RunOrder]] = {}
        for end in message.ends:
            if connection is not None:
                token = message.token or connection.owner.token
                self._handle_end(connection, end, token, moved)
        for target, orders in moved.items():
            self._tasks.spawn(self._redeliver_moved(target, orders))
        is_present_owner = connection is not None and connection.owner.token == message.token
        if connection is not None and is_present_owner and message.announced is not None:
            connection.note_announced(message.announced)
        return EndsNoted(is_present_owner)

    def _handle_end(
        self,
        connection: OwnerConnection,
        end: RunEnd,
        token: int,
        moved: dict[_MovedTo, list[RunOrder]],
    ) -> None:
        """Pass an end to its job, or add its order to *moved* if another zone takes the run."""
        # The present owner has the run and may have renewed its lease since.
        is_outdated = token < connection.owner.token and end.cause in _CAUSES_WITHOUT_REPORT
        batches = [] if is_outdated else connection.batches_by_id(end.run_id.task.job_id)
        for batch in batches:
            order = batch.close(end, token)
            if order is None:
                continue
            if end.cause is EndCause.MOVED:
                bound_zone = self._histories.bound_zone(batch.task(order), monotonic_ms())
                target = _MovedTo(batch, bound_zone or end.moved_to, bool(bound_zone))
                moved.setdefault(target, []).append(order)
            else:
                batch.job.ends.put_nowait(end)
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

    async def _redeliver_moved(self, target: _MovedTo, orders: list[RunOrder]) -> None:
        """Deliver runs that were moved to the owner of another zone."""
        batch = target.batch
        connection = self._select_connection(target.zone)
        while connection is None and batch.job.is_active:
            connection = self._select_connection(target.zone if target.is_bound else None)
            await asyncio.sleep(_OWNER_CHECK_S)
        if connection is None or not batch.job.is_active:
            return
        PLACE_LOG.event(
            "run.moved",
            job=batch.job.job_id,
            tasks=", ".join(str(order.position) for order in orders),
            runs=len(orders),
            zone=connection.zone,
        )
        moved = [order._replace(is_moved=True, is_resumed=False) for order in orders]
        in_zone = self._find_or_create_batch(connection, batch.job, batch.template)
        await connection.submit(in_zone, moved)
