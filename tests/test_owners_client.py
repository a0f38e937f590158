# SPDX-License-Identifier: MIT
"""Guards against a false "nothing ran" for a cancelled job, and against stale or repeated ends."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from foldloom.exceptions import PeerUnreachableError
from foldloom.seed_discovery.fleet.messages import BoxRecord, OwnerHeartbeat, OwnerRecord, ZoneLoad
from foldloom.seed_discovery.fleet.view import FleetView
from foldloom.seed_discovery.jobs.spec import RunId, TaskId
from foldloom.seed_discovery.owners.client import OwnerClient
from foldloom.seed_discovery.owners.messages import (
    CancelJob,
    Cancelled,
    EndCause,
    RunEnd,
    RunOrder,
    RunsEnded,
    SessionBegan,
    SubmitReply,
    SubmitRuns,
    SubmitStatus,
)
from foldloom.seed_discovery.owners.open_job import OpenJob
from foldloom.seed_discovery.owners.zone_owner import ZoneOwner
from foldloom.settings import ENTRY, TimingSettings
from test_owners_state import submission
from test_owners_zone_owner import OWNER_TOKEN, owner_on_box_one

_JOB = "a" * 16
_OWN_ZONE, _OTHER_ZONE = "home", "other"
# Shortest session and lease, so that grants lapse soon.
_SHORT = TimingSettings(session_ms=1, endpoint_lease_ms=1)
# A run may remain on its endpoint for longer than any test waits.
_LONG = TimingSettings(owner_silent_ms=20_000, endpoint_lease_ms=20_000)
# Process pause, longer than a short grant.
_PAUSE_S = 0.3


class FakeNetwork:
    """Fake peers with configurable answers; records the requests."""

    def __init__(self) -> None:
        self.has_started = False
        self.is_reachable = True
        self.submit_status = SubmitStatus.TAKEN
        self.answers_after_s = 0.0
        self.later_owner: ZoneOwner | None = None
        self.asked: list[Any] = []
        self.handlers: dict[type, Callable[..., Any]] = {}

    def on(self, kind: type, handler: Callable[..., Any]) -> None:
        """Register the handler for a message type."""
        self.handlers[kind] = handler

    def send(self, _box: str, _message: Any, _ttl_ms: float = 0) -> None:
        """Drop a message."""

    async def request(self, _box: str, message: Any, _timeout_ms: float) -> Any:
        """Answer as an owner that accepts all runs."""
        self.asked.append(message)
        await asyncio.sleep(self.answers_after_s)
        if not self.is_reachable:
            raise PeerUnreachableError
        if isinstance(message, CancelJob) and self.later_owner is not None:
            return self.later_owner.cancel("10.0.0.1:1", message)
        if isinstance(message, CancelJob):
            return Cancelled(self.has_started)
        return SubmitReply(self.submit_status)


class Rig:
    """An :class:`OwnerClient` with fake peers."""

    def __init__(self, timings: TimingSettings | None = None) -> None:
        self.network = FakeNetwork()
        own = BoxRecord("10.0.0.1:1", 1, _OWN_ZONE, ENTRY, "e")
        network: Any = self.network
        self.client = OwnerClient(FleetView(own, []), network, timings or TimingSettings())
        self.job = OpenJob(_JOB)
        self.ends = self.job.ends

    def beat(self, token: int, zone: str = _OWN_ZONE, total_milli: int = 10**6) -> None:
        """Handle a heartbeat of the owner with *token*, whose zone has *total_milli*."""
        record = BoxRecord(f"10.0.0.{token}:1", 1, zone, ENTRY, "o")
        owner = OwnerRecord(zone, token, record.box, 1)
        self.client.handle_heartbeat(
            OwnerHeartbeat(owner, record, 0, 0, ZoneLoad(total_milli, total_milli, 0)), 0
        )

    async def submit(self, run: int = 1) -> SubmitReply:
        """Submit one run."""
        template: SubmitRuns = submission(job_id=_JOB)
        return await self.client.submit(self.job, template, [RunOrder(0, 0, run)])

    def last_delivery(self) -> int:
        """Return the newest delivery number."""
        message = [one for one in self.network.asked if isinstance(one, SubmitRuns)][-1]
        return int(message.orders[0].delivery)

    def last_order(self) -> RunOrder:
        """Return the run of the newest delivery."""
        message = [one for one in self.network.asked if isinstance(one, SubmitRuns)][-1]
        return message.orders[0]

    def last_token(self) -> int:
        """Return the token of the owner that received the newest delivery."""
        message = [one for one in self.network.asked if isinstance(one, SubmitRuns)][-1]
        return int(message.token)

    def end(self, cause: EndCause, zone: str = _OWN_ZONE, **fields: Any) -> None:
        """Handle a message with the run's end."""
        end = RunEnd(RunId(TaskId(_JOB, 0, 0, 0), 1), cause, **fields)
        self.network.handlers[RunsEnded]("10.0.0.1:1", RunsEnded(zone, [end]))


def _run(test: Coroutine[Any, Any, None]) -> None:
    asyncio.run(test)


class TestEnds:
    """An end applies to one delivery of a run only."""

    def test_a_repeated_move(self) -> None:
        """A repeated notification of a move has no effect after the run was moved back."""

        async def play() -> None:
            rig = Rig()
            rig.beat(1)
            rig.beat(2, _OTHER_ZONE)
            await rig.submit()
            first = rig.last_delivery()
            rig.end(EndCause.MOVED, moved_to=_OTHER_ZONE, has_started=False, delivery=first)
            await asyncio.sleep(0.01)
            second = rig.last_delivery()
            rig.end(
                EndCause.MOVED, _OTHER_ZONE, moved_to=_OWN_ZONE, has_started=False, delivery=second
            )
            await asyncio.sleep(0.01)
            third = rig.last_delivery()
            assert first < second < third
            rig.end(EndCause.MOVED, moved_to=_OTHER_ZONE, has_started=False, delivery=first)
            await asyncio.sleep(0.01)
            assert rig.last_delivery() == third
            rig.end(EndCause.DONE, delivery=third)
            assert rig.ends.get_nowait().cause is EndCause.DONE

        _run(play())

    def test_meant_for_the_life_before(self) -> None:
        """An end sent to an earlier incarnation of the box ends no run of the current one."""

        async def play() -> None:
            earlier, rig = Rig(), Rig()
            for each in (earlier, rig):
                each.beat(1)
                await each.submit()
            rig.end(EndCause.UNATTAINABLE, has_started=False, delivery=earlier.last_delivery())
            assert rig.ends.empty()

        _run(play())


class TestLapsedSessions:
    """An owner whose session lapsed has dropped the delivered runs."""

    def test_what_is_open_is_handed_over_again(self) -> None:
        """Open runs are delivered again with a new number and are not refused."""

        async def play() -> None:
            rig = Rig()
            rig.beat(1)
            await rig.submit()
            first = rig.last_delivery()
            rig.network.handlers[SessionBegan]("10.0.0.1:1", SessionBegan(_OWN_ZONE, 1))
            await asyncio.sleep(0.01)
            assert rig.last_delivery() > first
            assert rig.network.asked[-1].orders[0].is_moved

        _run(play())

    def test_of_an_owner_before(self) -> None:
        """A renewed session of an earlier owner has no effect."""

        async def play() -> None:
            rig = Rig()
            rig.beat(2)
            await rig.submit()
            first = rig.last_delivery()
            rig.network.handlers[SessionBegan]("10.0.0.1:1", SessionBegan(_OWN_ZONE, 1))
            await asyncio.sleep(0.01)
            assert rig.last_delivery() == first

        _run(play())


class TestLostOwner:
    """An owner was silent until the grant lapsed."""

    def test_a_lost_run_is_delivered_no_more(self) -> None:
        """A lost run is no longer retransmitted, since it may have started elsewhere."""

        async def play() -> None:
            rig = Rig(TimingSettings(session_ms=1, endpoint_lease_ms=1))
            rig.beat(1)
            rig.network.is_reachable = False
            rig.network.answers_after_s = 0.01
            submission_task = asyncio.create_task(rig.submit())
            watch_task = asyncio.create_task(rig.client.run())
            assert (await asyncio.wait_for(rig.ends.get(), 5.0)).cause is EndCause.LOST
            watch_task.cancel()
            requests_before = len(rig.network.asked)
            await asyncio.wait([submission_task], timeout=0.1)
            assert len(rig.network.asked) == requests_before
            submission_task.cancel()

        _run(play())

    def test_heard_again_before_the_check(self) -> None:
        """A heartbeat handled after a process pause does not renew a lapsed grant."""

        async def play() -> None:
            rig = Rig(_SHORT)
            rig.beat(1)
            await rig.submit()
            time.sleep(_PAUSE_S)
            watch_task = asyncio.create_task(rig.client.run())
            for _ in range(20):
                rig.beat(1)
                await asyncio.sleep(0.01)
            watch_task.cancel()
            assert rig.ends.get_nowait().cause is EndCause.LOST
            assert rig.ends.empty()

        _run(play())


class TestOwnerThatDeclines:
    """An owner that has declined the only delivery of a run has not started it."""

    def test_next_owner_gets_a_first_delivery(self) -> None:
        """The next owner may reject the job, and the box may say that nothing has run."""

        async def play() -> None:
            rig = Rig()
            rig.beat(1)
            rig.network.submit_status = SubmitStatus.NOT_OWNER
            submission_task = asyncio.create_task(rig.submit())
            await asyncio.sleep(0.01)
            rig.network.submit_status = SubmitStatus.REFUSED
            rig.beat(2)
            assert (await submission_task).status is SubmitStatus.REFUSED
            assert rig.last_token() == 2
            assert not rig.last_order().is_resumed
            assert not await rig.client.cancel_and_wait(rig.job)

        _run(play())

    def test_an_earlier_copy_is_unanswered(self) -> None:
        """A copy that was lost may have been accepted, so the next owner looks for the run."""

        async def play() -> None:
            rig = Rig()
            rig.beat(1)
            rig.network.is_reachable = False
            submission_task = asyncio.create_task(rig.submit())
            await asyncio.sleep(0.01)
            rig.network.is_reachable = True
            rig.network.submit_status = SubmitStatus.NOT_OWNER
            await asyncio.sleep(0.01)
            rig.network.submit_status = SubmitStatus.TAKEN
            rig.beat(2)
            await submission_task
            await asyncio.sleep(0.01)
            assert rig.last_token() == 2
            assert rig.last_order().is_resumed
            assert await rig.client.cancel_and_wait(rig.job)

        _run(play())

    def test_accepted_before_it_declines(self) -> None:
        """An owner that declines a run which it has accepted before may have started it."""

        async def play() -> None:
            rig = Rig()
            rig.beat(1)
            await rig.submit()
            rig.network.submit_status = SubmitStatus.NOT_OWNER
            rig.network.handlers[SessionBegan]("10.0.0.1:1", SessionBegan(_OWN_ZONE, 1))
            await asyncio.sleep(0.01)
            rig.network.submit_status = SubmitStatus.TAKEN
            rig.beat(2)
            await asyncio.sleep(0.01)
            assert rig.last_token() == 2
            assert rig.last_order().is_resumed

        _run(play())


class TestSameIdAgain:
    """An id is submitted again while its first submission is still being cancelled."""

    def test_the_second_try_is_left_alone(self) -> None:
        """Neither the cancel nor the ends of the first submission affect the second."""

        async def play() -> None:
            rig = Rig()
            rig.beat(1)
            await rig.submit()
            rig.network.answers_after_s = 0.02
            first, second = rig.job, OpenJob(_JOB)
            rig.client.cancel_in_background(first)
            rig.job = second
            await rig.submit()
            newest = rig.last_delivery()
            await asyncio.sleep(0.05)
            cancels = [one for one in rig.network.asked if isinstance(one, CancelJob)]
            assert [one.delivery < newest for one in cancels] == [True]
            rig.end(EndCause.DONE, delivery=newest)
            assert second.ends.get_nowait().cause is EndCause.DONE
            assert first.ends.empty()

        _run(play())

    def test_not_started_in_the_own_zone(self) -> None:
        """The job goes to another zone at once: no run of it can remain."""

        async def play() -> None:
            rig = Rig(_LONG)
            rig.beat(1)
            rig.beat(2, _OTHER_ZONE)
            await rig.submit()
            rig.client.cancel_in_background(rig.job)
            rig.job = OpenJob(_JOB)
            rig.beat(1, total_milli=0)
            await asyncio.wait_for(rig.submit(), 5.0)
            assert rig.last_token() == 2

        _run(play())

    def test_started_in_another_zone(self) -> None:
        """The job goes nowhere while a run of it may remain there."""

        async def play() -> None:
            rig = Rig(_LONG)
            rig.beat(1, total_milli=0)
            rig.beat(2, _OTHER_ZONE)
            await rig.submit()
            assert rig.last_token() == 2
            rig.network.has_started = True
            await rig.client.cancel_and_wait(rig.job)
            rig.job = OpenJob(_JOB)
            rig.beat(1)
            submission_task = asyncio.create_task(rig.submit())
            await asyncio.wait([submission_task], timeout=0.1)
            assert rig.last_token() == 2
            submission_task.cancel()

        _run(play())

    def test_cancelled_twice_in_the_own_zone(self) -> None:
        """The answer to the second cancel does not end the wait for the runs of the first."""

        async def play() -> None:
            rig = Rig(_LONG)
            rig.beat(1)
            rig.beat(2, _OTHER_ZONE)
            for has_started in (True, False):
                await rig.submit()
                rig.network.has_started = has_started
                await rig.client.cancel_and_wait(rig.job)
                rig.job = OpenJob(_JOB)
            rig.beat(1, total_milli=0)
            submission_task = asyncio.create_task(rig.submit())
            await asyncio.wait([submission_task], timeout=0.1)
            assert rig.last_token() == 1
            rig.beat(1)
            await asyncio.wait_for(submission_task, 5.0)
            assert rig.last_token() == 1

        _run(play())


class TestGivingUp:
    """Whether a cancelled job may have started."""

    def test_nothing_started(self) -> None:
        """The owner's answer that nothing started is accepted."""

        async def play() -> None:
            rig = Rig()
            rig.beat(1)
            await rig.submit()
            assert not await rig.client.cancel_and_wait(rig.job)

        _run(play())

    def test_the_owner_knows_of_a_start(self) -> None:
        """The owner's answer that a run started is accepted."""

        async def play() -> None:
            rig = Rig()
            rig.beat(1)
            await rig.submit()
            rig.network.has_started = True
            assert await rig.client.cancel_and_wait(rig.job)

        _run(play())

    def test_no_owner_was_ever_sent_it(self) -> None:
        """A job never sent to an owner has not started, and no cancel is sent."""

        async def play() -> None:
            rig = Rig()
            rig.beat(1)
            rig.network.is_reachable = False
            connection = rig.client._own_zone_connection
            connection._has_owner.clear()
            submission_task = asyncio.create_task(rig.submit())
            await asyncio.sleep(0.01)
            assert not await rig.client.cancel_and_wait(rig.job)
            assert rig.network.asked == []
            submission_task.cancel()

        _run(play())

    def test_no_answer(self) -> None:
        """Without an answer the job may have started."""

        async def play() -> None:
            rig = Rig()
            rig.beat(1)
            await rig.submit()
            rig.network.is_reachable = False
            assert await rig.client.cancel_and_wait(rig.job)

        _run(play())

    def test_an_owner_that_fell_silent(self) -> None:
        """A run whose owner fell silent has ended but may have started."""

        async def play() -> None:
            rig = Rig(TimingSettings(session_ms=1, endpoint_lease_ms=1))
            rig.beat(1)
            await rig.submit()
            watch_task = asyncio.create_task(rig.client.run())
            end = await asyncio.wait_for(rig.ends.get(), 5.0)
            watch_task.cancel()
            assert end.cause is EndCause.LOST
            assert await rig.client.cancel_and_wait(rig.job)

        _run(play())

    def test_a_new_owner_knows_nothing_of_the_one_before(self) -> None:
        """An owner's answer covers its own term only."""

        async def play() -> None:
            rig = Rig()
            rig.beat(1)
            await rig.submit()
            rig.beat(2)
            await asyncio.sleep(0)
            assert await rig.client.cancel_and_wait(rig.job)

        _run(play())

    def test_answered_by_a_later_term(self) -> None:
        """A later term on the owner's box has no record of the starts of the earlier one.

        It answers before a heartbeat of its term is handled here.
        """

        async def play() -> None:
            rig = Rig()
            rig.beat(OWNER_TOKEN - 1)
            await rig.submit()
            rig.network.later_owner = owner_on_box_one()
            assert await rig.client.cancel_and_wait(rig.job)

        _run(play())

    def test_a_first_try_that_was_cut_short(self) -> None:
        """A cancel interrupted by a deadline leaves the job as possibly started."""

        async def play() -> None:
            rig = Rig()
            rig.beat(1)
            await rig.submit()
            rig.network.answers_after_s = 10.0
            first = asyncio.create_task(rig.client.cancel_and_wait(rig.job))
            await asyncio.sleep(0.01)
            first.cancel()
            await asyncio.gather(first, return_exceptions=True)
            assert await rig.client.cancel_and_wait(rig.job)

        _run(play())

    def test_lost_while_it_is_given_up(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """After a process pause, the loss of the owner and the deadline may come in any order.

        The batches dropped with the owner count in either case.
        """

        async def play() -> None:
            rig = Rig(TimingSettings(session_ms=1, endpoint_lease_ms=1))
            rig.beat(1)
            await rig.submit()
            time.sleep(0.3)
            # Both tasks only begin in the first step; in the second one the loss comes first.
            watch_task = asyncio.create_task(rig.client.run())
            giving_up = asyncio.create_task(rig.client.cancel_and_wait(rig.job))
            rig.network.has_started = True
            assert await giving_up
            watch_task.cancel()

        monkeypatch.setattr("foldloom.seed_discovery.owners.client._LOST_CHECK_S", 0)
        _run(play())

    def test_a_heartbeat_is_handled_before_the_loss(self) -> None:
        """A heartbeat handled after a process pause, before the check, does not hide the lapse.

        The owner has dropped this box's runs and may no longer have a record of their starts.
        """

        async def play() -> None:
            rig = Rig(_SHORT)
            rig.beat(1)
            await rig.submit()
            time.sleep(_PAUSE_S)
            rig.beat(1)
            assert await rig.client.cancel_and_wait(rig.job)

        _run(play())

    def test_a_right_that_lapses_while_the_owner_is_asked(self) -> None:
        """An owner's answer counts only under the grant of the delivery."""

        async def play() -> None:
            rig = Rig(_SHORT)
            rig.beat(1)
            await rig.submit()
            rig.network.answers_after_s = 0.01
            giving_up = asyncio.create_task(rig.client.cancel_and_wait(rig.job))
            while not isinstance(rig.network.asked[-1], CancelJob):
                await asyncio.sleep(0)
            time.sleep(_PAUSE_S)
            rig.beat(1)
            assert await giving_up

        _run(play())

    def test_an_end_that_is_handled_too_late(self) -> None:
        """A late end does not rule out a start, whose record the owner may have dropped."""

        async def play() -> None:
            rig = Rig()
            rig.beat(1)
            template: SubmitRuns = submission(job_id=_JOB, deadline_ms=-5_000)
            await rig.client.submit(rig.job, template, [RunOrder(0, 0, 1)])
            rig.end(EndCause.UNATTAINABLE, has_started=False)
            assert await rig.client.cancel_and_wait(rig.job)

        _run(play())

    def test_moved_before_any_start(self) -> None:
        """After a run moved to another zone unstarted, only that zone's owner is queried."""

        async def play() -> None:
            rig = Rig()
            rig.beat(1)
            rig.beat(2, _OTHER_ZONE)
            await rig.submit()
            rig.end(EndCause.MOVED, moved_to=_OTHER_ZONE, has_started=False)
            await asyncio.sleep(0.01)
            assert not await rig.client.cancel_and_wait(rig.job)
            assert sum(isinstance(one, CancelJob) for one in rig.network.asked) == 1

        _run(play())

    def test_done_in_another_zone_whose_owner_fell_silent(self) -> None:
        """A run that moved to an owner that then fell silent may have started there."""

        async def play() -> None:
            rig = Rig(TimingSettings(session_ms=1, endpoint_lease_ms=1))
            rig.beat(1)
            rig.beat(2, _OTHER_ZONE)
            await rig.submit()
            rig.end(EndCause.MOVED, moved_to=_OTHER_ZONE, has_started=False)
            await asyncio.sleep(0.01)
            watch_task = asyncio.create_task(rig.client.run())
            assert (await asyncio.wait_for(rig.ends.get(), 5.0)).cause is EndCause.LOST
            watch_task.cancel()
            rig.beat(1)
            await rig.submit(2)
            assert await rig.client.cancel_and_wait(rig.job)

        _run(play())

    def test_done_at_an_owner_that_fell_silent_afterwards(self) -> None:
        """A task done before its owner fell silent counts as started."""

        async def play() -> None:
            rig = Rig(TimingSettings(session_ms=1, endpoint_lease_ms=1))
            rig.beat(1)
            rig.beat(2, _OTHER_ZONE)
            template: SubmitRuns = submission(2, job_id=_JOB)
            orders = [RunOrder(0, 0, 1), RunOrder(0, 1, 1)]
            await rig.client.submit(rig.job, template, orders)
            done = RunEnd(RunId(TaskId(_JOB, 0, 0, 0), 1), EndCause.DONE)
            moved = RunEnd(
                RunId(TaskId(_JOB, 0, 0, 1), 1),
                EndCause.MOVED,
                moved_to=_OTHER_ZONE,
                has_started=False,
            )
            rig.network.handlers[RunsEnded]("10.0.0.1:1", RunsEnded(_OWN_ZONE, [done, moved]))
            await asyncio.sleep(0.01)
            watch_task = asyncio.create_task(rig.client.run())
            for _ in range(100):
                # The other zone's owner keeps sending heartbeats.
                rig.beat(2, _OTHER_ZONE)
                await asyncio.sleep(0.005)
            watch_task.cancel()
            assert await rig.client.cancel_and_wait(rig.job)

        _run(play())
