# SPDX-License-Identifier: MIT
"""An entry box's side of the owners: which one gets a job's runs, and where their ends go."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Coroutine
from typing import Any

from foldloom.fleet.messages import OwnerBeat
from foldloom.fleet.view import FleetView
from foldloom.jobs.spec import RunId
from foldloom.logs import PLACE_LOG
from foldloom.owners.batches import Batch
from foldloom.owners.messages import (
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
from foldloom.owners.tie import OwnerTie
from foldloom.peers.wire import PeerNetwork
from foldloom.settings import TimingSettings

_LOST_CHECK_S = 0.05
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
        self._home = OwnerTie(view.own.zone, view, network, timings, self._deliveries)
        self._jobs: set[str] = set()
        self._maybe_started: set[str] = set()
        self._ties: dict[str, OwnerTie] = {view.own.zone: self._home}
        self._tasks: set[asyncio.Task[Any]] = set()
        network.on(RunsEnded, self._on_ends)
        network.on(SessionBegan, self._on_session)

    @property
    def silent_ms(self) -> float:
        """How long ago any owner was heard that could take a job."""
        return min(tie.silent_ms for tie in self._ties.values())

    def hear_beat(self, beat: OwnerBeat, published_version: int) -> None:
        """Take a beat of any zone's owner."""
        tie = self._ties.get(beat.owner.zone)
        if tie is None:
            tie = OwnerTie(
                beat.owner.zone, self._view, self._network, self._timings, self._deliveries
            )
            self._ties[beat.owner.zone] = tie
        tie.hear_beat(beat, published_version)

    async def run(self) -> None:
        """Tell of runs whose owner fell silent, once they have ended, until cancelled."""
        while True:
            await asyncio.sleep(_LOST_CHECK_S)
            for tie in self._ties.values():
                lost = tie.pop_lost()
                self._maybe_started |= lost.started_jobs & self._jobs
                for batch, order in lost.runs:
                    # Its owner can't be asked any more, and may have started it.
                    self._maybe_started.add(batch.template.job_id)
                    PLACE_LOG.event(
                        "run.lost",
                        job=batch.template.job_id,
                        task=order.position,
                        run=order.attempt,
                        zone=tie.zone,
                        owner=tie.owner.box,
                        silent_ms=int(tie.silent_ms),
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
        """Hand runs in where they can run, once an owner is heard; return what it replied."""
        self._jobs.add(template.job_id)
        while (tie := self._choose()) is None:
            await asyncio.sleep(_OWNER_CHECK_S)
        return await tie.submit(self._batch(tie, template, began_ms, ends), orders)

    async def give_up(self, job_id: str) -> bool:
        """Want nothing more of a job; return whether any run of it may have started."""
        self._jobs.discard(job_id)
        told = [tie.cancel(job_id) for tie in self._ties.values() if tie.batches_of(job_id)]
        was_known = job_id in self._maybe_started
        # Until the owners have answered: the wait for them may be cut short by a deadline.
        self._maybe_started.add(job_id)
        has_started = any(await asyncio.gather(*told)) or was_known
        if not has_started:
            self._maybe_started.discard(job_id)
        return has_started

    def forget(self, job_id: str) -> None:
        """Want nothing more of a job, and wait for nobody."""
        self._jobs.discard(job_id)
        is_open = any(tie.batches_of(job_id) for tie in self._ties.values())
        if is_open or job_id in self._maybe_started:
            self._spawn(self._forget(job_id))

    async def _forget(self, job_id: str) -> None:
        await self.give_up(job_id)
        self._maybe_started.discard(job_id)

    def _choose(self) -> OwnerTie | None:
        """Return the own zone's owner while it is heard, else the one with the most room."""
        lost_ms = self._timings.owner_silent_ms
        if self._home.silent_ms < lost_ms and self._home.load.total_milli:
            return self._home
        heard = [tie for tie in self._ties.values() if tie.silent_ms < lost_ms]
        return max(heard, key=lambda tie: (tie.load.free_milli, tie.load.total_milli), default=None)

    def _batch(
        self,
        tie: OwnerTie,
        template: SubmitRuns,
        began_ms: float,
        ends: asyncio.Queue[RunEnd],
    ) -> Batch:
        for batch in tie.batches_of(template.job_id):
            if batch.template == template:
                return batch
        return Batch(template, ends, began_ms)

    def _on_session(self, _sender: str, message: SessionBegan) -> SessionNoted:
        tie = self._ties.get(message.zone)
        if tie is not None and tie.owner.token == message.token:
            tie.reopen()
        return SessionNoted()

    def _on_ends(self, _sender: str, message: RunsEnded) -> EndsNoted:
        tie = self._ties.get(message.zone)
        for end in message.ends:
            if tie is not None:
                self._take_end(tie, end)
        return EndsNoted()

    def _take_end(self, tie: OwnerTie, end: RunEnd) -> None:
        for batch in tie.batches_of(end.run_id.task.job_id):
            order = batch.close(end)
            if order is None:
                continue
            if end.cause is EndCause.MOVED:
                self._spawn(self._move(batch, order, end.moved_to))
            else:
                batch.ends.put_nowait(end)
            return

    async def _move(self, batch: Batch, order: RunOrder, zone: str) -> None:
        """Hand a run that its owner gave up to another zone's owner."""
        moved = order._replace(is_moved=True, is_resumed=False)
        tie = self._ties.get(zone)
        if tie is None or tie.silent_ms >= self._timings.owner_silent_ms:
            tie = None
        while tie is None and batch.template.job_id in self._jobs:
            tie = self._choose()
            await asyncio.sleep(_OWNER_CHECK_S)
        if tie is None or batch.template.job_id not in self._jobs:
            return
        PLACE_LOG.event(
            "run.moved",
            job=batch.template.job_id,
            task=order.position,
            run=order.attempt,
            zone=tie.zone,
        )
        target = self._batch(tie, batch.template, batch.began_ms, batch.ends)
        await tie.submit(target, [moved])

    def _spawn(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
