# SPDX-License-Identifier: MIT
"""A box that pauses twice in quick succession must not refuse a job that has run."""

from __future__ import annotations

import asyncio
import random
from typing import NamedTuple

import pytest

from models.standing_boxes import PausableZonesWorld
from models.virtual_time import LIFE, PausableLoop, Waking, run_in_virtual_time
from models.zones_world import ZONES
from test_owners_renewed_session import EndlessEndpoint

_JOB = "c" * 16
_SEED = 1
_SETTLE_S = 1.0
_TASK_MS = 1_600.0
_CALLER_TIMEOUT_S = 2.8
# Time of the first pause before the job's deadline.
_BEFORE_DEADLINE_S = 0.02
# Shorter than a grant.
_PAUSE_S = 1.04
_CLOCK_RATE = 0.98
# Event-loop iterations between the two pauses.
_TURNS = range(8, 24)
_NEVER_MS = 1e5


class DoublePauseLoop(PausableLoop):
    """Event loop that pauses an incarnation again some iterations after its first pause."""

    def __init__(self, turns: int) -> None:
        super().__init__(random.Random(_SEED))
        self._turns = turns
        self._is_first = True

    def _resume(self, life: str, waking: Waking) -> None:
        super()._resume(life, waking)
        if self._is_first:
            self._is_first = False
            self.pause_life(life, self._turns, _PAUSE_S, waking)


class Outcome(NamedTuple):
    """Whether the job was refused, and whether a task had started."""

    is_refused: bool
    has_started: bool


def _play(turns: int, waking: Waking) -> Outcome:
    loop = DoublePauseLoop(turns)
    random.seed(_SEED)

    async def play() -> Outcome:
        world = PausableZonesWorld(_SEED, loop)
        await asyncio.sleep(_SETTLE_S)
        world.endpoints.update(
            {name: EndlessEndpoint(name, _CLOCK_RATE) for name in world.endpoints}
        )
        box = next(
            name
            for name, candidate in world.boxes.items()
            if candidate.zone == ZONES[0] and candidate.elector.owner is None
        )
        call = asyncio.create_task(world.call(box, _JOB, 1, _TASK_MS, leave_ms=_NEVER_MS))
        await asyncio.sleep(_CALLER_TIMEOUT_S - _BEFORE_DEADLINE_S)
        # No end is ever listed: the endpoints are unreachable.
        world.conditions.cuts |= {(one, name) for one in world.boxes for name in world.endpoints}
        loop.pause_life(world.context_of(box)[LIFE], 0, _PAUSE_S, waking)
        await call
        (answer,) = world.answers
        return Outcome(answer.is_refused, _JOB in world.starts)

    outcome: Outcome = run_in_virtual_time(play(), loop)
    return outcome


class TestTwoPauses:
    """The grant stays unbroken, since a heartbeat is handled between the two pauses."""

    @pytest.mark.parametrize("waking", list(Waking))
    def test_nothing_that_ran_is_refused(self, waking: Waking) -> None:
        """A started job is not refused, whichever iteration the second pause begins at."""
        outcomes = {turns: _play(turns, waking) for turns in _TURNS}
        assert all(outcome.has_started for outcome in outcomes.values())
        assert [turns for turns, outcome in outcomes.items() if outcome.is_refused] == []
