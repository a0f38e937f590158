# SPDX-License-Identifier: MIT
"""The zones of :mod:`models.zones_world` with boxes that can be paused one by one.

While a box is paused, messages queue up in its sockets and its timers expire. Messages expire as in
the real network, by the time at which they were sent. An order that has left a box reaches its
endpoint even if the box is paused or killed.
"""

from __future__ import annotations

import asyncio
import contextvars
from collections.abc import Callable
from typing import Any, NamedTuple

from foldloom.clock import monotonic_ms
from foldloom.exceptions import PeerUnreachableError
from foldloom.peers.incarnations import UnorderedIncarnations
from foldloom.seed_discovery.endpoints.calls import (
    CallOutcome,
    CallReply,
    PollOrder,
    PollReply,
    StartOrder,
)
from foldloom.seed_discovery.endpoints.records import EndpointRecord
from foldloom.seed_discovery.job_runner import JobResult
from foldloom.seed_discovery.jobs.spec import Job, RunId
from foldloom.tasks import TaskSet
from models.virtual_time import LIFE, PausableLoop, Waking
from models.zones_calls import CALL_TIMEOUT_S, LATE_ORDER_MAX_S, SimulatedCalls
from models.zones_network import SimulatedNetwork
from models.zones_world import CATALOG_AGE_MS, Answer, SimulatedBox, ZonesWorld

# Interval at which a waiting poll checks for ended runs, in seconds.
_POLL_INTERVAL_S = 0.01


class Frame(NamedTuple):
    """A message with the id of its request, or of the request that it replies to."""

    message: Any
    request_id: int
    reply_to: int
    ttl_ms: float


class Envelope(NamedTuple):
    """Frames that a box sends together."""

    sender: str
    incarnation: int
    sent_ms: float
    frames: list[Frame]


class EndpointFaults:
    """Endpoints that refuse starts, receive no orders, or send no replies."""

    def __init__(self) -> None:
        self.refusing: dict[str, CallOutcome] = {}
        self.deaf: set[str] = set()
        self.mute: set[str] = set()


class ExpiringNetwork(SimulatedNetwork):
    """The network of one life of a box: outboxes, request ids, and message expiry."""

    def __init__(self, world: PausableZonesWorld, box: str, incarnation: int) -> None:
        super().__init__(world, box, incarnation)
        self._standing_world = world
        self._fresh_lives = UnorderedIncarnations()
        self._outboxes: dict[str, list[Frame]] = {}
        self._pending_requests: dict[int, asyncio.Future[Any]] = {}
        self._next_id = 0

    def known_incarnation(self, box: str) -> int:
        """Return the incarnation of *box* that was last received from."""
        return self.incarnation if box == self._box else self._fresh_lives.current(box)

    def send(self, box: str, message: Any, ttl_ms: float = 1_000) -> None:
        """Send a message that needs no reply."""
        if box == self._box:
            super().send(box, message, ttl_ms)
        else:
            self._enqueue(box, Frame(message, 0, 0, ttl_ms))

    async def request(self, box: str, message: Any, timeout_ms: float) -> Any:
        """Send a message and return its reply."""
        if box == self._box and self.is_alive:
            return self._handle(box, self.incarnation, message)
        self._next_id += 1
        request_id = self._next_id
        reply: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._pending_requests[request_id] = reply
        try:
            self._enqueue(box, Frame(message, request_id, 0, int(timeout_ms) + 1))
            async with asyncio.timeout(timeout_ms / 1_000):
                return await reply
        except TimeoutError:
            raise PeerUnreachableError(box) from None
        finally:
            self._pending_requests.pop(request_id, None)

    def accept(self, envelope: Envelope) -> None:
        """Handle the frames of a received envelope that have not expired."""
        if not self.is_alive:
            return
        age_ms = self._fresh_lives.record(
            envelope.sender, envelope.incarnation, envelope.sent_ms, monotonic_ms()
        )
        for frame in envelope.frames:
            if age_ms is not None and age_ms <= frame.ttl_ms:
                self._handle_frame(envelope, frame)

    def _handle_frame(self, envelope: Envelope, frame: Frame) -> None:
        if frame.reply_to:
            pending = self._pending_requests.get(frame.reply_to)
            if pending is not None and not pending.done():
                pending.set_result(frame.message)
            return
        reply = self._handle(envelope.sender, envelope.incarnation, frame.message)
        if reply is not None and frame.request_id:
            self._enqueue(envelope.sender, Frame(reply, 0, frame.request_id, frame.ttl_ms))

    def _enqueue(self, box: str, frame: Frame) -> None:
        """Queue a frame; the outbox is sent and timestamped at the next callback."""
        outbox = self._outboxes.setdefault(box, [])
        if not outbox:
            asyncio.get_running_loop().call_soon(self._flush, box)
        outbox.append(frame)

    def _flush(self, box: str) -> None:
        frames = self._outboxes.pop(box)
        if self.is_alive:
            envelope = Envelope(self._box, self.incarnation, int(monotonic_ms()), frames)
            self._standing_world.carry_envelope(envelope, box)


class DetachedCalls(SimulatedCalls):
    """Calls of one box to endpoints; a sent order is carried out even if the box ends."""

    def __init__(self, world: PausableZonesWorld, box: str) -> None:
        super().__init__(world, box)
        self._standing_world = world
        self._context = world.context_of(box)

    async def start_run(self, endpoint: EndpointRecord, order: StartOrder) -> CallReply:
        """Start a run; the endpoint may refuse it."""
        name = endpoint.endpoint
        self._standing_world.record_start_order(self._box, name, order.run_id)

        def carry_out() -> CallReply:
            refusal = self._standing_world.trouble.refusing.get(name)
            if refusal is not None:
                return CallReply(refusal, self._standing_world.clock_of(name))
            return self._standing_world.start(name, order)

        return await self._call(endpoint, carry_out)

    async def poll(self, endpoint: EndpointRecord, order: PollOrder) -> PollReply:
        """Poll; wait up to the order's ``wait_ms`` for a run to end."""
        reply = self._standing_world.poll(self._context, self._box, endpoint.endpoint, order)
        timeout_s = CALL_TIMEOUT_S + order.wait_ms / 1_000
        result = await _reply_within(reply, timeout_s)
        return PollReply(CallOutcome.UNKNOWN) if result is None else result

    async def _call(
        self, endpoint: EndpointRecord, carry_out: Callable[[], CallReply]
    ) -> CallReply:
        # The request leaves one callback after the decision to send it.
        await asyncio.sleep(0)
        reply = self._standing_world.order(self._context, self._box, endpoint.endpoint, carry_out)
        result = await _reply_within(reply, CALL_TIMEOUT_S)
        return CallReply(CallOutcome.UNKNOWN) if result is None else result


async def _reply_within(reply: asyncio.Future[Any], timeout_s: float) -> Any:
    try:
        async with asyncio.timeout(timeout_s):
            return await reply
    except TimeoutError:
        return None


class PausableZonesWorld(ZonesWorld):
    """Zones of boxes that can be paused one by one.

    Args:
        seed: Seed of the random generator for all choices.
        loop: Event loop of the simulation.
    """

    def __init__(self, seed: int, loop: PausableLoop) -> None:
        self.turns = loop
        self.trouble = EndpointFaults()
        self.errors: list[str] = []
        self._contexts: dict[str, contextvars.Context] = {}
        self._open_calls: dict[str, list[asyncio.Future[JobResult | None]]] = {}
        self._outer_context = contextvars.Context()
        self._polls = TaskSet()
        loop.set_exception_handler(self._note_error)
        self._world_started_ms = monotonic_ms()
        super().__init__(seed, loop)

    # Boxes.

    def make_network(self, box: str, incarnation: int) -> SimulatedNetwork:
        """Return the network of a life of *box*."""
        return ExpiringNetwork(self, box, incarnation)

    def make_calls(self, box: str) -> SimulatedCalls:
        """Return the calls to endpoints of the current life of *box*."""
        return DetachedCalls(self, box)

    def start_box(self, box: str) -> None:
        """End the current life of *box* and start a new one."""
        self.kill_box(box)
        self._life_count += 1
        context = contextvars.Context()
        context.run(LIFE.set, f"{box}/{self._life_count}")
        self._contexts[box] = context
        self._open_calls[box] = []
        self.boxes[box] = context.run(
            SimulatedBox, self, box, self._zone_of[box], 100 + self._life_count
        )

    def context_of(self, box: str) -> contextvars.Context:
        """Return the context of the current life of *box*."""
        return self._contexts[box]

    def kill_box(self, box: str) -> None:
        """Kill *box*; its connections to callers break."""
        current = self.boxes.get(box)
        if current is None or not current.network.is_alive:
            return
        current.kill()
        self.turns.end_life(self._contexts[box][LIFE])
        for answer in self._open_calls[box]:
            _resolve(answer, None)

    def pause_box(self, box: str, after_callbacks: int, for_s: float, waking: Waking) -> None:
        """Pause *box* for *for_s* seconds after *after_callbacks* more of its callbacks."""
        self.turns.pause_life(self._contexts[box][LIFE], after_callbacks, for_s, waking)

    def is_paused(self, box: str) -> bool:
        """Return whether *box* is paused."""
        return self.turns.is_paused(self._contexts[box][LIFE])

    def catalog_age_ms(self, started_ms: float) -> float:
        """Return the age of the endpoint catalog of a box started at *started_ms*."""
        age_ms = monotonic_ms() - started_ms
        is_first_incarnation = started_ms <= self._world_started_ms
        return age_ms + CATALOG_AGE_MS if is_first_incarnation else age_ms

    def fence(self, box: str) -> None:
        """Notify the owner on *box* that an endpoint has seen a higher fencing token."""
        elector = self.boxes[box].elector
        self.turns.deliver(self._contexts[box], elector.note_fenced, "some-endpoint")

    def _note_error(self, _loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        self.errors.append(repr(context.get("exception", context["message"])))

    # Messages between boxes.

    def carry_envelope(self, envelope: Envelope, box: str) -> None:
        """Deliver an envelope; it may be delayed or lost."""
        sender = envelope.sender
        delay_ms = self._delay_ms(sender, box, float("inf"))
        if delay_ms is None:
            return

        def arrive() -> None:
            network = self._network(box)
            if (sender, box) in self.conditions.cuts or not network.is_alive:
                return
            context = self._contexts.get(box)
            if context is None:
                network.accept(envelope)
            else:
                self.turns.deliver(context, network.accept, envelope)

        self._call_later(delay_ms / 1_000, arrive)

    def _network(self, box: str) -> ExpiringNetwork:
        network = super()._network(box)
        assert isinstance(network, ExpiringNetwork)
        return network

    # Endpoints.

    def record_start_order(self, box: str, endpoint: str, run_id: RunId) -> None:
        """Record the boxes for which the owner on *box* orders this start."""
        owner = self.boxes[box].elector.owner
        run = None if owner is None else owner.state.current_run(run_id.task)
        if run is not None:
            waiting_boxes = self.wanted_by.setdefault((run_id, endpoint), set())
            waiting_boxes.update(holder.box for holder in run.holders)

    def clock_of(self, endpoint: str) -> int:
        """Return the time on the clock of *endpoint*."""
        return int(self.endpoints[endpoint].clock(monotonic_ms()))

    def order(
        self,
        context: contextvars.Context,
        box: str,
        endpoint: str,
        carry_out: Callable[[], CallReply],
    ) -> asyncio.Future[CallReply]:
        """Deliver an order from a life of *box*; the reply may never arrive."""
        reply: asyncio.Future[CallReply] = self.loop.create_future()
        if not self._can_receive(context, box, endpoint):
            return reply
        if self.rng.random() < self.conditions.late_orders:
            self._call_later(self.rng.uniform(0.0, LATE_ORDER_MAX_S), carry_out)
            return reply

        def arrive() -> None:
            answer = carry_out()
            if endpoint not in self.trouble.mute:
                self._deliver_reply(context, box, endpoint, reply, answer)

        self._call_later(self._network_delay_s(), arrive)
        return reply

    def poll(
        self, context: contextvars.Context, box: str, endpoint: str, order: PollOrder
    ) -> asyncio.Future[PollReply]:
        """Deliver a poll from a life of *box*; the reply may never arrive."""
        reply: asyncio.Future[PollReply] = self.loop.create_future()
        if self._can_receive(context, box, endpoint):
            serve = self._serve_poll(context, box, endpoint, order, reply)
            self._outer_context.run(self._polls.spawn, serve)
        return reply

    async def _serve_poll(
        self,
        context: contextvars.Context,
        box: str,
        endpoint: str,
        order: PollOrder,
        reply: asyncio.Future[PollReply],
    ) -> None:
        await asyncio.sleep(self._network_delay_s())
        simulated = self.endpoints[endpoint]
        end_ms = monotonic_ms() + order.wait_ms
        while True:
            result = simulated.look(
                order.token, order.last_sequence, order.until_ms, monotonic_ms()
            )
            if result.outcome is not CallOutcome.DONE or result.ended or monotonic_ms() >= end_ms:
                break
            await asyncio.sleep(_POLL_INTERVAL_S)
        born_ms = self.births.get(endpoint, 0)
        answer = PollReply(
            result.outcome, int(result.clock_ms), result.active, result.ended, born_ms=born_ms
        )
        if endpoint not in self.trouble.mute:
            self._deliver_reply(context, box, endpoint, reply, answer)

    def _deliver_reply(
        self,
        context: contextvars.Context,
        box: str,
        endpoint: str,
        reply: asyncio.Future[Any],
        answer: object,
    ) -> None:
        def arrive() -> None:
            if not self._is_cut(box, endpoint):
                self.turns.deliver(context, _resolve, reply, answer)

        self._call_later(self._network_delay_s(), arrive)

    def _can_receive(self, context: contextvars.Context, box: str, endpoint: str) -> bool:
        """Return whether *endpoint* receives what a life of *box* sends now."""
        has_ended = self._contexts[box] is not context or not self.boxes[box].network.is_alive
        return not (has_ended or self._is_cut(box, endpoint) or endpoint in self.trouble.deaf)

    def _network_delay_s(self) -> float:
        return self.rng.uniform(0.0003, 0.001)

    def _is_cut(self, box: str, endpoint: str) -> bool:
        return (box, endpoint) in self.conditions.cuts

    def _call_later(self, delay_s: float, callback: Callable[..., Any]) -> None:
        """Call *callback* after *delay_s*, unaffected by pauses of boxes."""
        self.loop.call_later(delay_s, callback, context=self._outer_context)

    # Callers.

    async def call(
        self, box: str, job_id: str, tasks: int, task_ms: float, leave_ms: float
    ) -> None:
        """Submit a job and record the answer; disconnect after *leave_ms* without one."""
        sent_ms = monotonic_ms()
        job, wait_max_ms = self.plan_job(job_id, tasks, task_ms)
        result = await self._submit(box, job, wait_max_ms, leave_ms)
        self.answers.append(Answer(job_id, result, sent_ms, monotonic_ms(), box))

    async def _submit(
        self, box: str, job: Job, wait_max_ms: float, leave_ms: float
    ) -> JobResult | None:
        current, context = self.boxes[box], self._contexts[box]
        if not current.network.is_alive:
            return None
        answer: asyncio.Future[JobResult | None] = self.loop.create_future()
        self._open_calls[box].append(answer)
        started_tasks: list[asyncio.Task[JobResult]] = []

        def submit() -> None:
            run = current.jobs.run(job, self.queue, monotonic_ms() + wait_max_ms)
            task = current.callers.spawn(run)
            task.add_done_callback(lambda ended: _resolve(answer, _result_of(ended)))
            started_tasks.append(task)

        def cancel() -> None:
            for task in started_tasks:
                task.cancel()

        self.turns.deliver(context, submit)
        done, _ = await asyncio.wait([answer], timeout=leave_ms / 1_000)
        if done:
            return answer.result()
        self.turns.deliver(context, cancel)
        return None


def _resolve(future: asyncio.Future[Any], value: object) -> None:
    if not future.done():
        future.set_result(value)


def _result_of(task: asyncio.Task[JobResult]) -> JobResult | None:
    return None if task.cancelled() else task.result()
