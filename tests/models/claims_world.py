# SPDX-License-Identifier: MIT
"""Boxes with the real claim service, coordinator and follower, on a simulated clock.

Only the links between boxes and the execution of a job are simulated. Every message is delayed;
boxes can be killed or cut off.
"""

from __future__ import annotations

import asyncio
import inspect
import random
from collections.abc import Callable
from typing import Any
from unittest.mock import patch

import msgspec
from expression import Ok, Result

from foldloom.clock import monotonic_ms
from foldloom.controllers.config import BoxList
from foldloom.exceptions import PeerUnreachableError
from foldloom.metrics import Metrics
from foldloom.settings import HttpSettings, Settings, TimingSettings
from foldloom.static_peers.claims.acquire import ClaimAcquirer
from foldloom.static_peers.claims.recovery import Recovery
from foldloom.static_peers.claims.service import ClaimService
from foldloom.static_peers.claims.table import ClaimTable
from foldloom.static_peers.entry.coordinator import Coordinator
from foldloom.static_peers.entry.follow import JobFollower
from foldloom.static_peers.entry.jobs import JobTable, Response
from foldloom.static_peers.entry.requests import JobRequest
from models.virtual_time import VirtualTimeLoop, run_in_virtual_time

BOXES = ("a1", "b1", "c1", "a2", "b2", "c2")
_BOX_LIST: BoxList = {"epoch": 1, "current": {box: box[0] for box in BOXES}, "next": None}
_RETENTION_MS = 60_000
# Share of a message's delay that varies.
_JITTER = 0.3


class ClaimsNetwork:
    """The network of one box."""

    def __init__(self, world: ClaimsWorld, box: str) -> None:
        self.incarnation = 1
        self._world = world
        self._box = box
        self._handlers: dict[type, Callable[[str, Any], Any]] = {}

    def on(self, kind: type, handler: Callable[[str, Any], Any]) -> None:
        """Register the handler of a message class."""
        self._handlers[kind] = handler

    def known_incarnation(self, _box: str) -> int:
        """Return the incarnation of a box; none restarts."""
        return 1

    def zone_of(self, box: str) -> str:
        """Return the zone of *box*."""
        return box[0]

    def send(self, box: str, message: Any, ttl_ms: float = 1_000) -> None:
        """Send a message that needs no reply."""
        self._world.carry(self._box, box, message, None)

    async def request(self, box: str, message: Any, timeout_ms: float) -> Any:
        """Send a message and return its reply."""
        reply: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._world.carry(self._box, box, message, reply)
        try:
            async with asyncio.timeout(timeout_ms / 1_000):
                return await reply
        except TimeoutError:
            raise PeerUnreachableError(box) from None

    async def handle(self, sender: str, message: Any) -> Any:
        """Return the reply to a message."""
        reply = self._handlers[type(message)](sender, message)
        return await reply if inspect.isawaitable(reply) else reply


class _Membership:
    """Liveness of the boxes as seen by one of them; a silent box is noticed after some time."""

    def __init__(self, world: ClaimsWorld, box: str) -> None:
        self._world = world
        self._box = box

    def is_live(self, box: str) -> bool:
        return monotonic_ms() < self._world.noticed_ms(self._box, box)

    def successor_of(self, _box: str, _incarnation: int) -> str:
        return ""


class _Run:
    """A job run that takes the world's ``run_s``."""

    max_service_ms = 0.0

    def __init__(self, context: ClaimsWorld, submission: str, _request: Any, _end: float) -> None:
        self._world = context
        self._submission = submission

    async def execute(self) -> Result[list[Any], Any]:
        self._world.starts[self._submission] = self._world.starts.get(self._submission, 0) + 1
        await asyncio.sleep(self._world.run_s)
        return Ok([self._submission])


class ClaimsWorld:
    """Six boxes in three zones.

    Args:
        seed: Seed of the random generator for the delays.
        delay_ms: Longest delay of a message between two boxes.
    """

    def __init__(self, seed: int, delay_ms: float) -> None:
        self.starts: dict[str, int] = {}
        self.run_s = 0.05
        self.metrics = Metrics()
        self._rng = random.Random(seed)
        self._delay_ms = delay_ms
        self._silent_since_ms: dict[tuple[str, str], float] = {}
        self._networks: dict[str, ClaimsNetwork] = {}
        self._coordinators: dict[str, Coordinator] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        for box in BOXES:
            self._add_box(box)

    async def submit(self, box: str, submission: str, deadline_ms: int) -> Response:
        """Submit a job to *box* and return the response."""
        request = JobRequest("svc", "", True, deadline_ms, [msgspec.Raw(b"1")], "ab" * 16)
        return await self._coordinators[box].submit(submission, request)

    def silence(self, box: str) -> None:
        """Kill or freeze *box*: no further message from or to it is delivered."""
        for other in BOXES:
            self.cut(box, other)

    def cut(self, one: str, other: str) -> None:
        """Cut the link between two boxes, in both directions."""
        for link in ((one, other), (other, one)):
            self._silent_since_ms.setdefault(link, monotonic_ms())

    def noticed_ms(self, box: str, other: str) -> float:
        """Return from when on *box* counts *other* as unreachable."""
        since_ms = self._silent_since_ms.get((other, box), float("inf"))
        return since_ms + TimingSettings().peer_silent_ms

    def carry(self, sender: str, box: str, message: Any, reply: asyncio.Future[Any] | None) -> None:
        """Deliver a message and send its reply, unless the link is cut by then."""

        async def arrive() -> None:
            await self._travel(sender, box)
            if (sender, box) in self._silent_since_ms:
                return
            answer = await self._networks[box].handle(sender, message)
            await self._travel(box, sender)
            if (
                reply is not None
                and not reply.done()
                and (box, sender) not in self._silent_since_ms
            ):
                reply.set_result(answer)

        task = asyncio.get_running_loop().create_task(arrive())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _travel(self, sender: str, box: str) -> None:
        if sender == box:
            return
        share = 1.0 - self._rng.uniform(0.0, _JITTER)
        await asyncio.sleep(max(self._delay_ms, 0.2) * share / 1_000)

    def _add_box(self, box: str) -> None:
        http = HttpSettings(host="127.0.0.1", port=1)
        settings = Settings(box=box, zone=box[0], roles=["entry"], http=http, listen="127.0.0.1:1")
        network: Any = ClaimsNetwork(self, box)
        client: Any = None
        membership: Any = _Membership(self, box)
        context: Any = self
        table = ClaimTable(_RETENTION_MS, 1_000)
        recovery = Recovery(box, network, client, table, lambda: _BOX_LIST, _RETENTION_MS)
        recovery._is_whole = True
        service = ClaimService(box, network, table, recovery, lambda: _BOX_LIST, Metrics())
        jobs = JobTable(_RETENTION_MS, 1_000, 10**6, Metrics())
        follower = JobFollower(settings, network, membership, jobs)
        acquirer = ClaimAcquirer(settings, network, service)
        self._networks[box] = network
        self._coordinators[box] = Coordinator(
            settings, acquirer, follower, jobs, context, lambda: False
        )


def run_claims(seed: int, delay_ms: float, scenario: Callable[[ClaimsWorld], Any]) -> ClaimsWorld:
    """Play *scenario* and return its world."""
    loop = VirtualTimeLoop()
    random.seed(seed)

    async def play() -> ClaimsWorld:
        world = ClaimsWorld(seed, delay_ms)
        await scenario(world)
        return world

    with patch("foldloom.static_peers.entry.coordinator.JobRun", _Run):
        world: ClaimsWorld = run_in_virtual_time(play(), loop)
    return world
