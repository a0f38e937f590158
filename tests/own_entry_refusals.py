# SPDX-License-Identifier: MIT
"""A refusal must not be returned for a job that may have run on another box."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from foldloom.clock import monotonic_ms
from foldloom.metrics import Metrics
from foldloom.settings import HttpSettings, Settings
from foldloom.static_peers.claims.messages import Claim, Lookup, LookupReply
from foldloom.static_peers.claims.replicas import ReplicaSets
from foldloom.static_peers.entry.follow import Followed, FollowEnd, JobFollower
from foldloom.static_peers.entry.http import HttpServer
from foldloom.static_peers.entry.jobs import (
    Job,
    JobState,
    JobTable,
    Response,
    complete_response,
    problem_response,
)
from foldloom.static_peers.entry.lookup import JobLookup
from foldloom.verdicts import Run, not_run

_DIGEST = "ab" * 16
_INCARNATION = 7
_FOLLOW_TIMEOUT_MS = 300.0
_SETTLE_S = 0.02
_REFUSAL = problem_response("s", "a", not_run("too-late"))
_COMPLETE = complete_response("s", "b", [{"echo": 1}])
_REPLICAS = ReplicaSets(0, (("a1", "b1", "c1"),))


class _LocalNetworks:
    """Networks of boxes in one process, with immediate delivery."""

    def __init__(self) -> None:
        self.handlers: dict[tuple[str, type], Callable[[str, Any], Any]] = {}

    def network_of(self, box: str) -> Any:
        """Return the network of *box*."""
        return _Network(self, box)


class _Network:
    incarnation = _INCARNATION

    def __init__(self, networks: _LocalNetworks, own: str) -> None:
        self._networks = networks
        self._own = own

    def on(self, message_type: type, handler: Callable[[str, Any], Any]) -> None:
        """Register a handler."""
        self._networks.handlers[self._own, message_type] = handler

    def known_incarnation(self, _box: str) -> int:
        """Return the same incarnation for every box."""
        return _INCARNATION

    async def request(self, box: str, message: object, _timeout_ms: float) -> Any:
        """Return the reply of *box*."""
        reply = self._networks.handlers[box, type(message)](self._own, message)
        return await reply if asyncio.iscoroutine(reply) else reply


class _Membership:
    """Membership in which all boxes are live and none has stopped."""

    def successor_of(self, _box: str, _incarnation: int) -> str:
        """Return no successor."""
        return ""

    def is_live(self, _box: str) -> bool:
        """Return true."""
        return True


def _settings(box: str, **fields: Any) -> Settings:
    http = HttpSettings(host="127.0.0.1", port=1)
    return Settings(
        box=box, zone=box[0], roles=["entry"], http=http, listen="127.0.0.1:2", **fields
    )


class _Box:
    """The job table, follower and lookup of a box, without endpoints."""

    def __init__(self, networks: _LocalNetworks, name: str) -> None:
        self.jobs = JobTable(60_000, 100, 100_000, Metrics())
        self.network = networks.network_of(name)
        membership: Any = _Membership()
        settings = _settings(name)
        self.follower = JobFollower(settings, self.network, membership, self.jobs)
        claims: Any = _Claims()
        self.lookup = JobLookup(settings, self.network, claims, self.follower, self.jobs)

    def run(self) -> Job:
        """Start the submission as a running job."""
        job = self.jobs.start("s", _DIGEST)
        self.jobs.run(job)
        return job

    def finish_job(self, job: Job, state: JobState, response: Response) -> None:
        """Finish a job."""
        self.jobs.finish(job, state, response)

    def hold_claims(self, *holders: Claim) -> None:
        """Reply to lookups with *holders*, as a claim replica that can vote."""
        self.network.on(Lookup, lambda _sender, _message: LookupReply(True, list(holders)))


class _Claims:
    def replicas_of(self, _submission: str) -> ReplicaSets:
        """Return the same replicas for every submission."""
        return _REPLICAS


def _claim(box: str) -> Claim:
    return Claim(_DIGEST, box, _INCARNATION, 1)


async def _follow(box: _Box, holder: str) -> Followed:
    deadline_ms = monotonic_ms() + _FOLLOW_TIMEOUT_MS
    return await box.follower.follow("s", _DIGEST, _claim(holder), deadline_ms)


def _three_boxes() -> tuple[_Box, _Box, _Box]:
    networks = _LocalNetworks()
    a1, b1, c1 = (_Box(networks, name) for name in ("a1", "b1", "c1"))
    for box in (a1, b1, c1):
        box.hold_claims()
    return a1, b1, c1


class TestFollowing:
    """Following a job that another box refuses."""

    def test_earlier_refusal(self) -> None:
        """An earlier refusal ends as released: another box may have run the job since."""

        async def scenario() -> None:
            a1, _, c1 = _three_boxes()
            a1.finish_job(a1.run(), JobState.WITHDRAWN, _REFUSAL)
            assert (await _follow(c1, "a1")).end is FollowEnd.RELEASED

        asyncio.run(scenario())

    def test_refusal_during_following(self) -> None:
        """A refusal during following ends as released too."""

        async def scenario() -> None:
            a1, _, c1 = _three_boxes()
            job = a1.run()
            following = asyncio.create_task(_follow(c1, "a1"))
            await asyncio.sleep(_SETTLE_S)
            a1.finish_job(job, JobState.WITHDRAWN, _REFUSAL)
            assert (await following).end is FollowEnd.RELEASED

        asyncio.run(scenario())


class TestLookup:
    """Looking up a job after a refusal."""

    @pytest.mark.parametrize("asked", ["a1", "c1"])
    def test_a_job_that_was_refused_and_then_ran(self, asked: str) -> None:
        """The response is found on every box, even while a withdrawn claim is still held."""

        async def scenario() -> None:
            a1, b1, c1 = _three_boxes()
            a1.finish_job(a1.run(), JobState.WITHDRAWN, _REFUSAL)
            b1.finish_job(b1.run(), JobState.DONE, _COMPLETE)
            a1.hold_claims(_claim("a1"))
            b1.hold_claims(_claim("b1"))
            c1.hold_claims(_claim("b1"))
            box = {"a1": a1, "c1": c1}[asked]
            assert await box.lookup.look_up("s") == _COMPLETE

        asyncio.run(scenario())

    def test_a_job_that_was_refused(self) -> None:
        """The box that refused the job returns the refusal if no claim is held."""

        async def scenario() -> None:
            a1, _, _ = _three_boxes()
            a1.finish_job(a1.run(), JobState.WITHDRAWN, _REFUSAL)
            assert await a1.lookup.look_up("s") == _REFUSAL

        asyncio.run(scenario())


class _Request:
    """A request whose body never arrives completely."""

    match_info = {"submission": "s"}

    async def read(self) -> bytes:
        """Wait forever."""
        await asyncio.Event().wait()
        return b""


class TestUnreadBody:
    """A job that this box could not read may have run on another box."""

    @pytest.mark.parametrize("has_entry", [True, False])
    def test_may_have_run(self, has_entry: bool) -> None:
        """A body timeout, or a box without the entry role, is reported as "may have run"."""

        async def scenario() -> None:
            http = HttpSettings(host="127.0.0.1", port=1, body_timeout_ms=1)
            settings = msgspec.structs.replace(_settings("a1"), http=http)
            coordinator: Any = object() if has_entry else None
            server = HttpServer(
                settings, coordinator, None, lambda: True, Metrics(), lambda _app: None
            )
            request: Any = _Request()
            answers = [await server._put_job(request)]
            if not has_entry:
                answers.append(await server._get_job(request))
            for answer in answers:
                assert isinstance(answer.body, bytes)
                assert msgspec.json.decode(answer.body)["run"] == Run.MAY_HAVE_RUN

        asyncio.run(scenario())
