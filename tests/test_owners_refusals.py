# SPDX-License-Identifier: MIT
"""A refusal promises that nothing of the job ran: over the real client, elector and owners.

The incident that this keeps: a job of two tasks was refused 2.5 s after it came, although one of
them had run to its end 0.7 s after it came, ordered by the very box that answered. That box owned
its zone, and its rights had lapsed meanwhile, since it stood still or was late; it dropped what it
ran and took the same runs in again as new ones, of which nothing had started. They waited until
they were too late, and each ended with the word that it had never started.

That was proved by these seeds on the code of that day: 15 of the first 20 broke the promise, and
the logs show the steps (``session.ended``, ``runs.resumed``, ``run.ended`` of a second attempt).
The cause is a verdict that went by the absence of a note: each memory of a start that was bound to
a run, a delivery, a term or a span of time was one more way to lose it.
"""

from __future__ import annotations

import asyncio
import hashlib
import os
import random
import subprocess
import sys
from collections import Counter
from pathlib import Path
from typing import NamedTuple

import pytest

from foldloom.seed_discovery.endpoints.calls import CallOutcome
from models.standing_boxes import StandingZonesWorld
from models.virtual_time import TurnsLoop, VirtualTimeLoop, Waking, run_in_virtual_time
from models.zones_faults import (
    Trouble,
    play_through,
    usual_caller,
)
from models.zones_world import Answer, Start, ZonesWorld

# How long a box stands still by itself, in seconds: around what a right lasts, and so long that all
# that others keep of its jobs is forgotten.
_PAUSE_S = ((0.2, 1.6), (1.6, 6.0))
# Turns of a box after which it stands still, so that it does so also between two turns of one
# moment.
_TURNS_MAX = 30
# Reads of boxes' clocks after which everything stands still within a turn.
_READS_MAX = 2_000
# How long after its start a site that was started anew is started anew again, in seconds.
_RESTART_GAP_S = (0.4, 2.0)
# How long a box takes to start, in seconds.
_STARTUP_S = (0.2, 0.8)
# Tries of a caller under one id, and the seconds between two of them.
_ATTEMPTS_MAX = 4
_RETRY_DELAY_S = (0.3, 2.0)


class PauseFaults(Trouble):
    """Faults of single boxes, of the whole site at once, and of endpoints, besides the others."""

    def __init__(self, world: StandingZonesWorld) -> None:
        super().__init__(world)
        self._standing = world
        own = [
            self._pause_box,
            self._pause_owner,
            self._pause_within_turn,
            self._restart_site,
            self._refuse_starts,
            self._silence_endpoint,
        ]
        # A box that stands still is what most of the other faults must meet.
        self.kinds += [*own, *own, self._pause_box, self._pause_owner]

    def _restart(self) -> None:
        self._restart_box(self._any_box())

    def _restart_box(self, box: str) -> None:
        self._standing.kill_box(box)
        pause_s = self._standing.rng.uniform(*_STARTUP_S)
        self._standing.loop.call_later(pause_s, self._standing.start_box, box)

    def _restart_site(self) -> None:
        """Start all boxes anew at once, and once more before long."""
        again_s = self._standing.rng.uniform(*_RESTART_GAP_S)
        for delay_s in (0.0, _STARTUP_S[1] + again_s):
            self._standing.loop.call_later(delay_s, self._restart_all)

    def _restart_all(self) -> None:
        for box in self._standing.boxes:
            self._restart_box(box)

    def _fence(self) -> None:
        owners = self._owners()
        if owners:
            self._standing.fence(self._standing.rng.choice(owners))

    def _owners(self) -> list[str]:
        return [name for name, box in self._standing.boxes.items() if box.elector.owner is not None]

    def _pause_owner(self) -> None:
        self._pause(self._standing.rng.choice(self._owners() or [self._any_box()]))

    def _pause_box(self) -> None:
        self._pause(self._any_box())

    def _pause(self, box: str) -> None:
        rng = self._standing.rng
        for_s = rng.uniform(*rng.choice(_PAUSE_S))
        waking = rng.choice(list(Waking))
        self._standing.stop_box(box, rng.randint(0, _TURNS_MAX), for_s, waking)

    def _pause_within_turn(self) -> None:
        rng = self._standing.rng
        self._standing.turns.stand_still_at_read(rng.randint(1, _READS_MAX), rng.uniform(0.2, 3.0))

    def _refuse_starts(self) -> None:
        """Have some endpoints refuse starts: for want of room, by rate, or as unhealthy."""
        rng = self._standing.rng
        refusing = self._standing.trouble.refusing
        for endpoint in rng.sample(sorted(self._standing.endpoints), rng.randint(1, 4)):
            refusing[endpoint] = rng.choice([CallOutcome.NO_ROOM, CallOutcome.REFUSED])
        self.later(refusing.clear)

    def _silence_endpoint(self) -> None:
        """Have an endpoint hear nothing, or answer nothing that it carries out."""
        rng = self._standing.rng
        trouble = self._standing.trouble
        silent = rng.choice([trouble.deaf, trouble.mute])
        silent.add(rng.choice(sorted(self._standing.endpoints)))
        self.later(silent.clear)


async def _retrying_caller(world: ZonesWorld, job_id: str) -> None:
    """Hand one job in, most often with several tries under its id."""
    rng = world.rng
    tasks = rng.choice([1, 2, 2, 4, 8])
    task_ms = rng.choice([60.0, 100.0, 200.0, 400.0])
    boxes = rng.sample(sorted(world.boxes), len(world.boxes))

    async def attempt_at(box: str) -> bool:
        """Return whether the caller need not try again."""
        known = len(world.answers)
        await world.call(box, job_id, tasks, task_ms, 1e5)
        answer = next(one for one in world.answers[known:] if one.job_id == job_id)
        return answer.result is not None and not answer.is_refused

    pattern = rng.choice(["once", "at once", "beside", "in turn", "in turn"])
    if pattern == "once":
        await attempt_at(boxes[0])
    elif pattern in ("at once", "beside"):
        first = asyncio.create_task(attempt_at(boxes[0]))
        if pattern == "beside":
            await asyncio.sleep(rng.uniform(*_RETRY_DELAY_S))
        await attempt_at(boxes[1])
        await first
    else:
        for box in boxes[:_ATTEMPTS_MAX]:
            if await attempt_at(box):
                break
            await asyncio.sleep(rng.uniform(*_RETRY_DELAY_S))


def _play(seed: int) -> ZonesWorld:
    loop = VirtualTimeLoop()
    # Tokens have random digits, and decide which of two owners yields.
    random.seed(seed)

    async def play() -> ZonesWorld:
        world = ZonesWorld(seed, loop)
        await play_through(world, Trouble, usual_caller)
        return world

    world: ZonesWorld = run_in_virtual_time(play(), loop)
    return world


def _play_standing(seed: int) -> StandingZonesWorld:
    loop = TurnsLoop(random.Random(f"turns {seed}"))
    random.seed(seed)

    async def play() -> StandingZonesWorld:
        world = StandingZonesWorld(seed, loop)
        await play_through(world, PauseFaults, _retrying_caller)
        return world

    world: StandingZonesWorld = run_in_virtual_time(play(), loop)
    return world


def broken_promises(world: ZonesWorld) -> list[Answer]:
    """Return refusals of jobs whose every try was refused, and that started all the same."""
    not_refused = {one.job_id for one in world.answers if not one.is_refused}
    return [
        one
        for one in world.answers
        if one.is_refused and one.job_id not in not_refused and one.job_id in world.starts
    ]


def started_during_refused_attempt(world: ZonesWorld) -> list[Answer]:
    """Return refusals of tries during which a task of their job was started by any try of it."""
    return [
        one
        for one in world.answers
        if one.is_refused
        and any(
            one.sent_ms <= start.at_ms <= one.answered_ms
            for start in world.starts.get(one.job_id, [])
        )
    ]


def started_for_refusing_box(world: ZonesWorld) -> list[Answer]:
    """Return refusals by a box of jobs of which a task was started for that very box.

    Known of zones only in which no caller hands a job in twice at one box.
    """
    return [
        one
        for one in world.answers
        if one.is_refused
        and any(
            one.box in world.wanted_by.get((start.run_id, start.endpoint), ())
            for start in world.starts.get(one.job_id, [])
        )
    ]


def doubled_without_retry(world: ZonesWorld) -> list[Start]:
    """Return starts of tasks that were on another endpoint already, of jobs with a single try.

    Owners of two zones know nothing of each other's runs of one id, so a job that is handed in
    at two boxes may run twice.
    """
    tries = Counter(one.job_id for one in world.answers)
    return [one for one in world.doubled if tries[one.run_id.task.job_id] == 1]


class Counts(NamedTuple):
    """What a play cost and what it broke.

    Args:
        answers: How many tries were answered, or lost.
        completed: How many were answered with a job that ran to its end.
        refused: How many were answered with the promise that nothing ran.
        may_have_run: How many were told that something may have run.
        needless: How many of these are of jobs of which nothing ever started.
        broken: Refused jobs that had started.
        own: Refused tries of which the answering box had a task started.
        beside: Refused tries during which a task of their job was started, by whichever try.
        doubled: Tasks of jobs that were handed in once, on two endpoints at a time.
    """

    answers: int
    completed: int
    refused: int
    may_have_run: int
    needless: int
    broken: int
    own: int
    beside: int
    doubled: int


def counts_of(world: ZonesWorld) -> Counts:
    """Return the counts of a play."""
    uncertain = [one for one in world.answers if one.may_have_run]
    return Counts(
        answers=len(world.answers),
        completed=sum(one.is_completed for one in world.answers),
        refused=sum(one.is_refused for one in world.answers),
        may_have_run=len(uncertain),
        needless=sum(one.job_id not in world.starts for one in uncertain),
        broken=len(broken_promises(world)),
        own=len(started_for_refusing_box(world)),
        beside=len(started_during_refused_attempt(world)),
        doubled=len(doubled_without_retry(world)),
    )


def digest_of(world: ZonesWorld) -> str:
    """Return a digest of every answer and every start of a play."""
    return hashlib.sha256(repr((world.answers, world.starts)).encode()).hexdigest()


def _append_counts(name: str, seed: int, world: ZonesWorld) -> None:
    """Add the counts of a play to the file that ``FOLDLOOM_SUMMARY`` names, if it does."""
    path = os.environ.get("FOLDLOOM_SUMMARY")
    if path:
        counts = " ".join(f"{key}={value}" for key, value in counts_of(world)._asdict().items())
        with Path(path).open("a") as file:
            file.write(f"{name} seed={seed} {counts}\n")


_FIRST_SEED = int(os.environ.get("FOLDLOOM_FIRST_SEED", "0"))
_SEEDS = int(os.environ.get("FOLDLOOM_SEEDS", "16"))
# 65: a run that had been lost with its owner was still sent to it when it was back, while its next
# attempt ran in the other zone. 172: the box stood still; at one moment it found that its owner's
# rights had lapsed and that the job's deadline had passed, and the verdict fell between the two.
_KEPT_SEEDS = [65, 172]
# 16: the second of these once more, in a box that stood still already as everything did. 256: a box
# stood still for 5 s, heard a waiting heartbeat of its owner before it noticed that the grant had
# lapsed, and believed that owner, which had forgotten the start meanwhile.
_KEPT_STANDING_SEEDS = [16, 256]


@pytest.mark.parametrize("seed", [*_KEPT_SEEDS, *range(_FIRST_SEED, _FIRST_SEED + _SEEDS)])
class TestRefusals:
    """Boxes are cut off, restarted, stopped for a while, fenced; messages and orders are late."""

    def test_the_promises_hold(self, seed: int) -> None:
        """Nothing of a refused job starts, before or after; no task is on two endpoints."""
        world = _play(seed)
        _append_counts("refusals", seed, world)
        assert broken_promises(world) == []
        assert world.doubled == []


@pytest.mark.parametrize("seed", [*_KEPT_STANDING_SEEDS, *range(_FIRST_SEED, _FIRST_SEED + _SEEDS)])
class TestRefusalsOfStandingBoxes:
    """Single boxes stand still, the whole site starts anew, callers try at several boxes."""

    def test_the_promises_hold(self, seed: int) -> None:
        """Nothing of a job starts whose every try was refused; no task is on two endpoints."""
        world = _play_standing(seed)
        _append_counts("standing", seed, world)
        assert broken_promises(world) == []
        assert started_for_refusing_box(world) == []
        assert doubled_without_retry(world) == []
        assert world.errors == []


_PLAY_AND_PRINT = """
import sys
import test_owners_refusals as refusals
for play in (refusals._play, refusals._play_standing):
    print(refusals.digest_of(play(int(sys.argv[1]))))
"""


class TestRepeating:
    """A seed is a test only if it plays the same in every process."""

    def test_a_seed_repeats(self) -> None:
        """Names that hash otherwise change no answer and no start."""
        processes = [_begin_play(65, hash_seed) for hash_seed in ("1", "2")]
        digests = [process.communicate(timeout=120)[0] for process in processes]
        assert [process.returncode for process in processes] == [0, 0]
        assert digests[0] == digests[1]


def _begin_play(seed: int, hash_seed: str) -> subprocess.Popen[str]:
    """Play *seed* in a process of its own in which names hash by *hash_seed*."""
    paths = [str(Path(__file__).parent), *filter(None, [os.environ.get("PYTHONPATH")])]
    environment = {**os.environ, "PYTHONHASHSEED": hash_seed, "PYTHONPATH": os.pathsep.join(paths)}
    return subprocess.Popen(
        [sys.executable, "-c", _PLAY_AND_PRINT, str(seed)],
        env=environment,
        stdout=subprocess.PIPE,
        text=True,
    )
