# SPDX-License-Identifier: MIT
"""A refused job must never have run: late cancels, expired records and stale replies."""

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
    EndsNoted,
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
# Interval of messages to a peer until one arrives. Those sent before the connection is open are
# lost, and how long that takes depends on the load.
_CONNECT_CHECK_MS = 50
# Time-to-live of a delivery, just above its reply timeout.
_DELIVERY_TTL_MS = 151.0


class _ImmediateOwner:
    """An owner that starts delivered runs at once, on the system's clock."""

    def __init__(self) -> None:
        self.state = owner_with(endpoint("w1"))
        self.cancel_delays_ms: list[float] = []
        self.deadline_ms = 0.0

    async def request(self, _box: str, message: Any, _timeout_ms: float) -> Any:
        """Answer a message without delay."""
        return self.cancel(message) if isinstance(message, CancelJob) else self.take(message)

    def take(self, message: SubmitRuns) -> SubmitReply:
        """Accept a delivery and start its runs."""
        now_ms = monotonic_ms()
        self.deadline_ms = now_ms + message.deadline_ms
        reply = self.state.submit(_E1, message, now_ms)
        self.state.place(now_ms)
        for action in self.state.actions.pop_starts():
            self.state.handle_start_outcome(
                action.run_id, action.endpoint, CallOutcome.DONE, now_ms
            )
        return reply

    def cancel(self, message: CancelJob) -> Cancelled:
        """Answer a cancel after a tick, as the real owner does."""
        now_ms = monotonic_ms()
        self.cancel_delays_ms.append(now_ms - self.deadline_ms)
        self._end_session(now_ms)
        self.state.tick(now_ms)
        return Cancelled(self.state.cancel(_E1, message.job_id, now_ms, message.delivery))

    def _end_session(self, now_ms: float) -> None:
        """End the box's session at a time during the box's pause, and its run with it."""
        self.state.end_session(_E1, now_ms - 1_500.0)
        for stop in self.state.actions.pop_stops():
            self.state.handle_stop_outcome(
                stop.run_id, stop.endpoint, CallOutcome.DONE, now_ms - 1_400.0
            )
        self.state.report(EndpointReport("w1", (), (), now_ms - 1_300.0), now_ms - 1_300.0)


class TestLateCancel:
    """A box that cancels too late must not trust the answer, even with an unbroken grant."""

    def test_two_pauses_with_a_heartbeat_between(self) -> None:
        """Neither pause breaks the grant, but together they outlast the owner's record of starts.

        The owner has started the run, so a refusal would be false.
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
            # A message that was queued in the socket is handled first.
            rig.beat(1)
            await asyncio.sleep(0)
            time.sleep(1.1)
            result = await answer
            watching.cancel()
            return result, owner.cancel_delays_ms

        result, delays_ms = asyncio.run(play())
        assert result.error.run is Run.MAY_HAVE_RUN, (
            f"cancels arrived {delays_ms} ms after the deadline"
        )

    def test_a_starved_box_that_owns_its_zone(self) -> None:
        """Each event-loop iteration takes 0.7 s and handles a heartbeat.

        The cancel follows the deadline only after several iterations.
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
        assert result.error.run is Run.MAY_HAVE_RUN, (
            f"cancels arrived {delays_ms} ms after the deadline"
        )


class TestSeveralDeadlines:
    """The record of a start lasts until the latest of several deadlines of one id."""

    def test_both_delivered_before_the_start(self) -> None:
        """The run starts after deliveries by two boxes; the one with the later deadline cancels."""
        state = owner_with(endpoint("w1"))
        state.submit(_E1, submission(deadline_ms=1_500), 0.0)
        state.submit(_E2, submission(deadline_ms=2_800), 1_400.0)
        start_waiting(state, 1_450.0)
        state.cancel(_E1, _JOB, 1_500.0)
        for now_ms in (2_000.0, 3_000.0, 3_600.0, 4_200.0):
            state.tick(now_ms)
        assert state.current_run(_TASK) is not None
        assert state.cancel(_E2, _JOB, 4_200.0)

    def test_handed_in_again_at_the_same_box(self) -> None:
        """The first caller cancels; the second one's delivery attached to the queued run."""
        state = owner_with(endpoint("w1"))
        first = submission(deadline_ms=1_500, orders=[RunOrder(0, 0, 1, delivery=1)])
        again = submission(deadline_ms=2_800, orders=[RunOrder(0, 0, 1, delivery=2)])
        state.submit(_E1, first, 0.0)
        state.submit(_E1, again, 1_400.0)
        state.cancel(_E1, _JOB, 1_401.0, delivery=1)
        start_waiting(state, 1_450.0)
        for now_ms in (2_000.0, 3_000.0, 3_600.0, 4_200.0):
            state.tick(now_ms)
        assert state.current_run(_TASK) is not None
        assert state.cancel(_E1, _JOB, 4_200.0, delivery=2)


class TestCancelled:
    """A delivery that its cancel has overtaken must not start."""

    def test_an_older_cancel_arrives_later(self) -> None:
        """A retransmitted cancel of the first submission arrives after that of the second."""
        state = owner_with(endpoint("w1"))
        assert not state.cancel(_E1, _JOB, 1.0, delivery=5)
        state.cancel(_E1, _JOB, 2.0, delivery=1)
        late = submission(orders=[RunOrder(0, 0, 1, delivery=5)])
        reply = state.submit(_E1, late, 3.0)
        state.place(3.0)
        assert state.actions.pop_starts() == []
        assert reply.status is SubmitStatus.REFUSED

    def test_an_owner_stands_still_between_age_and_handling(self) -> None:
        """The owner pauses between the check of a delivery's age and its handling.

        The box acknowledged a heartbeat just before, so the session is still valid.
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
    """A reply must belong to a request of the same incarnation."""

    def test_a_reply_to_an_earlier_life(self) -> None:
        """A paused peer's reply to the previous incarnation is not matched to a new request.

        Each incarnation of a box numbers its requests from 1.
        """

        async def play() -> Any:
            own, asked = f"127.0.0.1:{free_port()}", f"127.0.0.1:{free_port()}"
            context = zmq.asyncio.Context()
            router, dealer = context.socket(zmq.ROUTER), context.socket(zmq.DEALER)
            router.bind(f"tcp://{asked}")
            message = CancelJob(_JOB, 1, 1)
            try:
                async with _connected_network(own, 1, asked, router) as first:
                    asking = asyncio.create_task(first.request(asked, message, 300))
                    number = (await _receive_request(router)).id
                    await asyncio.gather(asking, return_exceptions=True)
                reply = Cancelled(has_started=False)
                frame = Frame(kind_of(reply), 0, number, 1_000, encode_body(reply))
                async with _connected_network(own, 2, asked, router) as second:
                    asking = asyncio.create_task(second.request(asked, message, 500))
                    await _receive_request(router)
                    dealer.connect(f"tcp://{own}")
                    late = Envelope(asked, 7, int(monotonic_ms()), [frame])
                    await dealer.send(encode_envelope(late))
                    return (await asyncio.gather(asking, return_exceptions=True))[0]
            finally:
                context.destroy(0)

        assert isinstance(asyncio.run(asyncio.wait_for(play(), 10.0)), PeerUnreachableError)


@contextlib.asynccontextmanager
async def _connected_network(
    box: str, incarnation: int, peer: str, router: zmq.asyncio.Socket
) -> AsyncIterator[PeerNetwork]:
    """Run an incarnation of a box that is connected to *peer*, which receives with *router*."""
    network = PeerNetwork(_seed_settings(box), incarnation, Metrics())
    await network.start()
    network.add_peer(peer)
    try:
        is_connected = False
        while not is_connected:
            network.send(peer, EndsNoted())
            is_connected = bool(await router.poll(_CONNECT_CHECK_MS))
        yield network
    finally:
        await network.stop()


async def _receive_request(router: zmq.asyncio.Socket) -> Frame:
    """Return the next request; messages without a request id are skipped."""
    while True:
        envelope = decode_envelope((await router.recv_multipart())[-1])
        if envelope.frames[0].id:
            return envelope.frames[0]


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
