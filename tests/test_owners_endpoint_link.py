# SPDX-License-Identifier: MIT
"""Guards the link to an endpoint: answers of other incarnations, late deregistrations, lapse."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import pytest

from foldloom.clock import monotonic_ms
from foldloom.seed_discovery.endpoints.calls import (
    ActiveRun,
    CallOutcome,
    EndedRun,
    EndKind,
    EndpointReport,
    PollOrder,
    PollReply,
)
from foldloom.seed_discovery.endpoints.catalog import EndpointCatalog
from foldloom.seed_discovery.endpoints.records import EndpointRecord, EndpointState
from foldloom.seed_discovery.jobs.spec import Demand, RunId, TaskId
from foldloom.seed_discovery.owners.endpoint_link import (
    SUSPECT_AFTER_MS,
    AnswerSource,
    EndpointLink,
    LeaseDurations,
    classify_answer,
)
from foldloom.seed_discovery.owners.endpoint_links import EndpointLinks
from foldloom.seed_discovery.owners.lease import (
    LAPSE_MARGIN_MS,
    EndpointClock,
    max_real_duration_ms,
)
from foldloom.seed_discovery.owners.messages import EndCause
from foldloom.seed_discovery.owners.state import OwnerState
from foldloom.seed_discovery.owners.unanswered_starts import UNANSWERED_ORDER_TTL_MS
from foldloom.seed_discovery.scheduling.runs import RunState
from models.virtual_time import VirtualTimeLoop, run_in_virtual_time
from test_owners_state import ends_of, start_one

_LEASE_MS = 600.0
_LEASE_DURATIONS = LeaseDurations(
    5, _LEASE_MS, max_real_duration_ms(_LEASE_MS), max_real_duration_ms(1_000.0)
)
_ENDPOINT = EndpointRecord("w1", "svc", "w1:1", "z", Demand(16_000, 32_000, 0))
# A poll in flight when the endpoint falls silent may still renew the lease.
_POLL_S = 0.5
_BORN_MS = 1_000


class _Owner:
    """Fake owner that always renews and records events."""

    def __init__(self) -> None:
        self.reports: list[EndpointReport] = []
        self.incarnations: list[int] = []
        self.overdue: list[str] = []
        self.silent_count = 0
        self.responding_count = 0

    def may_renew(self, _endpoint: str, _now_ms: float) -> bool:
        """Agree."""
        return True

    def lease_limit_ms(self, _endpoint: str) -> float:
        """Return infinity: no limit."""
        return float("inf")

    def handle_report(self, report: EndpointReport, _now_ms: float) -> None:
        """Record a report."""
        self.reports.append(report)

    def note_overdue(self, endpoint: str, call: str) -> None:
        """Record the call."""
        self.overdue.append(call)

    def note_unresponsive(self, endpoint: str) -> None:
        """Record the check."""
        self.overdue.append("check")

    def note_responding(self, endpoint: str) -> None:
        """Count answered checks."""
        self.responding_count += 1

    def handle_unanswered_poll(self, endpoint: str) -> None:
        """Count failed polls."""
        self.silent_count += 1

    def note_incarnation_ended(self, endpoint: str, born_ms: int) -> None:
        """Do nothing."""

    def note_next_incarnation(self, endpoint: str, born_ms: int) -> None:
        """Record the later incarnation."""
        self.incarnations.append(born_ms)

    def note_fenced(self, endpoint: str) -> None:
        """Do nothing."""


class _Calls:
    """Fake endpoint that receives every poll and answers unless it is silent."""

    def __init__(self, born_ms: int = 0) -> None:
        self.born_ms = born_ms
        self.active: tuple[ActiveRun, ...] = ()
        self.ended: tuple[EndedRun, ...] = ()
        self.is_silent = False
        self.failure: CallOutcome | None = None
        self.polls: list[PollOrder] = []
        self.checks_from = 0
        self.checked_ms = 0.0
        # What changes once the run has ended.
        self.changes: dict[str, Any] = {}

    async def poll(self, _endpoint: EndpointRecord, order: PollOrder) -> PollReply:
        """Answer after the wait, or time out while silent."""
        self.polls.append(order)
        await asyncio.sleep(order.wait_ms / 1_000 + 0.001)
        if self.failure is not None:
            return PollReply(self.failure)
        if self.is_silent:
            await asyncio.sleep(0.25)
            return PollReply(CallOutcome.UNKNOWN, detail="TimeoutError")
        clock_ms = int(monotonic_ms()) + 1
        return PollReply(CallOutcome.DONE, clock_ms, self.active, self.ended, born_ms=self.born_ms)


async def _run_link(owner: _Owner, calls: _Calls, run_s: float = 1.0) -> bool:
    """Run a link to the incarnation ``_BORN_MS``; return whether its task is still running."""
    endpoint_calls: Any = calls
    record = _ENDPOINT._replace(born_ms=_BORN_MS)
    link = EndpointLink(record, _LEASE_DURATIONS, endpoint_calls, owner, _BORN_MS)
    task = asyncio.create_task(link.run())
    await asyncio.sleep(run_s)
    is_running = not task.done()
    task.cancel()
    return is_running


class TestOtherLife:
    """Answers of another incarnation of the endpoint with the same id."""

    def test_a_later_one_answers(self) -> None:
        """The owner is notified, and the link to the earlier incarnation ends."""
        owner = _Owner()
        assert not run_in_virtual_time(_run_link(owner, _Calls(_BORN_MS + 1)), VirtualTimeLoop())
        assert owner.incarnations == [_BORN_MS + 1]
        assert owner.reports == []

    def test_an_earlier_one_answers(self) -> None:
        """Its report is ignored, and the current incarnation counts as silent."""
        owner = _Owner()
        assert run_in_virtual_time(_run_link(owner, _Calls(_BORN_MS - 1)), VirtualTimeLoop())
        assert owner.reports == []
        assert owner.silent_count

    @pytest.mark.parametrize(
        ("answer_ms", "born_ms", "has_answered", "answer_source"),
        [
            (0, 0, True, AnswerSource.THIS),
            (0, 5, True, AnswerSource.THIS),
            (5, 5, True, AnswerSource.THIS),
            (5, 0, False, AnswerSource.THIS),
            (5, 0, True, AnswerSource.NEXT),
            (6, 5, True, AnswerSource.NEXT),
            (6, 5, False, AnswerSource.NEXT),
            (4, 5, True, AnswerSource.EARLIER),
        ],
    )
    def test_which_one_answers(
        self, answer_ms: int, born_ms: int, has_answered: bool, answer_source: AnswerSource
    ) -> None:
        """Covers each combination of known and answered birth times."""
        assert classify_answer(answer_ms, born_ms, has_answered) is answer_source

    @pytest.mark.parametrize("born_ms", [_BORN_MS, 0])
    def test_this_one_answers(self, born_ms: int) -> None:
        """An answer without a birth time is from the known incarnation."""
        owner = _Owner()
        assert run_in_virtual_time(_run_link(owner, _Calls(born_ms)), VirtualTimeLoop())
        assert owner.reports[0].born_ms == _BORN_MS

    def test_ends_are_kept_for_whoever_answers_next(self) -> None:
        """After a failed poll no end is acknowledged: a new incarnation numbers from 1 again."""
        calls = _Calls(_BORN_MS)
        calls.ended = (EndedRun(7, RunId(TaskId("0" * 16, 0, 0, 0), 1), EndKind.DONE),)

        async def play() -> None:
            link = asyncio.create_task(_run_link(_Owner(), calls, 3.0))
            await asyncio.sleep(1.0)
            assert calls.polls[-1].last_sequence == 7
            calls.is_silent = True
            await asyncio.sleep(1.0)
            assert calls.polls[-1].last_sequence == 0
            calls.is_silent = False
            await asyncio.sleep(0.9)
            assert calls.polls[-1].last_sequence == 7
            await link

        run_in_virtual_time(play(), VirtualTimeLoop())

    def test_orders_for_the_life_before(self) -> None:
        """A new link's leases lapse only after the longest lease of the previous incarnation."""
        calls: Any = _Calls(_BORN_MS)
        calls.is_silent = True

        async def play() -> float:
            link = EndpointLink(
                _ENDPOINT, _LEASE_DURATIONS, calls, _Owner(), _BORN_MS, replaces_previous=True
            )
            task = asyncio.create_task(link.run())
            began_ms = monotonic_ms()
            while not link.take_lease_expiry(monotonic_ms()):
                await asyncio.sleep(0.02)
            task.cancel()
            return monotonic_ms() - began_ms

        assert run_in_virtual_time(play(), VirtualTimeLoop()) >= _LEASE_DURATIONS.longest_real_ms


class _World:
    """An owner's links with a fake endpoint, its state and its catalog."""

    def __init__(self, born_ms: int = _BORN_MS) -> None:
        self.calls = _Calls(born_ms)
        self.catalog = EndpointCatalog()
        self.record = _ENDPOINT._replace(born_ms=born_ms)
        self.catalog.merge(self.record, 0.0)
        self.state = OwnerState(750.0)
        calls: Any = self.calls
        self.links = EndpointLinks("z", self.state, self.catalog, _LEASE_DURATIONS, calls, self)

    def may_renew(self, _endpoint: str, _now_ms: float) -> bool:
        """Agree."""
        return True

    def lease_limit_ms(self, _endpoint: str) -> float:
        """Return infinity: no limit."""
        return float("inf")

    def handle_report(self, report: EndpointReport, now_ms: float) -> None:
        """Apply a report to the state."""
        self.state.report(report, now_ms)

    def note_overdue(self, endpoint: str, call: str) -> None:
        """Exclude the endpoint from placement."""
        self.state.exclude_from_placement(endpoint)

    def handle_unanswered_poll(self, endpoint: str) -> None:
        """Exclude the endpoint from placement."""
        self.state.exclude_from_placement(endpoint)

    def handle_crash(self, endpoint: str) -> None:
        """Apply a crash to the state."""
        self.state.handle_crash(endpoint, monotonic_ms())

    def note_incarnation_ended(self, endpoint: str, born_ms: int) -> None:
        """End the incarnation in the catalog."""
        self.state.handle_other_id(endpoint, monotonic_ms())
        self.catalog.end_incarnation(endpoint, born_ms, monotonic_ms())

    def note_next_incarnation(self, endpoint: str, born_ms: int) -> None:
        """Open a link to the new incarnation."""
        self.links.begin_incarnation(endpoint, born_ms)

    def note_fenced(self, endpoint: str) -> None:
        """Do nothing."""

    async def follow(self, for_s: float) -> None:
        """Run the link-related part of an owner's ticks for *for_s* seconds."""
        for _ in range(int(for_s / 0.02)):
            self.links.sync_with_catalog(monotonic_ms())
            self.links.check_silent_endpoints(monotonic_ms())
            await asyncio.sleep(0.02)

    async def run_one(self) -> RunId:
        """Start a run and list it as active at the endpoint."""
        await self.follow(0.5)
        run_id = start_one(self.state, monotonic_ms())
        self.calls.active = (ActiveRun(run_id),)
        await self.follow(0.5)
        return run_id

    def leave(self) -> None:
        """Handle the endpoint's draining report and a deregistration."""
        self.catalog.merge(self.record._replace(state=EndpointState.DRAINING), monotonic_ms())
        assert self.catalog.note_deregistration("w1", monotonic_ms())

    def state_of(self, run_id: RunId) -> RunState | None:
        """Return the state of the present run of the task; ``None`` without one."""
        run = self.state.current_run(run_id.task)
        return None if run is None else run.state

    @property
    def causes(self) -> list[EndCause]:
        """Causes of the ends since the last call."""
        return [end.cause for _, end in ends_of(self.state)]

    @property
    def is_open(self) -> bool:
        """Whether the endpoint is eligible for placement."""
        return self.state.candidates["w1"].is_eligible(monotonic_ms())


class TestNextIncarnation:
    """A new incarnation of a known endpoint."""

    def test_its_answer_comes_first(self) -> None:
        """It gets a new link at once, and runs only after its first heartbeat."""

        async def play() -> None:
            world = _World()
            await world.follow(0.5)
            assert world.is_open
            before = world.links.get("w1")
            world.calls.born_ms = _BORN_MS + 1
            await world.follow(0.5)
            link = world.links.get("w1")
            assert link is not None
            assert link is not before
            assert link.clock.is_known
            assert not world.is_open
            world.catalog.merge(world.record._replace(born_ms=_BORN_MS + 1), monotonic_ms())
            await world.follow(0.5)
            assert world.links.get("w1") is link
            assert world.is_open
            world.links.close()

        run_in_virtual_time(play(), VirtualTimeLoop())

    def test_its_heartbeat_comes_first(self) -> None:
        """It gets a new link at once, without a clock reading."""

        async def play() -> None:
            world = _World()
            await world.follow(0.5)
            before = world.links.get("w1")
            leaving = world.record._replace(born_ms=_BORN_MS + 1, state=EndpointState.DRAINING)
            world.catalog.merge(leaving, monotonic_ms())
            world.links.sync_with_catalog(monotonic_ms())
            link = world.links.get("w1")
            assert link is not None
            assert link is not before
            assert (link.born_ms, link.clock.is_known) == (_BORN_MS + 1, False)
            world.calls.born_ms = _BORN_MS + 1
            await world.follow(0.5)
            assert not world.is_open
            world.links.close()

        run_in_virtual_time(play(), VirtualTimeLoop())


class TestFarewell:
    """A draining endpoint's deregistration, which does not name its incarnation."""

    def test_of_the_life_before(self) -> None:
        """After a delayed deregistration, runs of an endpoint that answers are not ended."""

        async def play() -> None:
            world = _World()
            run_id = await world.run_one()
            world.leave()
            await world.follow(2.0)
            assert world.causes == []
            assert not world.is_open
            world.calls.active = ()
            world.calls.ended = (EndedRun(1, run_id, EndKind.DONE),)
            await world.follow(0.5)
            assert world.causes == [EndCause.DONE]
            assert world.links.get("w1") is None
            world.links.close()

        run_in_virtual_time(play(), VirtualTimeLoop())

    def test_of_the_present_life(self) -> None:
        """The runs of an endpoint that is gone end once its lease has lapsed."""

        async def play() -> None:
            world = _World()
            await world.run_one()
            world.calls.is_silent = True
            world.leave()
            bound_ms = _LEASE_DURATIONS.lease_real_ms + LAPSE_MARGIN_MS + _POLL_S * 1_000
            await world.follow(bound_ms / 1_000)
            assert world.causes == [EndCause.LAPSED]
            assert world.links.get("w1") is None
            world.links.close()

        run_in_virtual_time(play(), VirtualTimeLoop())

    def test_where_nothing_runs(self) -> None:
        """The link to an idle endpoint is closed at once."""

        async def play() -> None:
            world = _World()
            await world.follow(0.5)
            world.leave()
            await world.follow(0.04)
            assert world.links.get("w1") is None
            world.links.close()

        run_in_virtual_time(play(), VirtualTimeLoop())


class TestFarewellForGood:
    """The deregistration of an endpoint without a birth time, whose id is of one incarnation."""

    # Guards against a second start while the endpoint waits for the answer to its deregistration.
    def test_it_is_still_there(self) -> None:
        """Its runs are stopped, and end only once it says so; then they wait for another start."""

        async def play() -> None:
            world = _World(born_ms=0)
            run_id = await world.run_one()
            world.leave()
            await world.follow(0.6)
            assert not world.is_open
            assert [stop.run_id for stop in world.state.actions.pop_stops()] == [run_id]
            assert world.state_of(run_id) is RunState.STOPPING
            world.calls.active = ()
            world.calls.ended = (EndedRun(1, run_id, EndKind.STOPPED),)
            await world.follow(0.3)
            assert world.state_of(run_id) is RunState.QUEUED
            assert world.causes == []
            assert world.links.get("w1") is None
            world.links.close()

        run_in_virtual_time(play(), VirtualTimeLoop())

    def test_its_run_is_done(self) -> None:
        """A run that ends before its stop arrives is done."""

        async def play() -> None:
            world = _World(born_ms=0)
            run_id = await world.run_one()
            world.leave()
            world.calls.active = ()
            world.calls.ended = (EndedRun(1, run_id, EndKind.DONE),)
            await world.follow(0.3)
            assert world.causes == [EndCause.DONE]
            world.links.close()

        run_in_virtual_time(play(), VirtualTimeLoop())

    def test_it_has_ended(self) -> None:
        """Once nothing listens at its address, its runs have ended, without a crash."""

        async def play() -> None:
            world = _World(born_ms=0)
            run_id = await world.run_one()
            world.leave()
            world.calls.failure = CallOutcome.NO_LISTENER
            await world.follow(0.3)
            assert world.state_of(run_id) is RunState.QUEUED
            assert world.state.crashes_of(run_id.task).crashes == 0
            assert world.links.get("w1") is None
            assert world.links.has_ended("w1")
            world.links.close()

        run_in_virtual_time(play(), VirtualTimeLoop())

    def test_it_falls_silent(self) -> None:
        """Its runs end once its lease has expired, and not before."""

        async def play() -> None:
            world = _World(born_ms=0)
            run_id = await world.run_one()
            world.calls.is_silent = True
            world.leave()
            # A poll that renewed the lease was sent 200 ms before at the earliest.
            await world.follow((_LEASE_MS - 200.0) / 1_000)
            assert world.state_of(run_id) is RunState.STOPPING
            bound_ms = _LEASE_DURATIONS.lease_real_ms + LAPSE_MARGIN_MS + _POLL_S * 1_000
            await world.follow((bound_ms - _LEASE_MS + 200.0) / 1_000)
            assert world.state_of(run_id) is RunState.QUEUED
            assert world.links.get("w1") is None
            world.links.close()

        run_in_virtual_time(play(), VirtualTimeLoop())

    # Guards against a new owner that takes a deregistered endpoint for one without runs.
    def test_it_has_not_reported(self) -> None:
        """It is not dropped before it has answered a poll."""

        async def play() -> None:
            world = _World(born_ms=0)
            world.calls.is_silent = True
            world.links.sync_with_catalog(monotonic_ms())
            world.leave()
            await world.follow(0.2)
            assert world.links.get("w1") is not None
            assert not world.links.has_ended("w1")
            world.calls.is_silent = False
            await world.follow(0.5)
            assert world.links.get("w1") is None
            world.links.close()

        run_in_virtual_time(play(), VirtualTimeLoop())


class TestSilentEndpoint:
    """An endpoint that receives polls and answers none."""

    def test_its_lease_lapses(self) -> None:
        """Unanswered polls do not renew the lease, which would otherwise never lapse."""
        calls: Any = _Calls()

        async def play() -> float:
            link = EndpointLink(_ENDPOINT, _LEASE_DURATIONS, calls, _Owner())
            task = asyncio.create_task(link.run())
            await asyncio.sleep(1.0)
            calls.is_silent = True
            silent_ms = monotonic_ms()
            while not link.take_lease_expiry(monotonic_ms()):
                assert monotonic_ms() - silent_ms < 10_000.0, "its lease never lapses"
                await asyncio.sleep(0.02)
            task.cancel()
            return monotonic_ms() - silent_ms

        lapsed_ms = run_in_virtual_time(play(), VirtualTimeLoop())
        bound_ms = _LEASE_DURATIONS.lease_real_ms + LAPSE_MARGIN_MS + _POLL_S * 1_000
        assert lapsed_ms < bound_ms
        assert not calls.polls[-1].until_ms

    def test_its_answer_is_overdue(self) -> None:
        """The owner is notified of the overdue answer before the poll times out."""
        owner = _Owner()
        calls = _Calls(_BORN_MS)
        calls.is_silent = True
        run_in_virtual_time(_run_link(owner, calls, 0.1), VirtualTimeLoop())
        assert (owner.overdue, owner.silent_count) == (["poll"], 0)

    def test_it_is_renewed_once_it_answers(self) -> None:
        """The lease is renewed again after the first answer."""
        calls: Any = _Calls()

        async def play() -> None:
            task = asyncio.create_task(
                EndpointLink(_ENDPOINT, _LEASE_DURATIONS, calls, _Owner()).run()
            )
            await asyncio.sleep(1.0)
            calls.is_silent = True
            await asyncio.sleep(_POLL_S)
            calls.is_silent = False
            await asyncio.sleep(1.0)
            task.cancel()

        run_in_virtual_time(play(), VirtualTimeLoop())
        assert calls.polls[-1].until_ms


async def _check(calls: _Calls, owner: _Owner, callers: int, idle_s: float) -> list[bool]:
    """Run a link until *idle_s* after the end of a run; return what concurrent checks return."""
    endpoint_calls: Any = calls
    record = _ENDPOINT._replace(born_ms=_BORN_MS)
    link = EndpointLink(record, _LEASE_DURATIONS, endpoint_calls, owner, _BORN_MS)
    task = asyncio.create_task(link.run())
    await asyncio.sleep(_POLL_S)
    calls.ended = (EndedRun(1, RunId(TaskId("0" * 16, 0, 0, 0), 1), EndKind.DONE),)
    while not (owner.reports and owner.reports[-1].ended):
        await asyncio.sleep(0.0005)
    for name, value in calls.changes.items():
        setattr(calls, name, value)
    await asyncio.sleep(idle_s)
    calls.checks_from = len(calls.polls)
    began_ms = monotonic_ms()
    responses = await asyncio.gather(*(link.is_responding() for _ in range(callers)))
    calls.checked_ms = monotonic_ms() - began_ms
    task.cancel()
    return responses


_IDLE_S = 0.05


class TestCheckBeforeStart:
    """Guards against starts that are the first order to meet a silent endpoint."""

    def test_recent_answer(self) -> None:
        """No call is needed right after the end of a run."""
        calls = _Calls(_BORN_MS)
        assert run_in_virtual_time(_check(calls, _Owner(), 1, 0.0), VirtualTimeLoop()) == [True]
        assert calls.polls[calls.checks_from :] == []

    def test_callers_share_a_check(self) -> None:
        """It neither renews the lease nor acknowledges ends nor waits."""
        calls = _Calls(_BORN_MS)
        responses = run_in_virtual_time(_check(calls, _Owner(), 3, _IDLE_S), VirtualTimeLoop())
        assert responses == [True] * 3
        assert calls.polls[calls.checks_from :] == [PollOrder(_LEASE_DURATIONS.token, 0, 0, 0)]

    def test_silent_endpoint(self) -> None:
        """The owner is notified, and the callers have their answer before a call times out."""
        calls, owner = _Calls(_BORN_MS), _Owner()

        calls.changes = {"is_silent": True}
        responses = run_in_virtual_time(_check(calls, owner, 2, _IDLE_S), VirtualTimeLoop())
        assert responses == [False, False]
        assert owner.overdue == ["check"]
        assert calls.checked_ms == pytest.approx(SUSPECT_AFTER_MS)

    def test_another_incarnation(self) -> None:
        """It is reported, and the callers' orders were meant for its predecessor."""
        calls, owner = _Calls(_BORN_MS), _Owner()

        calls.changes = {"born_ms": _BORN_MS + 1}
        responses = run_in_virtual_time(_check(calls, owner, 2, _IDLE_S), VirtualTimeLoop())
        assert responses == [False, False]
        assert owner.incarnations == [_BORN_MS + 1]

    def test_answer_that_was_read_late(self) -> None:
        """An answer that waited for this process is as old as the clock in it says."""
        clock = EndpointClock()
        assert clock.reading_age_ms(500.0, 10.0) == float("inf")
        clock.note(500.0, 10.0)
        assert clock.reading_age_ms(510.0, 20.0) == 0.0
        assert clock.reading_age_ms(510.0, 130.0) == pytest.approx(107.6)


class _FailingCalls(_Calls):
    """Fake endpoint whose polls fail with an outcome, 50 ms after they were sent."""

    outcome: CallOutcome | None = None

    async def poll(self, endpoint: EndpointRecord, order: PollOrder) -> PollReply:
        """Answer, or fail."""
        if self.outcome is None:
            return await super().poll(endpoint, order)
        self.polls.append(order)
        await asyncio.sleep(0.05)
        return PollReply(self.outcome)


async def _measure_lease_expiry(outcome: CallOutcome, incarnations: int) -> float:
    """Return after how many milliseconds an incarnation's leases count as expired.

    A renewing poll of the first incarnation has the *outcome*, and each further one is silent.
    """
    world = _World()
    calls = world.calls = _FailingCalls(_BORN_MS)
    world.links = EndpointLinks(
        "z", world.state, world.catalog, _LEASE_DURATIONS, cast(Any, calls), world
    )
    await world.follow(0.5)
    calls.outcome = outcome
    # The poll that is waiting is answered, and the next one renews the lease too.
    await world.follow(0.4)
    assert calls.polls[-1].until_ms == 0
    calls.outcome = CallOutcome.UNKNOWN
    for number in range(1, incarnations + 1):
        world.catalog.merge(world.record._replace(born_ms=_BORN_MS + number), monotonic_ms())
        await world.follow(0.3)
    began_ms = monotonic_ms()
    link = world.links.get("w1")
    assert link is not None
    assert link.born_ms == _BORN_MS + incarnations
    while not link.take_lease_expiry(monotonic_ms()):
        await asyncio.sleep(0.02)
    world.links.close()
    return monotonic_ms() - began_ms


class TestUnansweredRenewal:
    """A renewing poll that a later incarnation may execute."""

    @pytest.mark.parametrize("incarnations", [1, 2])
    def test_it_may_be_executed(self, incarnations: int) -> None:
        """Known to fail, see KNOWN-RED.txt: leases expire once it can't be executed any more."""
        play = _measure_lease_expiry(CallOutcome.UNKNOWN, incarnations)
        waited_ms = run_in_virtual_time(play, VirtualTimeLoop())
        longest_ms = UNANSWERED_ORDER_TTL_MS + _LEASE_DURATIONS.longest_real_ms
        assert longest_ms - 1_500.0 < waited_ms < longest_ms

    @pytest.mark.parametrize("outcome", [CallOutcome.DISCONNECTED, CallOutcome.NO_LISTENER])
    def test_its_connection_ended(self, outcome: CallOutcome) -> None:
        """No later incarnation executes it, and its leases expire as usual."""
        waited_ms = run_in_virtual_time(_measure_lease_expiry(outcome, 1), VirtualTimeLoop())
        assert waited_ms < _LEASE_DURATIONS.longest_real_ms + LAPSE_MARGIN_MS

    def test_it_is_in_flight(self) -> None:
        """Known to fail, see KNOWN-RED.txt: the next incarnation is discovered before its end."""

        async def play() -> float:
            world = _World()
            await world.follow(0.5)
            assert world.calls.polls[-1].until_ms
            world.calls.is_silent = True
            world.catalog.merge(world.record._replace(born_ms=_BORN_MS + 1), monotonic_ms())
            await world.follow(0.3)
            link = world.links.get("w1")
            assert link is not None
            while not link.take_lease_expiry(monotonic_ms()):
                await asyncio.sleep(0.02)
            world.links.close()
            return monotonic_ms() - link.answered_ms

        waited_ms = run_in_virtual_time(play(), VirtualTimeLoop())
        longest_ms = UNANSWERED_ORDER_TTL_MS + _LEASE_DURATIONS.longest_real_ms
        assert longest_ms - 500.0 < waited_ms < longest_ms + 2 * LAPSE_MARGIN_MS


class TestHasEnded:
    """Endpoints that count as ended in the recovery of an earlier owner's run."""

    @pytest.mark.parametrize("is_evicted", [False, True])
    @pytest.mark.parametrize("born_ms", [0, _BORN_MS])
    def test_removed_endpoint(self, born_ms: int, is_evicted: bool) -> None:
        """Guards against a lost run on an endpoint that was evicted since it was silent here."""

        async def play() -> bool:
            world = _World(born_ms)
            await world.follow(0.5)
            if is_evicted:
                world.catalog.evict("w1")
            else:
                world.leave()
            await world.follow(0.04)
            assert world.links.get("w1") is None
            has_ended = world.links.has_ended("w1")
            world.links.close()
            return has_ended

        has_ended = run_in_virtual_time(play(), VirtualTimeLoop())
        # Only the deregistration of an endpoint that never reuses its id shows its end.
        assert has_ended == (not is_evicted and not born_ms)
