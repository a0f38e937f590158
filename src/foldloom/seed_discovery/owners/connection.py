# SPDX-License-Identifier: MIT
"""An entry box's connection to the owner of one zone: runs delivered, a new owner, a lapsed grant.

Owns the batches delivered to this owner and the grant that it was given. Relies on the owner's
heartbeats; when they stop, runs are taken for ended only after the grant has lapsed for certain.
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
from foldloom.seed_discovery.owners.batches import Batch
from foldloom.seed_discovery.owners.grant import Grant
from foldloom.seed_discovery.owners.messages import RunOrder, SubmitReply, SubmitStatus
from foldloom.seed_discovery.owners.open_job import OpenJob
from foldloom.seed_discovery.owners.withdrawal import Withdrawal, withdraw
from foldloom.settings import TimingSettings
from foldloom.tasks import TaskSet

# Milliseconds until a message without a reply is sent again: far above a round trip between zones.
REPLY_TIMEOUT_MS = 150
# Seconds until runs are delivered again to a box that says it does not own the zone: below an
# owner's heartbeat (100 ms), which names the owner.
_NOT_OWNER_BACKOFF_S = 0.02


class LostRun(NamedTuple):
    """A run of whose end its owner will never notify this box."""

    batch: Batch
    order: RunOrder


class OwnerConnection:
    """The connection to one zone's owner, whoever that is at the time.

    Args:
        zone: The zone.
        view: The other boxes.
        network: The peers.
        timings: Intervals and bounds.
        deliveries: Numbers of deliveries; they rise.
    """

    def __init__(
        self,
        zone: str,
        view: FleetView,
        network: PeerNetwork,
        timings: TimingSettings,
        deliveries: Iterator[int],
    ) -> None:
        self.zone = zone
        self.load = ZoneLoad()
        self._view = view
        self._network = network
        self._deliveries = deliveries
        self._owner = OwnerRecord(zone)
        self._grant = Grant(timings)
        self._batches: dict[str, list[Batch]] = {}
        self._lost: list[LostRun] = []
        self._has_owner = asyncio.Event()
        self._tasks = TaskSet()

    @property
    def owner(self) -> OwnerRecord:
        """The owner that runs are delivered to."""
        return self._owner

    @property
    def silent_ms(self) -> float:
        """Milliseconds since the owner's newest heartbeat."""
        return self._grant.silent_ms(monotonic_ms())

    def handle_heartbeat(self, heartbeat: OwnerHeartbeat, published_version: int) -> None:
        """Grant the owner its right; deliver everything open to a new one."""
        if heartbeat.owner.token < self._owner.token:
            return
        # Read once: a box that stands still while it handles this must find out afterwards.
        now_ms = monotonic_ms()
        self._end_lapsed_grant(now_ms)
        is_new = heartbeat.owner.token != self._owner.token
        old_right_ms = self._grant.session_left_ms(now_ms)
        self._owner = heartbeat.owner
        self.load = heartbeat.load
        ack = HeartbeatAck(
            heartbeat.owner.token, heartbeat.sent_ms, self._view.own, published_version
        )
        self._network.send(heartbeat.owner.box, ack)
        self._grant.renew(now_ms)
        self._has_owner.set()
        if is_new:
            self._redeliver_to_new_owner(old_right_ms)

    def batches_by_id(self, job_id: str) -> list[Batch]:
        """Return what is open under an id in this zone, of whichever submission of it."""
        return self._batches.get(job_id, [])

    def batches_of_job(self, job: OpenJob) -> list[Batch]:
        """Return what is open of a job in this zone."""
        return [batch for batch in self.batches_by_id(job.job_id) if batch.job is job]

    def pop_lost(self) -> list[LostRun]:
        """Return and drop the runs of an owner whose grant has lapsed; all of them have ended."""
        self._end_lapsed_grant(monotonic_ms())
        lost, self._lost = self._lost, []
        return lost

    async def submit(self, batch: Batch, orders: list[RunOrder]) -> SubmitReply:
        """Deliver *orders*; return once the owner has taken or refused them."""
        orders = self._with_delivery_number(orders)
        batch.add(orders)
        batches = self._batches.setdefault(batch.job.job_id, [])
        if batch not in batches:
            batches.append(batch)
        return await self._send(batch, orders, 0.0)

    def withdraw(self, job: OpenJob) -> Withdrawal | None:
        """Want nothing of *job* any more; return what is known of its runs here, if it has any."""
        batches = self.batches_of_job(job)
        if not batches:
            return None
        self._forget(batches)
        return withdraw(batches, self._owner, self._grant.number)

    def is_granted(self, owner: OwnerRecord, grant: int) -> bool:
        """Return whether *owner* still is the owner, and its *grant* is unbroken."""
        if owner != self._owner or grant != self._grant.number:
            return False
        return not self._grant.has_lapsed(monotonic_ms())

    def redeliver_all(self) -> None:
        """Deliver everything open to the same owner again: it has dropped it meanwhile."""
        for batches in self._batches.values():
            for batch in batches:
                # What was taken once is not refused now.
                orders = [order._replace(is_moved=True) for order in batch.orders]
                if not orders:
                    continue
                orders = self._with_delivery_number(orders)
                batch.add(orders)
                self._tasks.spawn(self._redeliver(batch, orders, 0.0, "renewed session"))

    def _end_lapsed_grant(self, now_ms: float) -> None:
        """Take everything for ended that the owner held, if its grant has lapsed."""
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
        self._batches.clear()
        for batch in batches:
            # Its owner can't be asked any more. Also of batches that have no run open: one that
            # has ended may have run.
            if batch.has_started or batch.terms:
                batch.job.may_have_started = True
            self._lost.extend(LostRun(batch, order) for order in batch.orders)
            # A delivery that is still being sent must not reach the owner when it is back.
            batch.clear()

    def _forget(self, batches: list[Batch]) -> None:
        job_id = batches[0].job.job_id
        left = [batch for batch in self.batches_by_id(job_id) if batch not in batches]
        if left:
            self._batches[job_id] = left
        else:
            del self._batches[job_id]

    def _with_delivery_number(self, orders: list[RunOrder]) -> list[RunOrder]:
        delivery = next(self._deliveries)
        return [order._replace(delivery=delivery) for order in orders]

    def _redeliver_to_new_owner(self, old_right_ms: float) -> None:
        """Deliver everything open to a new owner, which finds out whether it runs already."""
        for batches in self._batches.values():
            for batch in batches:
                orders = [order._replace(is_resumed=True) for order in batch.orders]
                if not orders:
                    continue
                batch.add(orders)
                self._tasks.spawn(self._redeliver(batch, orders, old_right_ms, "new owner"))

    async def _redeliver(
        self, batch: Batch, orders: list[RunOrder], right_ms: float, why: str
    ) -> None:
        reply = await self._send(batch, orders, right_ms)
        PLACE_LOG.event(
            "runs.resumed",
            job=batch.job.job_id,
            runs=len(orders),
            why=why,
            delivery=orders[0].delivery,
            owner=self._owner.box,
            token=self._owner.token,
            old_right_ms=int(right_ms),
            outcome=reply.status.name.lower(),
        )

    async def _send(self, batch: Batch, orders: list[RunOrder], old_right_ms: float) -> SubmitReply:
        """Send until an owner answers for it; one of a newer owner ends an older one's."""
        sent_token = 0
        old_right_end_ms = monotonic_ms() + old_right_ms
        while True:
            await self._has_owner.wait()
            owner = self._owner
            if sent_token and owner.token != sent_token:
                # Everything open was delivered to the new owner already.
                return SubmitReply(SubmitStatus.TAKEN)
            still_open = [order for order in orders if batch.is_open(order)]
            if not still_open:
                return SubmitReply(SubmitStatus.TAKEN)
            sent_token = owner.token
            left_ms = max(0.0, old_right_end_ms - monotonic_ms())
            message = batch.message(owner.token, still_open, left_ms)
            batch.note_sent(still_open, owner.token)
            try:
                reply: SubmitReply = await self._network.request(
                    owner.box, message, REPLY_TIMEOUT_MS
                )
            except PeerUnreachableError:
                # Sent again to whoever owns the zone then; copies are told apart by their delivery.
                continue
            if reply.status is not SubmitStatus.NOT_OWNER:
                return reply
            await asyncio.sleep(_NOT_OWNER_BACKOFF_S)
