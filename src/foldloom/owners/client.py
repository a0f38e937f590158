# SPDX-License-Identifier: MIT
"""An entry node's side of its zone's owner: hand runs in, hear their ends, follow a new owner."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Iterable
from typing import Any

from foldloom.exceptions import PeerUnreachableError
from foldloom.fleet.messages import Echo, OwnerBeat, OwnerRecord
from foldloom.fleet.view import FleetView
from foldloom.jobs.spec import TaskId
from foldloom.logs import PLACE_LOG
from foldloom.owners.messages import (
    CancelJob,
    EndsNoted,
    RunEnd,
    RunOrder,
    RunsEnded,
    SubmitReply,
    SubmitRuns,
    SubmitStatus,
)
from foldloom.peers.wire import PeerNetwork, monotonic_ms
from foldloom.settings import TimingSettings

_ASK_TIMEOUT_MS = 150
_NOT_OWNER_PAUSE_S = 0.02
_CANCEL_TRIES = 3


class Batch:
    """Runs of one step of a job that were handed in and have not ended.

    Args:
        template: What is the same in every message about them.
        ends: Where their ends go.
    """

    def __init__(self, template: SubmitRuns, ends: asyncio.Queue[RunEnd]) -> None:
        self.template = template
        self.ends = ends
        self.began_ms = monotonic_ms()
        self._open: dict[TaskId, RunOrder] = {}

    def add(self, orders: Iterable[RunOrder]) -> None:
        """Note runs that are handed in."""
        for order in orders:
            self._open[self._task(order)] = order

    def close(self, end: RunEnd) -> bool:
        """Note an end; return whether it is that of an open run."""
        order = self._open.get(end.run_id.task)
        if order is None or end.run_id.run < order.run:
            return False
        del self._open[end.run_id.task]
        return True

    @property
    def orders(self) -> list[RunOrder]:
        """The runs that are open."""
        return list(self._open.values())

    def is_open(self, order: RunOrder) -> bool:
        """Return whether the end of *order* is still to come."""
        return self._open.get(self._task(order)) == order

    def message(self, token: int, orders: list[RunOrder], old_right_ms: float) -> SubmitRuns:
        """Return the message that hands *orders* to the owner with *token*."""
        spent_ms = int(monotonic_ms() - self.began_ms)
        template = self.template
        return template._replace(
            token=token,
            aim_ms=template.aim_ms - spent_ms,
            late_ms=template.late_ms - spent_ms,
            deadline_ms=template.deadline_ms - spent_ms,
            old_right_ms=int(old_right_ms),
            orders=orders,
        )

    def _task(self, order: RunOrder) -> TaskId:
        return TaskId(self.template.job_id, self.template.repeat, order.step, order.number)


class OwnerClient:
    """Talk to the owner of this node's zone.

    Args:
        view: The other nodes.
        network: The peers.
        timings: Intervals and bounds.
    """

    def __init__(self, view: FleetView, network: PeerNetwork, timings: TimingSettings) -> None:
        self._view = view
        self._network = network
        self._session_ms = float(timings.session_ms)
        self._owner = OwnerRecord(view.own.zone)
        self._echoed_ms = -self._session_ms
        self._beaten_ms = -self._session_ms
        self._batches: dict[str, list[Batch]] = {}
        self._has_owner = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        network.on(RunsEnded, self._on_ends)

    @property
    def owner(self) -> OwnerRecord:
        """The owner that runs are handed to."""
        return self._owner

    @property
    def silent_ms(self) -> float:
        """How long ago the owner was heard."""
        return monotonic_ms() - self._beaten_ms

    def hear_beat(self, beat: OwnerBeat, published_version: int) -> None:
        """Grant the owner its right; hand everything open to a new one."""
        is_new = beat.owner.token != self._owner.token
        old_right_ms = max(0.0, self._echoed_ms + self._session_ms - monotonic_ms())
        self._owner = beat.owner
        self._beaten_ms = monotonic_ms()
        echo = Echo(beat.owner.token, beat.sent_ms, self._view.own, published_version)
        self._network.tell(beat.owner.node, echo)
        self._echoed_ms = monotonic_ms()
        self._has_owner.set()
        if is_new:
            self._resume(old_right_ms)

    async def submit(self, batch: Batch, orders: list[RunOrder]) -> SubmitReply:
        """Hand *orders* in; return once the owner has taken or refused them."""
        batch.add(orders)
        batches = self._batches.setdefault(batch.template.job_id, [])
        if batch not in batches:
            batches.append(batch)
        return await self._send(batch, orders, 0.0)

    def forget(self, job_id: str) -> None:
        """Want nothing more of a job; what still runs of it is stopped."""
        batches = self._batches.pop(job_id, [])
        if any(batch.orders for batch in batches):
            self._spawn(self._cancel(job_id))

    def _resume(self, old_right_ms: float) -> None:
        """Hand everything open to a new owner, which looks whether it runs already."""
        for batches in self._batches.values():
            for batch in batches:
                orders = [order._replace(is_resumed=True) for order in batch.orders]
                if not orders:
                    continue
                batch.add(orders)
                self._spawn(self._send_again(batch, orders, old_right_ms))

    async def _send_again(self, batch: Batch, orders: list[RunOrder], right_ms: float) -> None:
        reply = await self._send(batch, orders, right_ms)
        PLACE_LOG.info(
            "Job {}: {} runs handed to owner {}: {}.",
            batch.template.job_id,
            len(orders),
            self._owner.node,
            reply.status.name,
        )

    async def _send(self, batch: Batch, orders: list[RunOrder], old_right_ms: float) -> SubmitReply:
        """Send until an owner answers for it; one of a newer owner ends an older one's."""
        sent_to = 0
        right_end_ms = monotonic_ms() + old_right_ms
        while True:
            await self._has_owner.wait()
            owner = self._owner
            if sent_to and owner.token != sent_to:
                # The new owner was handed everything open already.
                return SubmitReply(SubmitStatus.TAKEN)
            still_open = [order for order in orders if batch.is_open(order)]
            if not still_open:
                return SubmitReply(SubmitStatus.TAKEN)
            sent_to = owner.token
            left_ms = max(0.0, right_end_ms - monotonic_ms())
            message = batch.message(owner.token, still_open, left_ms)
            try:
                reply: SubmitReply = await self._network.ask(owner.node, message, _ASK_TIMEOUT_MS)
            except PeerUnreachableError:
                continue
            if reply.status is not SubmitStatus.NOT_OWNER:
                return reply
            await asyncio.sleep(_NOT_OWNER_PAUSE_S)

    async def _cancel(self, job_id: str) -> None:
        for _ in range(_CANCEL_TRIES):
            try:
                await self._network.ask(self._owner.node, CancelJob(job_id), _ASK_TIMEOUT_MS)
                return
            except PeerUnreachableError:
                continue

    def _on_ends(self, _sender: str, message: RunsEnded) -> EndsNoted:
        for end in message.ends:
            for batch in self._batches.get(end.run_id.task.job_id, ()):
                if batch.close(end):
                    batch.ends.put_nowait(end)
                    break
        return EndsNoted()

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
