# SPDX-License-Identifier: MIT
"""A job whose runs are delivered again after a session has lapsed is not refused once it has run.

Seen: two jobs were refused with the promise that nothing of them ran. A run of the first had been
ordered by another box and had ended as done; a run of the second had been ordered by the box that
answered, and was stopped.

How it came about: a box stood still for longer than its session with an owner, which ended the
session and dropped the box's runs, and with them the ends that the box had not acknowledged. The
box was back, granted a new session and delivered again what was open there. It was too late for
that by then, so the owner ended the second runs as never started. In the second case owner and box
were one process: it stands still for both, and ends its session with itself.

Cause: what an owner said of a job's starts with the end of a run went by that run alone. Of the
job's earlier runs it knew, but looked at them only if it was asked to cancel the job; of one that
had been stopped and waited again it forgot the start together with the session.

Proof: these plays on the code of that day. The first four are answered with a refusal there; the
steps that the log of the first one shows are those of real processes that did the same. On the
present code they fail as soon as an end that comes too late speaks for its own run only. The last
class plays another way to the same answer: a verdict that is asked for so late that the starts are
forgotten. It fails as soon as an owner is believed under a later grant than that of the delivery.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine, Iterator
from typing import Any

import logbook
import pytest

from foldloom.logs import EventLimits
from foldloom.seed_discovery.endpoints.calls import CallOutcome, CallReply, EndKind, StartOrder
from foldloom.seed_discovery.fleet.messages import OwnerHeartbeat
from foldloom.seed_discovery.jobs.spec import RunId, TaskId
from models.endpoint_world import SimulatedEndpoint
from models.virtual_time import VirtualTimeLoop, run_in_virtual_time
from models.zones_world import ZONES, Answer, ZonesWorld

_JOB = "c" * 16
_FIRST_RUN = RunId(TaskId(_JOB, 0, 0, 0), 1)
_SEED = 1
# Seconds until each zone has its owner and endpoints have reported.
_SETTLE_S = 1.0
# Seconds that a box stands still: longer than a session (0.4) and than a start is of any use,
# shorter than a lease on an endpoint (0.6), after which runs end there by themselves.
_PAUSE_S = 0.5
# Milliseconds of a task: a start is too late for it after 170 ms + 3.8 times a guess that is 84 at
# most.
_TASK_MS = 60.0
# Seconds that a message of a crowded box to itself waits: longer than it takes to stop a run.
_OWN_MESSAGE_DELAY_S = 0.03
_NEVER_MS = 1e5
# Seconds after which a task of _TASK_MS may start in these plays, so that it runs at its deadline
# without having been stopped as stuck.
_STARTS_AFTER_S = 0.2
# Seconds from a job's arrival to its deadline.
_DEADLINE_S = 1.44
# Seconds before its deadline at which the box stands still: less than the 0.05 from one check for
# lapsed grants to the next, so that the deadline may be due before that check.
_PAUSE_BEFORE_DEADLINE_S = 0.025
# Seconds that it stands still: an owner forgets a start 2.0 after the deadline.
_LONG_PAUSE_S = 2.2
# Seconds between two heartbeats of an owner.
_HEARTBEAT_S = 0.1
# Seconds before its next heartbeat is due at which the box stands still. The check may be due in
# between, or not.
_HEARTBEAT_DUE_AFTER_S = [0.0005, 0.001, 0.002, 0.005, 0.02, 0.04, 0.08]
_CLOCK_RATE = 0.98
_OWN_TTL_MS = 1_000


@pytest.fixture(autouse=True)
def _unlimited_log_events(monkeypatch: pytest.MonkeyPatch) -> None:
    """Other tests of this process may have used up the rate of an event."""
    monkeypatch.setattr("foldloom.logs._LIMITS", EventLimits())


class EndlessEndpoint(SimulatedEndpoint):
    """An endpoint whose tasks never end by themselves; ``stopped``: the runs that were."""

    def __init__(self, name: str, rate: float) -> None:
        super().__init__(name, rate)
        self.stopped: list[RunId] = []

    def stop(self, run_id: RunId, token: int, now_ms: float) -> CallOutcome:
        """Carry out an order to stop."""
        self.lapse(now_ms)
        if self.active.get(run_id.task) == run_id.attempt:
            self.stopped.append(run_id)
        return super().stop(run_id, token, now_ms)

    def finish(self, task: TaskId, how: EndKind, now_ms: float) -> None:
        """Leave the task as it is."""


class Rig:
    """One job handed in at one box.

    ``steps``: what became of its runs at the owner, in order.
    """

    def __init__(self, loop: VirtualTimeLoop) -> None:
        self.loop = loop
        self.world = ZonesWorld(_SEED, loop)
        self.box = ""
        self._log = logbook.TestHandler()

    async def settle(self, is_own: bool) -> None:
        """Wait for owners; the job's box is the owner of the first zone or another box of it."""
        await asyncio.sleep(_SETTLE_S)
        of_zone = {name: box for name, box in self.world.boxes.items() if box.zone == ZONES[0]}
        self.box = next(
            name for name, box in of_zone.items() if (box.elector.owner is not None) is is_own
        )

    async def answer(
        self, tasks: int, meanwhile: Callable[[], Coroutine[Any, Any, None]]
    ) -> Answer:
        """Hand the job in and play *meanwhile* once all its tasks have started."""
        with self._log.applicationbound():
            call = asyncio.create_task(
                self.world.call(self.box, _JOB, tasks, _TASK_MS, leave_ms=_NEVER_MS)
            )
            while len(self.world.starts.get(_JOB, ())) < tasks:
                await asyncio.sleep(0.001)
            await meanwhile()
            await call
        (answer,) = self.world.answers
        return answer

    def make_tasks_endless(self) -> None:
        """Have no task end by itself."""
        self.world.endpoints.update(
            {name: EndlessEndpoint(name, _CLOCK_RATE) for name in self.world.endpoints}
        )

    @property
    def stopped(self) -> list[RunId]:
        """The runs that endpoints stopped, where tasks are endless."""
        return [
            run_id
            for endpoint in self.world.endpoints.values()
            if isinstance(endpoint, EndlessEndpoint)
            for run_id in endpoint.stopped
        ]

    def cut_from_endpoints(self, zone: str) -> None:
        """Have no box reach the endpoints of *zone*."""
        endpoints = [record.endpoint for record in self.world.records if record.zone == zone]
        pairs = {(box, endpoint) for box in self.world.boxes for endpoint in endpoints}
        self.world.conditions.cuts |= pairs

    def cut_zones(self) -> None:
        """Have no box reach one of the other zone."""
        zones = {name: box.zone for name, box in self.world.boxes.items()}
        pairs = {(one, other) for one in zones for other in zones if zones[one] != zones[other]}
        self.world.conditions.cuts |= pairs

    async def pause_box(self) -> None:
        """Have nobody hear of the job's box for a while, and the box of nobody."""
        others = [one for one in [*self.world.boxes, "c1"] if one != self.box]
        pairs = {(self.box, one) for one in others} | {(one, self.box) for one in others}
        self.world.conditions.cuts |= pairs
        await asyncio.sleep(_PAUSE_S)
        self.world.conditions.cuts -= pairs

    def delay_own_messages(self) -> None:
        """Have what the job's box sends itself wait, as behind other work."""
        network = self.world.boxes[self.box].network
        send = network.send

        def send_late(box: str, message: Any, ttl_ms: float = _OWN_TTL_MS) -> None:
            if box == self.box:
                self.loop.call_later(_OWN_MESSAGE_DELAY_S, send, box, message, ttl_ms)
            else:
                send(box, message, ttl_ms)

        network.send = send_late  # type: ignore[method-assign]

    async def own_heartbeat(self) -> None:
        """Wait until the job's box sends itself a heartbeat."""
        network = self.world.boxes[self.box].network
        send = network.send
        is_sent = asyncio.Event()

        def note(box: str, message: Any, ttl_ms: float = _OWN_TTL_MS) -> None:
            if box == self.box and isinstance(message, OwnerHeartbeat):
                is_sent.set()
            send(box, message, ttl_ms)

        network.send = note  # type: ignore[method-assign]
        await is_sent.wait()
        network.send = send  # type: ignore[method-assign]

    def delay_starts(self) -> None:
        """Have endpoints find no room for a while."""
        carry_out = self.world.start
        until_s = self.loop.time() + _STARTS_AFTER_S

        def start(name: str, order: StartOrder) -> CallReply:
            if self.loop.time() < until_s:
                return CallReply(CallOutcome.NO_ROOM)
            return carry_out(name, order)

        self.world.start = start  # type: ignore[method-assign]

    def lose_answers_to_starts(self) -> None:
        """Lose the answer to the first order to start, and have endpoints refuse all others."""
        carry_out = self.world.start

        def start(name: str, order: StartOrder) -> CallReply:
            if self.world.starts:
                return CallReply(CallOutcome.REFUSED)
            carry_out(name, order)
            return CallReply(CallOutcome.UNKNOWN)

        self.world.start = start  # type: ignore[method-assign]

    @property
    def steps(self) -> list[str]:
        """What the log says of the job and of its box's session, without repetitions."""
        steps: list[str] = []
        for step in self._all_steps():
            if steps[-1:] != [step]:
                steps.append(step)
        return steps

    def _all_steps(self) -> Iterator[str]:
        for record in self._log.records:
            fields = record.kwargs
            if record.message == "session.ended" and fields["sender"] == self.box:
                yield "session ended"
            elif fields.get("job") != _JOB:
                continue
            elif record.message == "run.ended":
                yield f"run ended: {fields['cause']}"
            elif record.message == "runs.queued" and fields["is_moved"]:
                yield "delivered again"
            elif record.message == "run.stopped":
                yield "run stopped"
            elif record.message == "job.ended":
                yield f"answered: {fields['reason']}"


def _run(scenario: Callable[[Rig], Coroutine[Any, Any, None]]) -> None:
    loop = VirtualTimeLoop()
    # Tokens have random digits.
    random.seed(_SEED)

    async def play() -> None:
        await scenario(Rig(loop))

    run_in_virtual_time(play(), loop)


class TestBoxOfAnotherOwner:
    """The box is not the owner: it stands still alone, and the runs go on to their end."""

    def test_ends_that_were_never_acknowledged(self) -> None:
        """The owner of the box's own zone has both runs done, and queues the ends in vain."""

        async def scenario(rig: Rig) -> None:
            await rig.settle(is_own=False)
            answer = await rig.answer(2, rig.pause_box)
            assert rig.steps == [
                "run ended: done",
                "session ended",
                "delivered again",
                "run ended: hopeless",
                "answered: too late",
            ]
            assert answer.may_have_run

        _run(scenario)

    def test_of_another_zone(self) -> None:
        """The same where the own zone has no room, and the other one's owner took the job."""

        async def scenario(rig: Rig) -> None:
            await rig.settle(is_own=False)
            rig.cut_from_endpoints(ZONES[0])
            await asyncio.sleep(_SETTLE_S)
            answer = await rig.answer(2, rig.pause_box)
            starts = rig.world.starts[_JOB]
            zones = {record.endpoint: record.zone for record in rig.world.records}
            assert {zones[start.endpoint] for start in starts} == {ZONES[1]}
            assert rig.steps == [
                "run ended: done",
                "session ended",
                "delivered again",
                "run ended: hopeless",
                "answered: too late",
            ]
            assert answer.may_have_run

        _run(scenario)


class TestBoxThatOwnsItsZone:
    """The box is the owner: it stands still as both, and its session with itself lapses."""

    def test_stopped_before_it_is_delivered_again(self) -> None:
        """It goes on crowded: the stop is through before its own heartbeat comes to its turn."""

        async def scenario(rig: Rig) -> None:
            rig.make_tasks_endless()
            await rig.settle(is_own=True)

            async def late() -> None:
                rig.delay_own_messages()
                rig.loop.stand_still(_PAUSE_S)

            answer = await rig.answer(1, late)
            assert rig.steps == [
                "session ended",
                "run stopped",
                "delivered again",
                "run ended: hopeless",
                "answered: too late",
            ]
            assert rig.stopped == [_FIRST_RUN]
            assert answer.may_have_run

        _run(scenario)

    def test_waits_again_after_a_stop(self) -> None:
        """The answer to its start was lost, so it was stopped; no endpoint took it since."""

        async def scenario(rig: Rig) -> None:
            rig.make_tasks_endless()
            await rig.settle(is_own=True)
            rig.cut_zones()
            rig.lose_answers_to_starts()

            async def late() -> None:
                await asyncio.sleep(0.05)
                rig.loop.stand_still(_PAUSE_S)

            answer = await rig.answer(1, late)
            assert rig.steps == [
                "run stopped",
                "session ended",
                "delivered again",
                "run ended: hopeless",
                "answered: too late",
            ]
            assert rig.stopped == [_FIRST_RUN]
            assert answer.may_have_run

        _run(scenario)


class TestAllIsDueAtOnce:
    """The box is the owner, and stands still over its job's deadline until starts are forgotten.

    When it goes on, its heartbeat to itself, its check for lapsed grants, the owner's tick and the
    deadline are due at one moment, in the order in which they were set.
    """

    @pytest.mark.parametrize("due_after_s", _HEARTBEAT_DUE_AFTER_S)
    def test_in_any_order(self, due_after_s: float) -> None:
        """Whether the heartbeat or the deadline comes before the check."""

        async def scenario(rig: Rig) -> None:
            rig.make_tasks_endless()
            await rig.settle(is_own=True)
            rig.cut_zones()
            await rig.own_heartbeat()
            lead_s = _DEADLINE_S - _PAUSE_BEFORE_DEADLINE_S
            await asyncio.sleep((-due_after_s - lead_s) % _HEARTBEAT_S)
            pause_at_s = rig.loop.time() + lead_s
            rig.delay_starts()

            async def late() -> None:
                await asyncio.sleep(pause_at_s - rig.loop.time())
                rig.loop.stand_still(_LONG_PAUSE_S)

            answer = await rig.answer(1, late)
            assert "answered: deadline" in rig.steps
            assert answer.may_have_run

        _run(scenario)
