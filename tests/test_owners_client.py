# SPDX-License-Identifier: MIT
"""What an entry box says of a job that it gives up: nothing ran, or something may have run."""

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
# The shortest right and lease: all that an owner held is gone for certain after 142 ms of silence.
_SHORT = TimingSettings(session_ms=1, endpoint_lease_ms=1)
# Seconds for which a box stands still: longer than that.
_PAUSE_S = 0.3


class FakeNetwork:
    """Peers that answer what the test says, and keep what they were asked."""

    def __init__(self) -> None:
        self.has_started = False
        self.is_reachable = True
        self.answers_after_s = 0.0
        self.later_owner: ZoneOwner | None = None
        self.asked: list[Any] = []
        self.handlers: dict[type, Callable[..., Any]] = {}

    def on(self, kind: type, handler: Callable[..., Any]) -> None:
        """Keep who takes messages of a kind."""
        self.handlers[kind] = handler

    def send(self, _box: str, _message: Any, _ttl_ms: float = 0) -> None:
        """Lose a message that needs no answer."""

    async def request(self, _box: str, message: Any, _timeout_ms: float) -> Any:
        """Answer as an owner that takes all runs."""
        self.asked.append(message)
        await asyncio.sleep(self.answers_after_s)
        if not self.is_reachable:
            raise PeerUnreachableError
        if isinstance(message, CancelJob) and self.later_owner is not None:
            return self.later_owner.cancel("10.0.0.1:1", message)
        if isinstance(message, CancelJob):
            return Cancelled(self.has_started)
        return SubmitReply(SubmitStatus.TAKEN)


class Rig:
    """A client of a zone's owner, without sockets."""

    def __init__(self, timings: TimingSettings | None = None) -> None:
        self.network = FakeNetwork()
        own = BoxRecord("10.0.0.1:1", 1, _OWN_ZONE, ENTRY, "e")
        network: Any = self.network
        self.client = OwnerClient(FleetView(own, []), network, timings or TimingSettings())
        self.job = OpenJob(_JOB)
        self.ends = self.job.ends

    def beat(self, token: int, zone: str = _OWN_ZONE) -> None:
        """Hear an owner."""
        record = BoxRecord(f"10.0.0.{token}:1", 1, zone, ENTRY, "o")
        owner = OwnerRecord(zone, token, record.box, 1)
        self.client.handle_heartbeat(
            OwnerHeartbeat(owner, record, 0, 0, ZoneLoad(10**6, 10**6, 0)), 0
        )

    async def submit(self, run: int = 1) -> SubmitReply:
        """Hand one run in."""
        template: SubmitRuns = submission(job_id=_JOB)
        return await self.client.submit(self.job, template, [RunOrder(0, 0, run)])

    def last_delivery(self) -> int:
        """Return the number of the newest handing over."""
        message = [one for one in self.network.asked if isinstance(one, SubmitRuns)][-1]
        return int(message.orders[0].delivery)

    def end(self, cause: EndCause, zone: str = _OWN_ZONE, **fields: Any) -> None:
        """Hear of the run's end."""
        end = RunEnd(RunId(TaskId(_JOB, 0, 0, 0), 1), cause, **fields)
        self.network.handlers[RunsEnded]("10.0.0.1:1", RunsEnded(zone, [end]))


def _run(test: Coroutine[Any, Any, None]) -> None:
    asyncio.run(test)


class TestEnds:
    """An end is about one handing over of a run."""

    def test_a_repeated_move(self) -> None:
        """A move that is told again after the run came back moves nothing."""

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
        """An owner that stood still while the box was restarted ends nothing of its next life."""

        async def play() -> None:
            earlier, rig = Rig(), Rig()
            for each in (earlier, rig):
                each.beat(1)
                await each.submit()
            rig.end(EndCause.UNATTAINABLE, has_started=False, delivery=earlier.last_delivery())
            assert rig.ends.empty()

        _run(play())


class TestLapsedRights:
    """An owner whose right lapsed has let go of what it was handed."""

    def test_what_is_open_is_handed_over_again(self) -> None:
        """Under a new number, and so that it is not refused."""

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
        """What an earlier owner says changes nothing."""

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
    """An owner that was silent for so long that what it held has ended."""

    def test_a_lost_run_is_delivered_no_more(self) -> None:
        """A delivery without a reply is sent again and again, but not to an owner that is back.

        Its run may have started elsewhere by then.
        """

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
        """A heartbeat that has waited while the box stood still revives no run."""

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


class TestSameIdAgain:
    """An id that is handed in again while its first try is still being cancelled."""

    def test_the_second_try_is_left_alone(self) -> None:
        """Its runs stay open, and its verdict is its own."""

        async def play() -> None:
            rig = Rig()
            rig.beat(1)
            await rig.submit()
            rig.network.answers_after_s = 0.02
            first, second = rig.job, OpenJob(_JOB)
            rig.client.forget(first)
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


class TestGivingUp:
    """The verdict on a job that is given up."""

    def test_nothing_started(self) -> None:
        """An owner that never ordered a start says so, and is believed."""

        async def play() -> None:
            rig = Rig()
            rig.beat(1)
            await rig.submit()
            assert not await rig.client.give_up(rig.job)

        _run(play())

    def test_the_owner_knows_of_a_start(self) -> None:
        """An owner that ordered a start says so."""

        async def play() -> None:
            rig = Rig()
            rig.beat(1)
            await rig.submit()
            rig.network.has_started = True
            assert await rig.client.give_up(rig.job)

        _run(play())

    def test_no_owner_was_ever_sent_it(self) -> None:
        """Nobody can have started it, so nobody needs to be asked."""

        async def play() -> None:
            rig = Rig()
            rig.beat(1)
            rig.network.is_reachable = False
            connection = rig.client._own_zone_connection
            connection._has_owner.clear()
            submission_task = asyncio.create_task(rig.submit())
            await asyncio.sleep(0.01)
            assert not await rig.client.give_up(rig.job)
            assert rig.network.asked == []
            submission_task.cancel()

        _run(play())

    def test_no_answer(self) -> None:
        """An owner that does not answer may have started it."""

        async def play() -> None:
            rig = Rig()
            rig.beat(1)
            await rig.submit()
            rig.network.is_reachable = False
            assert await rig.client.give_up(rig.job)

        _run(play())

    def test_an_owner_that_fell_silent(self) -> None:
        """A run whose owner fell silent is over, but may have been carried out."""

        async def play() -> None:
            rig = Rig(TimingSettings(session_ms=1, endpoint_lease_ms=1))
            rig.beat(1)
            await rig.submit()
            watch_task = asyncio.create_task(rig.client.run())
            end = await asyncio.wait_for(rig.ends.get(), 5.0)
            watch_task.cancel()
            assert end.cause is EndCause.LOST
            assert await rig.client.give_up(rig.job)

        _run(play())

    def test_a_new_owner_knows_nothing_of_the_one_before(self) -> None:
        """What a new owner says of a job covers only its own term."""

        async def play() -> None:
            rig = Rig()
            rig.beat(1)
            await rig.submit()
            rig.beat(2)
            await asyncio.sleep(0)
            assert await rig.client.give_up(rig.job)

        _run(play())

    def test_answered_by_a_later_term(self) -> None:
        """The box of the owner lost its zone and acquired it again: it has forgotten its starts.

        Its new term answers before a heartbeat of that term is handled here.
        """

        async def play() -> None:
            rig = Rig()
            rig.beat(OWNER_TOKEN - 1)
            await rig.submit()
            rig.network.later_owner = owner_on_box_one()
            assert await rig.client.give_up(rig.job)

        _run(play())

    def test_a_first_try_that_was_cut_short(self) -> None:
        """A deadline that comes while the owner is being asked does not make it certain.

        Seen on the bench: a hunted scale-1 of Sahulat in journal 01b207df, REFUSED at 5.696 s.
        """

        async def play() -> None:
            rig = Rig()
            rig.beat(1)
            await rig.submit()
            rig.network.answers_after_s = 10.0
            first = asyncio.create_task(rig.client.give_up(rig.job))
            await asyncio.sleep(0.01)
            first.cancel()
            await asyncio.gather(first, return_exceptions=True)
            assert await rig.client.give_up(rig.job)

        _run(play())

    def test_lost_while_it_is_given_up(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """A box that stood still finds its owner lost and its job's deadline over at one moment.

        What was dropped with the owner counts, whichever of the two comes first.
        """

        async def play() -> None:
            rig = Rig(TimingSettings(session_ms=1, endpoint_lease_ms=1))
            rig.beat(1)
            await rig.submit()
            time.sleep(0.3)
            # In the first step both only begin; in the second one the loss comes first.
            watch_task = asyncio.create_task(rig.client.run())
            giving_up = asyncio.create_task(rig.client.give_up(rig.job))
            rig.network.has_started = True
            assert await giving_up
            watch_task.cancel()

        monkeypatch.setattr("foldloom.seed_discovery.owners.client._LOST_CHECK_S", 0)
        _run(play())

    def test_a_heartbeat_is_handled_before_the_loss(self) -> None:
        """A box that stood still hears its owner before it checks for how long it has not.

        The owner has dropped what it held for this box, and may have forgotten its starts.
        """

        async def play() -> None:
            rig = Rig(_SHORT)
            rig.beat(1)
            await rig.submit()
            time.sleep(_PAUSE_S)
            rig.beat(1)
            assert await rig.client.give_up(rig.job)

        _run(play())

    def test_a_right_that_lapses_while_the_owner_is_asked(self) -> None:
        """What it says counts only if its right has had no break since the job was delivered."""

        async def play() -> None:
            rig = Rig(_SHORT)
            rig.beat(1)
            await rig.submit()
            rig.network.answers_after_s = 0.01
            giving_up = asyncio.create_task(rig.client.give_up(rig.job))
            while not isinstance(rig.network.asked[-1], CancelJob):
                await asyncio.sleep(0)
            time.sleep(_PAUSE_S)
            rig.beat(1)
            assert await giving_up

        _run(play())

    def test_an_end_that_is_handled_too_late(self) -> None:
        """The owner may have forgotten a start since, so its word comes to nothing."""

        async def play() -> None:
            rig = Rig()
            rig.beat(1)
            template: SubmitRuns = submission(job_id=_JOB, deadline_ms=-5_000)
            await rig.client.submit(rig.job, template, [RunOrder(0, 0, 1)])
            rig.end(EndCause.UNATTAINABLE, has_started=False)
            assert await rig.client.give_up(rig.job)

        _run(play())

    def test_moved_before_any_start(self) -> None:
        """A run that moved to another zone without a start leaves the verdict to that zone."""

        async def play() -> None:
            rig = Rig()
            rig.beat(1)
            rig.beat(2, _OTHER_ZONE)
            await rig.submit()
            rig.end(EndCause.MOVED, moved_to=_OTHER_ZONE, has_started=False)
            await asyncio.sleep(0.01)
            assert not await rig.client.give_up(rig.job)
            assert sum(isinstance(one, CancelJob) for one in rig.network.asked) == 1

        _run(play())

    def test_done_in_another_zone_whose_owner_fell_silent(self) -> None:
        """A run moves, its new owner falls silent, the job is given up: it may have run there.

        Seen on the bench: trouble-1 of Sahulat in journal 0bdfe35e, REFUSED at 36.367 s.
        """

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
            assert await rig.client.give_up(rig.job)

        _run(play())

    def test_done_at_an_owner_that_fell_silent_afterwards(self) -> None:
        """One task is done, the other moved on, the first owner falls silent: a task has run."""

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
                # The other zone's owner is heard all the time.
                rig.beat(2, _OTHER_ZONE)
                await asyncio.sleep(0.005)
            watch_task.cancel()
            assert await rig.client.give_up(rig.job)

        _run(play())
