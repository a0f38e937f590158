# SPDX-License-Identifier: MIT
"""Guards an owner's term: draining, isolation, and acknowledgements of other incarnations."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from foldloom.clock import monotonic_ms
from foldloom.metrics import Metrics
from foldloom.seed_discovery.endpoints.calls import (
    ActiveRun,
    CallOutcome,
    CallReply,
    PollReply,
    StartOrder,
)
from foldloom.seed_discovery.endpoints.catalog import EndpointCatalog
from foldloom.seed_discovery.endpoints.records import EndpointRecord, EndpointState
from foldloom.seed_discovery.fleet.messages import BoxRecord, HeartbeatAck, OwnerRecord
from foldloom.seed_discovery.fleet.view import FleetView
from foldloom.seed_discovery.jobs.spec import Demand, Placement, TaskId
from foldloom.seed_discovery.owners.context import OwnerContext
from foldloom.seed_discovery.owners.messages import (
    CancelJob,
    EndsNoted,
    Objective,
    RunOrder,
    RunsEnded,
    SessionBegan,
    SessionNoted,
    StealRuns,
    SubmitReply,
    SubmitRuns,
    SubmitStatus,
)
from foldloom.seed_discovery.owners.zone_owner import ZoneOwner
from foldloom.seed_discovery.scheduling.remote_groups import GroupId
from foldloom.seed_discovery.scheduling.runs import HolderId, RunState
from foldloom.settings import ENTRY, TimingSettings
from models.virtual_time import VirtualTimeLoop, run_in_virtual_time

_ZONE = "z"
OWNER_TOKEN = 5
# Until a submitted run is ordered to start, the check of its endpoint included.
_ORDERED_S = 0.02
# Outlasts a test.
_LONG_SESSION_MS = 10_000
_ENDPOINT = EndpointRecord("w1", "svc", "w1:1", _ZONE, Demand(16_000, 32_000, 0))


class _Network:
    """Fake peers that acknowledge notices and renewed sessions, and answer nothing else."""

    def __init__(self) -> None:
        self.incarnation = 1

    def known_incarnation(self, _box: str) -> int:
        """Return the configured incarnation."""
        return self.incarnation

    async def request(self, _box: str, message: Any, _timeout_ms: float) -> Any:
        """Acknowledge a notice or a renewed session; wait until cancelled otherwise."""
        if isinstance(message, RunsEnded):
            return EndsNoted()
        if isinstance(message, SessionBegan):
            return SessionNoted()
        return await asyncio.Event().wait()


def _record(number: int) -> BoxRecord:
    return BoxRecord(f"10.0.0.{number}:1", 1, _ZONE, ENTRY, f"e{number}")


class _Calls:
    """Fake endpoint that answers polls at once and starts after ``may_answer`` is set."""

    def __init__(self) -> None:
        self.starts = 0
        self.stops = 0
        self.may_answer = asyncio.Event()

    async def poll(self, _endpoint: Any, _order: Any) -> PollReply:
        """Answer without active runs."""
        await asyncio.sleep(0.005)
        return PollReply(CallOutcome.DONE, int(monotonic_ms()))

    async def start_run(self, _endpoint: Any, _order: Any) -> CallReply:
        """Count the order; answer later."""
        self.starts += 1
        await self.may_answer.wait()
        return CallReply(CallOutcome.DONE, int(monotonic_ms()))

    async def stop_run(self, _endpoint: Any, _run_id: Any, _token: int) -> CallReply:
        """Count the order and confirm it."""
        self.stops += 1
        return CallReply(CallOutcome.DONE, int(monotonic_ms()))


class _RunningCalls(_Calls):
    """Fake endpoint that lists the runs that it has started."""

    def __init__(self) -> None:
        super().__init__()
        self._active: tuple[ActiveRun, ...] = ()

    async def poll(self, _endpoint: Any, _order: Any) -> PollReply:
        """Answer with the active runs."""
        await asyncio.sleep(0.005)
        return PollReply(CallOutcome.DONE, int(monotonic_ms()), self._active)

    async def start_run(self, endpoint: Any, order: StartOrder) -> CallReply:
        """List the run once the order is answered."""
        reply = await super().start_run(endpoint, order)
        self._active += (ActiveRun(order.run_id),)
        return reply


def owner_on_box_one(*others: int, calls: Any = None, session_ms: int = 50) -> ZoneOwner:
    """Return the owner on box 1 with ``OWNER_TOKEN`` and the *others* in its view."""
    own = _record(1)
    view = FleetView(own, [])
    for number in others:
        view.note_box(_record(number), monotonic_ms())
    network: Any = _Network()
    context = OwnerContext(
        view=view,
        network=network,
        calls=calls,
        catalog=EndpointCatalog(),
        timings=TimingSettings(session_ms=session_ms),
        metrics=Metrics(),
        published_version=lambda: 0,
        catalog_age_ms=lambda: 0.0,
    )
    record = OwnerRecord(_ZONE, OWNER_TOKEN, own.box, own.incarnation)
    return ZoneOwner(record, context, lambda _endpoint: None)


def _submission(number: int) -> SubmitRuns:
    return SubmitRuns(
        token=OWNER_TOKEN,
        job_id=f"{number:016x}",
        repeat=0,
        queue="q",
        service="svc",
        spec="text",
        demand=Demand(1_000, 64, 0),
        placement=Placement(),
        priority=0,
        tasks=1,
        estimate_ms=100,
        objective=Objective(0, 1.6, 10**7, 0),
        deadline_ms=10**7,
        old_right_ms=0,
        orders=[RunOrder(0, 0, 1)],
    )


def _acknowledge(owner: ZoneOwner, number: int, heartbeat_sent_ms: float) -> None:
    owner.handle_heartbeat_ack(
        _record(number).box, HeartbeatAck(OWNER_TOKEN, int(heartbeat_sent_ms), _record(number), 0)
    )


async def _submit_job(owner: ZoneOwner, number: int) -> None:
    """Submit a job from box 1 and let the owner's tasks run."""
    _acknowledge(owner, 1, monotonic_ms())
    owner.submit(_record(1).box, _submission(number))
    await asyncio.sleep(_ORDERED_S)


def _run(test: Coroutine[Any, Any, None]) -> None:
    run_in_virtual_time(test, VirtualTimeLoop())


def _pause(for_s: float) -> None:
    """Let time pass without running anything."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualTimeLoop)
    loop.jump_clock(for_s)


class TestDraining:
    """A draining endpoint must get no task after the answer to its report."""

    def test_no_start_is_on_its_way(self) -> None:
        """The report is answered after the last start in flight, and no other is sent."""

        async def play() -> None:
            calls = _Calls()
            owner = owner_on_box_one(calls=calls, session_ms=_LONG_SESSION_MS)
            catalog = owner._context.catalog
            catalog.merge(_ENDPOINT, monotonic_ms())
            owner.start()
            await asyncio.sleep(0.03)
            await _submit_job(owner, 1)
            assert calls.starts == 1
            draining = _ENDPOINT._replace(state=EndpointState.DRAINING, sequence=2)
            catalog.merge(draining, monotonic_ms())
            following = asyncio.create_task(owner.sync_endpoints({"w1"}))
            await asyncio.sleep(0)
            await _submit_job(owner, 2)
            assert calls.starts == 1
            assert not following.done()
            calls.may_answer.set()
            await asyncio.wait_for(following, 1.0)
            owner.close()

        _run(play())


class TestIsolation:
    """An isolated owner must not end the runs of a silent endpoint."""

    def test_alone_in_the_system(self) -> None:
        """Without other entry boxes the owner is not isolated."""

        async def play() -> None:
            assert not owner_on_box_one().is_isolated

        _run(play())

    def test_own_grant_does_not_count(self) -> None:
        """The session with the owner's own box does not count."""

        async def play() -> None:
            owner = owner_on_box_one(2)
            _acknowledge(owner, 1, monotonic_ms())
            assert owner.is_isolated
            owner.close()

        _run(play())

    def test_heard_by_another(self) -> None:
        """A session with one other box suffices until it lapses."""

        async def play() -> None:
            owner = owner_on_box_one(2, 3)
            _acknowledge(owner, 3, monotonic_ms())
            assert not owner.is_isolated
            _acknowledge(owner, 2, monotonic_ms() - 100)
            await asyncio.sleep(0.06)
            assert owner.is_isolated
            owner.close()

        _run(play())


class TestLives:
    """A box restarts while its earlier messages may still be delayed."""

    def test_a_late_acknowledgement_of_the_life_before(self) -> None:
        """It does not end the session with the current incarnation."""

        async def play() -> None:
            owner = owner_on_box_one(2)
            network: Any = owner._network
            now_ms = monotonic_ms()
            network.incarnation = 2
            _acknowledge(owner, 2, now_ms)
            network.incarnation = 1
            _acknowledge(owner, 2, now_ms - 20)
            assert owner._sessions.has_session(HolderId(_record(2).box, 2), now_ms + 1)
            owner.close()

        _run(play())

    def test_a_new_life_ends_the_one_before(self) -> None:
        """The session with the earlier incarnation ends."""

        async def play() -> None:
            owner = owner_on_box_one(2)
            network: Any = owner._network
            now_ms = monotonic_ms()
            _acknowledge(owner, 2, now_ms)
            network.incarnation = 2
            _acknowledge(owner, 2, now_ms + 20)
            assert not owner._sessions.has_session(HolderId(_record(2).box, 1), now_ms + 1)
            assert owner._sessions.has_session(HolderId(_record(2).box, 2), now_ms + 1)
            owner.close()

        _run(play())


class TestPausedOwner:
    """An owner that was paused for a session may have a successor until it is confirmed."""

    _SESSION_MS = 100
    _PAUSED_S = 0.15

    async def _resume(self, calls: _Calls) -> ZoneOwner:
        """Return an owner that starts a run, and then gets no acknowledgement for a session."""
        owner = owner_on_box_one(calls=calls, session_ms=self._SESSION_MS)
        owner._context.catalog.merge(_ENDPOINT, monotonic_ms())
        owner.start()
        await asyncio.sleep(0.03)
        await _submit_job(owner, 1)
        assert calls.starts == 1
        calls.may_answer.set()
        await asyncio.sleep(self._PAUSED_S)
        _acknowledge(owner, 1, monotonic_ms())
        return owner

    def test_sound_owner_is_valid(self) -> None:
        """Acknowledgements by the owner's own box, and only those, keep its term valid."""

        async def play() -> None:
            owner = owner_on_box_one(2, session_ms=self._SESSION_MS)
            for _ in range(10):
                _acknowledge(owner, 1, monotonic_ms())
                _pause(self._SESSION_MS / 2_000)
                assert owner.is_valid
            _acknowledge(owner, 2, monotonic_ms())
            _pause(self._SESSION_MS / 2_000)
            assert not owner.is_valid
            owner.close()

        _run(play())

    def test_it_accepts_and_starts_nothing(self) -> None:
        """An acknowledgement by its own box does not make it certain; a confirmation does."""

        async def play() -> None:
            calls = _Calls()
            owner = await self._resume(calls)
            assert not owner.is_valid
            sender = _record(1).box
            reply = owner.submit(sender, _submission(2))
            assert reply == SubmitReply(SubmitStatus.NOT_OWNER, "not confirmed")
            assert not owner.may_renew("w1", monotonic_ms())
            assert owner.confirm(monotonic_ms())
            assert owner.submit(sender, _submission(2)).status is SubmitStatus.TAKEN
            assert owner.may_renew("w1", monotonic_ms())
            await asyncio.sleep(_ORDERED_S)
            assert calls.starts == 2
            owner.close()

        _run(play())

    def test_placed_run_is_not_started(self) -> None:
        """A run that was placed just before the pause is not ordered to start after it."""

        async def play() -> None:
            calls = _Calls()
            owner = owner_on_box_one(calls=calls, session_ms=self._SESSION_MS)
            owner._context.catalog.merge(_ENDPOINT, monotonic_ms())
            owner.start()
            await asyncio.sleep(0.03)
            _acknowledge(owner, 1, monotonic_ms())
            owner.submit(_record(1).box, _submission(1))
            _pause(self._PAUSED_S)
            _acknowledge(owner, 1, monotonic_ms())
            await asyncio.sleep(_ORDERED_S)
            assert calls.starts == 0
            owner.close()

        _run(play())

    def test_queued_run_waits(self) -> None:
        """A run that was queued before the pause is placed after the confirmation only."""

        async def play() -> None:
            calls = _Calls()
            owner = owner_on_box_one(calls=calls, session_ms=self._SESSION_MS)
            owner.start()
            _acknowledge(owner, 1, monotonic_ms())
            submission = _submission(1)._replace(orders=[RunOrder(0, 0, 1, is_moved=True)])
            owner.submit(_record(1).box, submission)
            _pause(self._PAUSED_S)
            _acknowledge(owner, 1, monotonic_ms())
            owner._context.catalog.merge(_ENDPOINT, monotonic_ms())
            await asyncio.sleep(2 * _ORDERED_S)
            run = owner.state.current_run(TaskId(submission.job_id, 0, 0, 0))
            assert run is not None
            assert run.state is RunState.QUEUED
            assert owner.confirm(monotonic_ms())
            await asyncio.sleep(_ORDERED_S)
            assert calls.starts == 1
            owner.close()

        _run(play())

    def test_it_gives_no_runs_away(self) -> None:
        """A queued run may be with the successor already, so no other zone may take it."""

        async def play() -> None:
            owner = owner_on_box_one(session_ms=self._SESSION_MS)
            _acknowledge(owner, 1, monotonic_ms())
            moved = RunOrder(0, 0, 1, is_moved=True)
            submission = _submission(1)._replace(orders=[moved])
            assert owner.submit(_record(1).box, submission).status is SubmitStatus.TAKEN
            steal = StealRuns("y", GroupId(submission.job_id, 0, 0), 1)
            _pause(self._PAUSED_S)
            _acknowledge(owner, 1, monotonic_ms())
            assert owner.answer_steal(steal).runs == 0
            assert owner.confirm(monotonic_ms())
            assert owner.answer_steal(steal).runs == 1
            owner.close()

        _run(play())

    def test_it_sends_stops(self) -> None:
        """Runs of an expired session are stopped without a confirmation."""

        async def play() -> None:
            calls = _RunningCalls()
            owner = await self._resume(calls)
            owner.cancel(_record(1).box, CancelJob(f"{1:016x}", OWNER_TOKEN))
            await asyncio.sleep(_ORDERED_S)
            assert not owner.is_valid
            assert calls.stops > 0
            owner.close()

        _run(play())

    def test_paused_again(self) -> None:
        """Answers to queries from before another pause confirm nothing."""

        async def play() -> None:
            owner = await self._resume(_Calls())
            assert not owner.confirm(monotonic_ms() - self._SESSION_MS)
            assert not owner.is_valid
            owner.close()

        _run(play())
