# SPDX-License-Identifier: MIT
"""One submission sent to several boxes at once, over slow links; simulated boxes.

Run by ``test_claims_contention.py`` in a separate process.
"""

from __future__ import annotations

import asyncio
import random

import pytest

from foldloom.clock import monotonic_ms
from foldloom.static_peers.claims.replicas import claim_replicas
from foldloom.static_peers.entry.coordinator import first_response
from foldloom.static_peers.entry.follow import Followed, FollowEnd
from foldloom.static_peers.entry.jobs import Response
from models.claims_world import BOXES, ClaimsWorld, run_claims

_DEADLINE_MS = 5_000
_SEEDS = range(20)
_ROUND_TRIP_MAX_MS = 5.0
# Time after the submission by which a box is silenced: about that of two attempts.
_SILENCED_AFTER_MAX_S = 0.2


def _submission_with_replicas(boxes: tuple[str, ...]) -> str:
    names = (f"split-{n}" for n in range(10_000))
    return next(
        name for name in names if claim_replicas(name, {box: box[0] for box in BOXES}) == boxes
    )


async def _submit_at_once(
    world: ClaimsWorld, boxes: tuple[str, ...], submission: str
) -> dict[str, tuple[int, float]]:
    """Return status and duration in milliseconds of the answer at each box."""

    async def submit(box: str) -> tuple[int, float]:
        began_ms = monotonic_ms()
        response = await world.submit(box, submission, _DEADLINE_MS)
        return response.status, monotonic_ms() - began_ms

    return dict(zip(boxes, await asyncio.gather(*map(submit, boxes)), strict=True))


def _play_at_once(
    seed: int,
    delay_ms: float,
    boxes: tuple[str, ...],
    submission: str,
    silent: str = "",
    silenced_after_s: float = 0.0,
) -> tuple[ClaimsWorld, dict[str, tuple[int, float]]]:
    """Submit a job to *boxes*, and to *silent*, which is silenced meanwhile; return the answers."""
    answers: dict[str, tuple[int, float]] = {}

    async def scenario(world: ClaimsWorld) -> None:
        if silent:
            lost = asyncio.create_task(world.submit(silent, submission, _DEADLINE_MS))
            asyncio.get_running_loop().call_later(silenced_after_s, world.silence, silent)
        answers.update(await _submit_at_once(world, boxes, submission))
        if silent:
            lost.cancel()

    return run_claims(seed, delay_ms, scenario), answers


@pytest.mark.parametrize("delay_ms", [0.0, 5.0, 10.0, 20.0, 40.0])
class TestSplitVotes:
    """Regression: the coordinators split the votes, and each gave up although no box was down."""

    @pytest.mark.parametrize("count", [2, 3, 6])
    def test_all_get_the_answer(self, delay_ms: float, count: int) -> None:
        """Every caller gets the complete answer, and the job runs once."""
        for seed in _SEEDS:
            submission = f"job-{seed}"
            world, answers = _play_at_once(seed, delay_ms, BOXES[:count], submission)
            assert [status for status, _ in answers.values()] == [200] * count
            assert world.starts == {submission: 1}

    def test_one_vote_each(self, delay_ms: float) -> None:
        """Each of three coordinators has its own box's vote before any request arrives."""
        submission = _submission_with_replicas(BOXES[:3])
        for seed in _SEEDS:
            world, answers = _play_at_once(seed, delay_ms, BOXES[:3], submission)
            assert [status for status, _ in answers.values()] == [200] * 3
            assert world.starts == {submission: 1}


@pytest.mark.parametrize("delay_ms", [1.0, 10.0, 40.0])
@pytest.mark.parametrize("count", [3, 6])
class TestSilentCoordinator:
    """One of the coordinators is killed or frozen while they claim."""

    def test_others_are_answered_in_time(self, delay_ms: float, count: int) -> None:
        """The others get an answer before the deadline, and the job runs at most once."""
        for seed in _SEEDS:
            rng = random.Random(seed)
            silent = rng.choice(BOXES[:count])
            silenced_after_s = rng.uniform(0.0, _SILENCED_AFTER_MAX_S)
            others = tuple(box for box in BOXES[:count] if box != silent)
            submission = f"job-{seed}"
            world, answers = _play_at_once(
                seed, delay_ms, others, submission, silent, silenced_after_s
            )
            assert {status for status, _ in answers.values()} <= {200, 503}
            assert max(took_ms for _, took_ms in answers.values()) < _DEADLINE_MS
            assert world.starts.get(submission, 0) <= 1


class TestDeadline:
    """A job that runs on another box for longer than a caller waits."""

    @pytest.mark.parametrize("is_cut", [False, True])
    def test_answered_at_the_deadline(self, is_cut: bool) -> None:
        """Regression: the box went on asking for up to 1.5 s after the deadline."""
        answers: list[tuple[int, float]] = []

        async def scenario(world: ClaimsWorld) -> None:
            world.run_s = 10.0
            first = asyncio.create_task(world.submit("a1", "job", 20_000))
            await asyncio.sleep(0.1)
            began_ms = monotonic_ms()
            following = asyncio.create_task(world.submit("b1", "job", 1_300))
            await asyncio.sleep(0.1)
            if is_cut:
                world.cut("a1", "b1")
            response = await following
            answers.append((response.status, monotonic_ms() - began_ms))
            first.cancel()

        run_claims(1, 1.0, scenario)
        [(status, took_ms)] = answers
        assert status in ((503, 504) if is_cut else (504,))
        assert took_ms < 1_300 + _ROUND_TRIP_MAX_MS


class TestConflictingCoordinators:
    """Answers of several coordinators whose claims conflict."""

    @pytest.mark.parametrize("is_release_enough", [False, True])
    def test_response_before_problem(self, is_release_enough: bool) -> None:
        """A coordinator that responds counts, although another one can't be reached."""
        problem = Followed(FollowEnd.NO_RESPONSE, Response(503, b""))
        answer = Followed(FollowEnd.RESPONSE, Response(200, b""))
        assert _first_of([(0.0, problem), (0.01, answer)], is_release_enough) == answer.response

    def test_problem_without_a_response(self) -> None:
        """A release does not show that the unreachable coordinator has not run the job."""
        problem = Followed(FollowEnd.NO_RESPONSE, Response(503, b""))
        released = Followed(FollowEnd.RELEASED, None)
        assert _first_of([(0.0, released), (0.01, problem)], False) == problem.response

    def test_release(self) -> None:
        """The coordinator that should win requests the votes again after the first release."""
        released = Followed(FollowEnd.RELEASED, None)
        problem = Followed(FollowEnd.NO_RESPONSE, Response(503, b""))
        assert _first_of([(0.0, released), (0.01, problem)], True) is None


def _first_of(ends: list[tuple[float, Followed]], is_release_enough: bool) -> Response | None:
    async def end(after_s: float, followed: Followed) -> Followed:
        await asyncio.sleep(after_s)
        return followed

    async def follow() -> Response | None:
        follows = [asyncio.create_task(end(*one)) for one in ends]
        return await first_response(follows, is_release_enough)

    return asyncio.run(follow())
