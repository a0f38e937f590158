# SPDX-License-Identifier: MIT
"""A refusal promises that nothing ran: what an owner forgets, and what is taken for its answer."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator
from typing import Any

import zmq
import zmq.asyncio

from cluster import free_port
from foldloom.clock import monotonic_ms
from foldloom.exceptions import PeerUnreachableError
from foldloom.metrics import Metrics
from foldloom.peers.messages import (
    Envelope,
    Frame,
    decode_envelope,
    encode_body,
    encode_envelope,
    kind_of,
)
from foldloom.peers.wire import PeerNetwork
from foldloom.seed_discovery.endpoints.calls import CallOutcome, EndpointReport
from foldloom.seed_discovery.job_runner import JobResult, JobRunner
from foldloom.seed_discovery.jobs.queues import Queue
from foldloom.seed_discovery.jobs.spec import Demand, Job, Step, TaskId
from foldloom.seed_discovery.owners.messages import (
    CancelJob,
    Cancelled,
    RunOrder,
    SubmitReply,
    SubmitRuns,
    SubmitStatus,
)
from foldloom.seed_discovery.scheduling.runs import HolderId
from foldloom.settings import Settings, TimingSettings
from foldloom.settings_file import settings_from
from foldloom.verdicts import Run
from test_owners_client import Rig
from test_owners_state import endpoint, owner_with, start_waiting, submission

_JOB = "0" * 16
_TASK = TaskId(_JOB, 0, 0, 0)
_JOB_OF_ONE = Job(_JOB, "text", (Step(1, Demand(1_000, 64, 0), 20),))
_QUEUE = Queue("q", "host", "/", "svc", 0, 3, 1_500, 1.6, 60)
_E1 = HolderId("e1", 1)
_E2 = HolderId("e2", 1)
# Seconds until a box has connected to a peer on loopback; a message before that is lost.
_CONNECT_S = 0.5
# Milliseconds between boxes until a delivery expires on its way: its reply's time-out and one more.
_DELIVERY_TTL_MS = 151.0


class _ImmediateOwner:
    """An owner that starts what it is sent at once, on the system's clock."""

    def __init__(self) -> None:
        self.state = owner_with(endpoint("w1"))
        self.cancel_delays_ms: list[float] = []
        self.deadline_ms = 0.0

    async def request(self, _box: str, message: Any, _timeout_ms: float) -> Any:
        """Answer a message at once."""
        return self.cancel(message) if isinstance(message, CancelJob) else self.take(message)

    def take(self, message: SubmitRuns) -> SubmitReply:
        """Take a delivery and start it."""
        now_ms = monotonic_ms()
        self.deadline_ms = now_ms + message.deadline_ms
        reply = self.state.submit(_E1, message, now_ms)
        self.state.place(now_ms)
        for action in self.state.actions.pop_starts():
            self.state.note_start(action.run_id, action.endpoint, CallOutcome.DONE, now_ms)
        return reply

    def cancel(self, message: CancelJob) -> Cancelled:
        """Answer a cancel as the owner does, after one of its ticks."""
        now_ms = monotonic_ms()
        self.cancel_delays_ms.append(now_ms - self.deadline_ms)
        self._end_session(now_ms)
        self.state.tick(now_ms)
        return Cancelled(self.state.cancel(_E1, message.job_id, now_ms, message.delivery))

    def _end_session(self, now_ms: float) -> None:
        """End the box's session, as the owner did while the box stood still; its run is gone."""
        self.state.end_session(_E1, now_ms - 1_500.0)
        for stop in self.state.actions.pop_stops():
            self.state.note_stop(stop.run_id, stop.endpoint, CallOutcome.DONE, now_ms - 1_400.0)
        self.state.report(EndpointReport("w1", (), (), now_ms - 1_300.0), now_ms - 1_300.0)


class TestAskedLate:
    """How late a box can ask an owner whose grant is unbroken."""

    def test_two_pauses_with_a_heartbeat_between(self) -> None:
        """Each pause is shorter than a grant, so the grant is unbroken; together they are longer.

        The owner starts the run, so whatever the box does then, a refusal would be false.
        """

        async def play() -> tuple[JobResult, list[float]]:
            rig = Rig(TimingSettings())
            owner = _ImmediateOwner()
            rig.network.request = owner.request  # type: ignore[method-assign]
            rig.beat(1)
            runner = JobRunner(_JOB_OF_ONE, _QUEUE, rig.client, monotonic_ms() + 200.0)
            answer = asyncio.create_task(runner.run())
            watching = asyncio.create_task(rig.client.run())
            await asyncio.sleep(0.15)
            rig.beat(1)
            time.sleep(1.1)
            # What waited in the socket is handled first.
            rig.beat(1)
            await asyncio.sleep(0)
            time.sleep(1.1)
            result = await answer
            watching.cancel()
            return result, owner.cancel_delays_ms

        result, delays_ms = asyncio.run(play())
        assert result.error.run is Run.MAY_HAVE_RUN, f"asked {delays_ms} ms after the deadline"

    def test_a_starved_box_that_owns_its_zone(self) -> None:
        """Each turn of its event loop takes 0.7 s, and a heartbeat is handled in each of them.

        From the deadline to the question it takes some turns. It answers itself in the same turn.
        """

        async def play() -> tuple[JobResult, list[float]]:
            rig = Rig(TimingSettings())
            owner = _ImmediateOwner()
            rig.network.request = owner.request  # type: ignore[method-assign]
            rig.beat(1)
            runner = JobRunner(_JOB_OF_ONE, _QUEUE, rig.client, monotonic_ms() + 200.0)
            answer = asyncio.create_task(runner.run())
            watching = asyncio.create_task(rig.client.run())
            await asyncio.sleep(0.15)
            while not answer.done():
                rig.beat(1)
                time.sleep(0.7)
                await asyncio.sleep(0)
            watching.cancel()
            return await answer, owner.cancel_delays_ms

        result, delays_ms = asyncio.run(play())
        assert result.error.run is Run.MAY_HAVE_RUN, f"asked {delays_ms} ms after the deadline"


class TestSeveralDeadlines:
    """One id, delivered by two boxes (or twice by one) before anything of it has started."""

    def test_both_delivered_before_the_start(self) -> None:
        """The run starts after both deliveries, and goes on for the box with the later deadline."""
        state = owner_with(endpoint("w1"))
        state.submit(_E1, submission(deadline_ms=1_500), 0.0)
        state.submit(_E2, submission(deadline_ms=2_800), 1_400.0)
        start_waiting(state, 1_450.0)
        state.cancel(_E1, _JOB, 1_500.0)
        for now_ms in (2_000.0, 3_000.0, 3_600.0, 4_200.0):
            state.tick(now_ms)
        assert state.run_of(_TASK) is not None
        assert state.cancel(_E2, _JOB, 4_200.0)

    def test_handed_in_again_at_the_same_box(self) -> None:
        """The first caller left; the second's delivery attaches to the run that still waits."""
        state = owner_with(endpoint("w1"))
        first = submission(deadline_ms=1_500, orders=[RunOrder(0, 0, 1, delivery=1)])
        again = submission(deadline_ms=2_800, orders=[RunOrder(0, 0, 1, delivery=2)])
        state.submit(_E1, first, 0.0)
        state.submit(_E1, again, 1_400.0)
        state.cancel(_E1, _JOB, 1_401.0, delivery=1)
        start_waiting(state, 1_450.0)
        for now_ms in (2_000.0, 3_000.0, 3_600.0, 4_200.0):
            state.tick(now_ms)
        assert state.run_of(_TASK) is not None
        assert state.cancel(_E1, _JOB, 4_200.0, delivery=2)


class TestCancelled:
    """A delivery that its cancel has overtaken starts nothing."""

    def test_an_older_cancel_arrives_later(self) -> None:
        """A cancel of the first try, sent until it is answered, comes after that of the second."""
        state = owner_with(endpoint("w1"))
        assert not state.cancel(_E1, _JOB, 1.0, delivery=5)
        state.cancel(_E1, _JOB, 2.0, delivery=1)
        late = submission(orders=[RunOrder(0, 0, 1, delivery=5)])
        reply = state.submit(_E1, late, 3.0)
        state.place(3.0)
        assert state.actions.pop_starts() == []
        assert reply.status is SubmitStatus.REFUSED

    def test_an_owner_stands_still_between_age_and_handling(self) -> None:
        """A delivery was young when its age was looked at; then the owner stood still for a right.

        Its box acknowledged a heartbeat right before that, so its right is not over yet.
        """
        state = owner_with(endpoint("w1"))
        state.tick(0.0)
        assert not state.cancel(_E1, _JOB, 0.0, delivery=1)
        session_duration_ms = float(TimingSettings().session_ms)
        handling_ms = _DELIVERY_TTL_MS + session_duration_ms - 10.0
        late = submission(orders=[RunOrder(0, 0, 1, delivery=1)])
        state.submit(_E1, late, handling_ms)
        state.place(handling_ms)
        assert state.actions.pop_starts() == []


class TestReplies:
    """What is taken for the reply to a request."""

    def test_a_reply_to_an_earlier_life(self) -> None:
        """Requests are numbered from 1 in each life of a box, and a reply names no life.

        A peer that stood still answers what the life before had asked.
        """

        async def play() -> Any:
            own, asked = f"127.0.0.1:{free_port()}", f"127.0.0.1:{free_port()}"
            context = zmq.asyncio.Context()
            router, dealer = context.socket(zmq.ROUTER), context.socket(zmq.DEALER)
            router.bind(f"tcp://{asked}")
            message = CancelJob(_JOB, 1, 1)
            try:
                async with _running_network(own, 1, asked) as first:
                    asking = asyncio.create_task(first.request(asked, message, 300))
                    before = decode_envelope((await router.recv_multipart())[-1])
                    await asyncio.gather(asking, return_exceptions=True)
                reply = Cancelled(has_started=False)
                number = before.frames[0].id
                frame = Frame(kind_of(reply), 0, number, 1_000, encode_body(reply))
                async with _running_network(own, 2, asked) as second:
                    asking = asyncio.create_task(second.request(asked, message, 500))
                    await router.recv_multipart()
                    dealer.connect(f"tcp://{own}")
                    late = Envelope(asked, 7, int(monotonic_ms()), [frame])
                    await dealer.send(encode_envelope(late))
                    return (await asyncio.gather(asking, return_exceptions=True))[0]
            finally:
                context.destroy(0)

        assert isinstance(asyncio.run(asyncio.wait_for(play(), 10.0)), PeerUnreachableError)


@contextlib.asynccontextmanager
async def _running_network(box: str, incarnation: int, peer: str) -> AsyncIterator[PeerNetwork]:
    """Run a life of a box that is connected to *peer*."""
    network = PeerNetwork(_seed_settings(box), incarnation, Metrics())
    await network.start()
    network.add_peer(peer)
    await asyncio.sleep(_CONNECT_S)
    try:
        yield network
    finally:
        await network.stop()


def _seed_settings(box: str) -> Settings:
    return settings_from(
        {
            "box": box,
            "zone": "a",
            "roles": ["entry"],
            "listen": box,
            "seeds": [box],
            "http": {"host": "127.0.0.1", "port": free_port()},
        }
    )
