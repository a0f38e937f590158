# SPDX-License-Identifier: MIT
"""Guards against refusing a job that has run and was delivered again after its session lapsed.

A box pauses for longer than its session, so the owner drops its runs and unacknowledged ends.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine, Iterator
from typing import Any

import logbook
import pytest

from foldloom.logs import EventRateLimits
from foldloom.seed_discovery.endpoints.calls import CallOutcome, CallReply, EndKind, StartOrder
from foldloom.seed_discovery.fleet.messages import OwnerHeartbeat
from foldloom.seed_discovery.jobs.spec import RunId, TaskId
from models.endpoint_world import SimulatedEndpoint
from models.virtual_time import VirtualTimeLoop, run_in_virtual_time
from models.zones_world import ZONES, Answer, ZonesWorld

_JOB = "c" * 16
_FIRST_RUN = RunId(TaskId(_JOB, 0, 0, 0), 1)
_SEED = 1
# Time until each zone has an owner and its endpoints have reported.
_SETTLE_S = 1.0
# Process pause: longer than a session and than the latest useful start, but shorter than an
# endpoint lease.
_PAUSE_S = 0.5
# Task duration; short enough that the latest useful start falls within the pause.
_TASK_MS = 60.0
# Delay of a box's messages to itself; longer than the stop of a run.
_OWN_MESSAGE_DELAY_S = 0.03
_NEVER_MS = 1e5
# Delay of starts, so that a task still runs at its deadline without being stopped as stuck.
_STARTS_AFTER_S = 0.2
# Time from a job's arrival to its deadline.
_DEADLINE_S = 1.44
# Begin of the pause before the deadline; below the 0.05 s between checks for lapsed grants, so that
# the deadline may be due before the check.
_PAUSE_BEFORE_DEADLINE_S = 0.025
# Process pause longer than the owner keeps its record of a start after the deadline.
_LONG_PAUSE_S = 2.2
# Heartbeat interval of owners.
_HEARTBEAT_S = 0.1
# Time from the begin of the pause to the next heartbeat; the check may be due in between.
_HEARTBEAT_DUE_AFTER_S = [0.0005, 0.001, 0.002, 0.005, 0.02, 0.04, 0.08]
_CLOCK_RATE = 0.98
_OWN_TTL_MS = 1_000


@pytest.fixture(autouse=True)
def _unlimited_log_events(monkeypatch: pytest.MonkeyPatch) -> None:
    """Reset the rate limits of log events, which other tests may have exhausted."""
    monkeypatch.setattr("foldloom.logs._RATE_LIMITS", EventRateLimits())


class EndlessEndpoint(SimulatedEndpoint):
    """Simulated endpoint whose tasks never finish; ``stopped`` lists the stopped runs."""

    def __init__(self, name: str, rate: float) -> None:
        super().__init__(name, rate)
        self.stopped: list[RunId] = []

    def stop(self, run_id: RunId, token: int, now_ms: float) -> CallOutcome:
        """Stop a run and record it."""
        self.lapse(now_ms)
        if self.active.get(run_id.task) == run_id.attempt:
            self.stopped.append(run_id)
        return super().stop(run_id, token, now_ms)

    def finish(self, task: TaskId, how: EndKind, now_ms: float) -> None:
        """Do nothing."""


class Rig:
    """One job submitted to one box of a simulated system."""

    def __init__(self, loop: VirtualTimeLoop) -> None:
        self.loop = loop
        self.world = ZonesWorld(_SEED, loop)
        self.box = ""
        self._log = logbook.TestHandler()

    async def settle(self, is_own: bool) -> None:
        """Wait for owners and select the job's box: the first zone's owner if *is_own*."""
        await asyncio.sleep(_SETTLE_S)
        of_zone = {name: box for name, box in self.world.boxes.items() if box.zone == ZONES[0]}
        self.box = next(
            name for name, box in of_zone.items() if (box.elector.owner is not None) is is_own
        )

    async def answer(
        self, tasks: int, meanwhile: Callable[[], Coroutine[Any, Any, None]]
    ) -> Answer:
        """Submit the job, run *meanwhile* once all its tasks have started; return the answer."""
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
        """Replace all endpoints by endless ones."""
        self.world.endpoints.update(
            {name: EndlessEndpoint(name, _CLOCK_RATE) for name in self.world.endpoints}
        )

    @property
    def stopped(self) -> list[RunId]:
        """The runs stopped at endless endpoints."""
        return [
            run_id
            for endpoint in self.world.endpoints.values()
            if isinstance(endpoint, EndlessEndpoint)
            for run_id in endpoint.stopped
        ]

    def cut_from_endpoints(self, zone: str) -> None:
        """Partition all boxes from the endpoints of *zone*."""
        endpoints = [record.endpoint for record in self.world.records if record.zone == zone]
        pairs = {(box, endpoint) for box in self.world.boxes for endpoint in endpoints}
        self.world.conditions.cuts |= pairs

    def cut_zones(self) -> None:
        """Partition the zones' boxes from each other."""
        zones = {name: box.zone for name, box in self.world.boxes.items()}
        pairs = {(one, other) for one in zones for other in zones if zones[one] != zones[other]}
        self.world.conditions.cuts |= pairs

    async def pause_box(self) -> None:
        """Partition the job's box from all other boxes for the duration of a pause."""
        others = [one for one in [*self.world.boxes, "c1"] if one != self.box]
        pairs = {(self.box, one) for one in others} | {(one, self.box) for one in others}
        self.world.conditions.cuts |= pairs
        await asyncio.sleep(_PAUSE_S)
        self.world.conditions.cuts -= pairs

    def delay_own_messages(self) -> None:
        """Delay the messages of the job's box to itself, as on a busy box."""
        network = self.world.boxes[self.box].network
        send = network.send

        def send_late(box: str, message: Any, ttl_ms: float = _OWN_TTL_MS) -> None:
            if box == self.box:
                self.loop.call_later(_OWN_MESSAGE_DELAY_S, send, box, message, ttl_ms)
            else:
                send(box, message, ttl_ms)

        network.send = send_late  # type: ignore[method-assign]

    async def own_heartbeat(self) -> None:
        """Wait until the job's box sends a heartbeat to itself."""
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
        """Make endpoints reply "no room" for ``_STARTS_AFTER_S``."""
        carry_out = self.world.start
        until_s = self.loop.time() + _STARTS_AFTER_S

        def start(name: str, order: StartOrder) -> CallReply:
            if self.loop.time() < until_s:
                return CallReply(CallOutcome.NO_ROOM)
            return carry_out(name, order)

        self.world.start = start  # type: ignore[method-assign]

    def lose_answers_to_starts(self) -> None:
        """Lose the answer to the first start order and refuse all others."""
        carry_out = self.world.start

        def start(name: str, order: StartOrder) -> CallReply:
            if self.world.starts:
                return CallReply(CallOutcome.REFUSED)
            carry_out(name, order)
            return CallReply(CallOutcome.UNKNOWN)

        self.world.start = start  # type: ignore[method-assign]

    @property
    def steps(self) -> list[str]:
        """Logged steps of the job and of its box's session, without repetitions."""
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
    # Tokens have random bits.
    random.seed(_SEED)

    async def play() -> None:
        await scenario(Rig(loop))

    run_in_virtual_time(play(), loop)


class TestBoxOfAnotherOwner:
    """The paused box is not the owner, so the runs finish during the pause."""

    def test_ends_that_were_never_acknowledged(self) -> None:
        """Both runs finish at the own zone's owner; their ends are dropped with the session."""

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
        """Ends dropped by another zone's owner, without capacity in the own zone."""

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
    """The paused box is the owner, and its session with itself lapses."""

    def test_stopped_before_it_is_delivered_again(self) -> None:
        """The run is stopped before the box handles its own delayed heartbeat."""

        async def scenario(rig: Rig) -> None:
            rig.make_tasks_endless()
            await rig.settle(is_own=True)

            async def late() -> None:
                rig.delay_own_messages()
                rig.loop.jump_clock(_PAUSE_S)

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
        """The run was stopped after a lost start answer, and no endpoint accepts it again."""

        async def scenario(rig: Rig) -> None:
            rig.make_tasks_endless()
            await rig.settle(is_own=True)
            rig.cut_zones()
            rig.lose_answers_to_starts()

            async def late() -> None:
                await asyncio.sleep(0.05)
                rig.loop.jump_clock(_PAUSE_S)

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


class TestPausePastDeadline:
    """The box is the owner and pauses past its job's deadline until the record of starts expires.

    Its own heartbeat, the check for lapsed grants, the owner's tick and the deadline are then due
    at the same time. An owner's answer under a later grant than the delivery's must not count.
    """

    @pytest.mark.parametrize("due_after_s", _HEARTBEAT_DUE_AFTER_S)
    def test_in_any_order(self, due_after_s: float) -> None:
        """The heartbeat and the deadline may be due before or after the check."""

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
                rig.loop.jump_clock(_LONG_PAUSE_S)

            answer = await rig.answer(1, late)
            assert "answered: deadline" in rig.steps
            assert answer.may_have_run

        _run(scenario)
