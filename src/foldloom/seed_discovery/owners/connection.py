# SPDX-License-Identifier: MIT
"""An entry box's connection to the owner of one zone.

Holds the batches delivered to the owner and the grant given to it. When the owner's heartbeats
stop, its runs count as ended only after the grant has expired.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from typing import NamedTuple

from foldloom.clock import monotonic_ms
from foldloom.exceptions import PeerUnreachableError
from foldloom.logs import PLACE_LOG
from foldloom.peers.wire import PeerNetwork
from foldloom.seed_discovery.fleet.messages import (
    HeartbeatAck,
    OwnerHeartbeat,
    OwnerRecord,
    ZoneLoad,
)
from foldloom.seed_discovery.fleet.view import FleetView
from foldloom.seed_discovery.owners.announced_endpoints import AnnouncedEndpoints
from foldloom.seed_discovery.owners.batches import Batch
from foldloom.seed_discovery.owners.grant import Grant
from foldloom.seed_discovery.owners.holder_confirmations import HolderConfirmations
from foldloom.seed_discovery.owners.messages import (
    EndpointBinding,
    EndpointList,
    RunOrder,
    RunsEnded,
    StartOrdered,
    SubmitReply,
    SubmitStatus,
)
from foldloom.seed_discovery.owners.open_job import OpenJob
from foldloom.seed_discovery.owners.starts_in_flight import StartsInFlight
from foldloom.seed_discovery.owners.task_histories import TaskHistories
from foldloom.seed_discovery.owners.withdrawal import Withdrawal, withdraw
from foldloom.settings import TimingSettings
from foldloom.tasks import TaskSet

# Retransmission timeout: well above a round trip between zones.
REPLY_TIMEOUT_MS = 150
# Back-off after a NOT_OWNER reply; below the heartbeat interval of owners.
_NOT_OWNER_BACKOFF_S = 0.02
# Tries to report the bindings of a lost owner to a box, which may be lost too.
_REPORT_TRIES = 20


class LostRun(NamedTuple):
    """A run that ended with its owner's grant, without a notification."""

    batch: Batch
    order: RunOrder


class OwnerConnection:
    """The connection to the current owner of one zone.

    Args:
        zone: The zone.
        view: The other boxes.
        network: Connections to the other boxes.
        timings: Intervals and timeouts.
        deliveries: Source of rising delivery numbers.
        histories: What the owners have reported about tasks.
    """

    def __init__(
        self,
        zone: str,
        view: FleetView,
        network: PeerNetwork,
        timings: TimingSettings,
        deliveries: Iterator[int],
        histories: TaskHistories,
    ) -> None:
        self.zone = zone
        self.load = ZoneLoad()
        self._view = view
        self._network = network
        self._timings = timings
        self._deliveries = deliveries
        self._histories = histories
        self._owner = OwnerRecord(zone)
        self._grant = Grant(timings)
        self._confirmations = HolderConfirmations()
        self._announced = AnnouncedEndpoints(self._has_earlier_runs)
        self._batches: dict[str, list[Batch]] = {}
        # Of runs that this box has cancelled, and of runs that only the owner's box has delivered.
        self._cancelled_starts = StartsInFlight()
        self._owner_starts = StartsInFlight()
        self._lost: list[LostRun] = []
        self._has_owner = asyncio.Event()
        self._tasks = TaskSet()

    @property
    def owner(self) -> OwnerRecord:
        """The owner to which runs are delivered."""
        return self._owner

    @property
    def silent_ms(self) -> float:
        """Milliseconds since the owner's newest heartbeat."""
        return self._grant.silent_ms(monotonic_ms())

    @property
    def holders_confirmed_ms(self) -> float:
        """When all boxes that hold runs in the zone were last known to be alive."""
        return self._confirmations.confirmed_ms

    def handle_heartbeat(self, heartbeat: OwnerHeartbeat, published_version: int) -> None:
        """Acknowledge a heartbeat and renew the grant; deliver open runs to a new owner."""
        if heartbeat.owner.token < self._owner.token:
            return
        # Read once, so that a process pause during this call still counts as silence afterwards.
        now_ms = monotonic_ms()
        self._end_expired_grant(now_ms)
        is_new = heartbeat.owner.token != self._owner.token
        old_right_ms = self._grant.session_left_ms(now_ms)
        if is_new:
            self._bind_starts_in_flight()
            if self._owner.token:
                self._announced.end_owner(now_ms, self._grant.lapses_ms)
            self._announced.begin_owner(heartbeat.announces_endpoints)
        self._owner = heartbeat.owner
        self._confirmations.note(heartbeat, now_ms)
        self.load = heartbeat.load
        ack = HeartbeatAck(
            heartbeat.owner.token,
            heartbeat.sent_ms,
            self._view.own,
            published_version,
            self._announced.of_earlier_owners(now_ms),
        )
        self._network.send(heartbeat.owner.box, ack)
        self._grant.renew(now_ms)
        self._has_owner.set()
        if is_new:
            self._redeliver_to_new_owner(old_right_ms)

    def batches_by_id(self, job_id: str) -> list[Batch]:
        """Return the open batches of all submissions with this id in this zone."""
        return self._batches.get(job_id, [])

    def batches_of_job(self, job: OpenJob) -> list[Batch]:
        """Return the open batches of one job in this zone."""
        return [batch for batch in self.batches_by_id(job.job_id) if batch.job is job]

    def note_announced(self, announced: EndpointList) -> None:
        """Record the endpoints on which the present owner starts runs."""
        self._announced.note(announced)

    def note_start(self, start: StartOrdered, token: int) -> None:
        """Record a start order of the owner with *token* for one of this box's runs."""
        if token < self._owner.token:
            self._note_late_start(start, token)
        if token != self._owner.token:
            return
        if start.is_answered:
            for starts in (self._cancelled_starts, self._owner_starts):
                starts.note(start, monotonic_ms())
        for batch in self.batches_by_id(start.run_id.task.job_id):
            batch.note_start(start)

    def note_owner_start(self, start: StartOrdered, token: int) -> None:
        """Record a start order of the owner with *token* for a run of the owner's own box."""
        if token < self._owner.token:
            self._note_late_start(start, token)
        if token == self._owner.token:
            self._owner_starts.note(start, monotonic_ms())

    def _note_late_start(self, start: StartOrdered, token: int) -> None:
        """Bind the task of a start order of the earlier owner with *token*, unless answered.

        That owner sent it before it was replaced, and the next one does not know of it.
        """
        binding = EndpointBinding(start.run_id, start.endpoint, is_lifted=start.is_answered)
        self._histories.note_binding(self.zone, binding, monotonic_ms(), token)

    def pop_lost(self) -> list[LostRun]:
        """Return and drop the runs that ended with an expired grant."""
        self._end_expired_grant(monotonic_ms())
        lost, self._lost = self._lost, []
        return lost

    async def submit(self, batch: Batch, orders: list[RunOrder]) -> SubmitReply:
        """Deliver *orders* and return the owner's reply."""
        orders = self._with_delivery_number(orders)
        batch.add(orders)
        batches = self._batches.setdefault(batch.job.job_id, [])
        if batch not in batches:
            batches.append(batch)
        return await self._send(batch, orders, 0.0)

    def withdraw(self, job: OpenJob) -> Withdrawal | None:
        """Drop the batches of *job*; return their withdrawal, or ``None`` without any."""
        batches = self.batches_of_job(job)
        if not batches:
            return None
        self._drop_batches(batches)
        # Until the owner has answered the cancel, nobody else may know of them.
        for start in (start for batch in batches for start in batch.starts_in_flight):
            self._cancelled_starts.note(start, monotonic_ms())
        return withdraw(batches, self._owner, self._grant.number)

    def note_cancel_answered(self, job_id: str, withdrawn_ms: float) -> None:
        """Record that the owner has stopped the runs of a job withdrawn at *withdrawn_ms*."""
        self._cancelled_starts.discard_job(job_id, withdrawn_ms)

    def report_lost_starts(self) -> None:
        """Bind the tasks of withdrawn runs, and of runs of the owner's box, if it is silent.

        Their jobs may be submitted again in any zone.
        """
        if self.silent_ms >= self._timings.owner_silent_ms:
            self._report_bindings(self._pop_bindings())

    def is_granted(self, owner: OwnerRecord, grant: int) -> bool:
        """Return whether *owner* is still the owner and *grant* is valid."""
        if owner != self._owner or grant != self._grant.number:
            return False
        return not self._grant.has_lapsed(monotonic_ms())

    def redeliver_all(self) -> None:
        """Deliver all open runs again to an owner that dropped them with the expired session."""
        for batches in self._batches.values():
            for batch in batches:
                # Marked as moved, so that runs accepted before are not refused now.
                orders = [order._replace(is_moved=True) for order in batch.orders]
                if not orders:
                    continue
                orders = self._with_delivery_number(orders)
                batch.add(orders)
                self._tasks.spawn(self._redeliver(batch, orders, 0.0, is_renewed=True))

    def _end_expired_grant(self, now_ms: float) -> None:
        """Turn all open runs into lost ones if the grant has expired."""
        if not self._grant.has_lapsed(now_ms):
            return
        silent_ms = self._grant.silent_ms(now_ms)
        self._grant.end()
        batches = [batch for of_job in self._batches.values() for batch in of_job]
        if not batches:
            return
        PLACE_LOG.event(
            "grant.lapsed",
            zone=self.zone,
            owner=self._owner.box,
            token=self._owner.token,
            silent_ms=int(silent_ms),
            jobs=len(self._batches),
            runs=sum(len(batch.orders) for batch in batches),
        )
        self._bind_starts_in_flight()
        self._batches.clear()
        for batch in batches:
            # Its owner can no longer be queried. This includes batches without open runs, since a
            # run that has ended may have started.
            if batch.has_started or batch.tokens:
                batch.job.may_have_started = True
            self._lost.extend(LostRun(batch, order) for order in batch.orders)
            # A delivery still being retransmitted must not reach the owner when it is back.
            batch.clear()

    def _has_earlier_runs(self) -> bool:
        """Return whether an owner before the present one may have started an open run."""
        return any(
            batch.tokens - {self._owner.token}
            for batches in self._batches.values()
            for batch in batches
        )

    def _drop_batches(self, batches: list[Batch]) -> None:
        job_id = batches[0].job.job_id
        remaining = [batch for batch in self.batches_by_id(job_id) if batch not in batches]
        if remaining:
            self._batches[job_id] = remaining
        else:
            del self._batches[job_id]

    def _with_delivery_number(self, orders: list[RunOrder]) -> list[RunOrder]:
        delivery = next(self._deliveries)
        return [order._replace(delivery=delivery) for order in orders]

    def _redeliver_to_new_owner(self, old_right_ms: float) -> None:
        """Deliver the open runs of earlier owners to a new one, which finds those that run."""
        for batches in self._batches.values():
            for batch in batches:
                orders = batch.resume()
                if not orders:
                    continue
                self._tasks.spawn(self._redeliver(batch, orders, old_right_ms))

    def _bind_starts_in_flight(self) -> None:
        """Bind the tasks whose start order the owner, which is lost, has sent without an answer."""
        of_open_runs = [
            EndpointBinding(start.run_id, start.endpoint)
            for batches in self._batches.values()
            for batch in batches
            for start in batch.starts_in_flight
        ]
        self._report_bindings([*self._pop_bindings(), *of_open_runs])

    def _pop_bindings(self) -> list[EndpointBinding]:
        now_ms = monotonic_ms()
        cancelled = self._cancelled_starts.pop_bindings(now_ms)
        return [*cancelled, *self._owner_starts.pop_bindings(now_ms)]

    def _report_bindings(self, bindings: list[EndpointBinding]) -> None:
        """Record *bindings* of the owner, which is lost, and report them to all other boxes."""
        token = self._owner.token
        for binding in bindings:
            self._histories.note_binding(self.zone, binding, monotonic_ms(), token)
        if not bindings:
            return
        report = RunsEnded(self.zone, [], token, bindings=tuple(bindings))
        for box in self._view.entries:
            if box != self._view.own.box:
                self._tasks.spawn(self._report(box, report))

    async def _report(self, box: str, report: RunsEnded) -> None:
        for _ in range(_REPORT_TRIES):
            try:
                await self._network.request(box, report, REPLY_TIMEOUT_MS)
                return
            except PeerUnreachableError:
                continue
        PLACE_LOG.event("bindings.not_reported", zone=self.zone, peer=box, tries=_REPORT_TRIES)

    async def _redeliver(
        self, batch: Batch, orders: list[RunOrder], right_ms: float, is_renewed: bool = False
    ) -> None:
        """Deliver *orders* again, to a new owner or in a renewed session."""
        reply = await self._send(batch, orders, right_ms, is_renewed)
        PLACE_LOG.event(
            "runs.resumed",
            job=batch.job.job_id,
            runs=len(orders),
            why="renewed session" if is_renewed else "new owner",
            delivery=orders[0].delivery,
            owner=self._owner.box,
            token=self._owner.token,
            old_right_ms=int(right_ms),
            outcome=reply.status.name.lower(),
        )

    async def _send(
        self,
        batch: Batch,
        orders: list[RunOrder],
        old_right_ms: float,
        is_renewed: bool = False,
    ) -> SubmitReply:
        """Send *orders* until an owner replies.

        Stop when a newer owner has taken over, except with those that no owner has accepted.
        """
        sent_token = 0
        old_right_end_ms = monotonic_ms() + old_right_ms
        while True:
            await self._has_owner.wait()
            owner = self._owner
            if sent_token and owner.token != sent_token:
                # The others have already been delivered to the new owner.
                orders = [order for order in orders if not order.is_resumed]
            still_open = [order for order in orders if batch.is_open(order)]
            if not still_open:
                return SubmitReply(SubmitStatus.TAKEN)
            sent_token = owner.token
            left_ms = max(0.0, old_right_end_ms - monotonic_ms())
            message = batch.message(owner.token, still_open, left_ms)._replace(
                is_renewed=is_renewed
            )
            message = self._histories.annotate(message, self.zone, monotonic_ms())
            first_sent = batch.note_sent(still_open, owner.token)
            try:
                reply: SubmitReply = await self._network.request(
                    owner.box, message, REPLY_TIMEOUT_MS
                )
            except PeerUnreachableError:
                # Retransmit to the current owner; the delivery number identifies duplicates.
                continue
            if reply.status is not SubmitStatus.NOT_OWNER:
                return reply
            batch.note_not_taken(first_sent, owner.token)
            await asyncio.sleep(_NOT_OWNER_BACKOFF_S)
