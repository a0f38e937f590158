# SPDX-License-Identifier: MIT
"""Jobs answered 504: their start was the first order to an endpoint that had fallen silent.

The task of an unanswered start waits for its endpoint, so a start must not be the first order that
meets the silence. Simulated zones.
"""

from __future__ import annotations

import asyncio

import pytest

from foldloom.seed_discovery.scheduling.endpoints import ZoneEndpoint
from models.settled_zones import NEVER_MS, SettledZonesWorld, run_in_settled_zones
from models.zones_world import ZONES
from test_owners_state import endpoint

_JOBS = 4
_TASK_MS = 200.0
# Until the job's caller must have its answer, two jobs at a time on the endpoint that is left.
_ANSWER_MAX_MS = 1_200.0
# From the silence to the submission; a poll is overdue after 80 to 280 ms.
_SILENT_S = [0.0, 0.02, 0.15]
# A quarter of a poll's wait.
_PHASE_S = 0.05


async def _submit_to_silent_endpoints(
    world: SettledZonesWorld, phase_s: float, silent_s: float, is_cut_one_way: bool
) -> None:
    """Silence all endpoints of a zone but one, and submit jobs there *silent_s* later.

    The silence begins *phase_s* later, while another part of a poll's wait is left. If
    *is_cut_one_way*, the answers to polls that were received before arrive.
    """
    await asyncio.sleep(phase_s)
    box = world.boxes_in(ZONES[0])[1]
    names = sorted(record.endpoint for record in world.records if record.zone == ZONES[0])
    world.trouble.deaf.update(names[1:])
    if not is_cut_one_way:
        world.trouble.mute.update(names[1:])
    await asyncio.sleep(silent_s)
    jobs = [f"{number:016x}" for number in range(_JOBS)]
    await asyncio.gather(*(world.call(box, job, 1, _TASK_MS, NEVER_MS) for job in jobs))


@pytest.mark.parametrize("is_cut_one_way", [False, True])
@pytest.mark.parametrize("are_births_known", [False, True])
@pytest.mark.parametrize("silent_s", _SILENT_S)
@pytest.mark.parametrize("seed", range(4))
class TestSilentEndpoint:
    """Jobs are submitted just after their endpoints fell silent; another endpoint is free."""

    def test_its_tasks_run_elsewhere(
        self, seed: int, silent_s: float, are_births_known: bool, is_cut_one_way: bool
    ) -> None:
        """No start is sent to a silent endpoint, with and without births."""
        world = run_in_settled_zones(
            SettledZonesWorld,
            seed,
            lambda world: _submit_to_silent_endpoints(
                world, seed * _PHASE_S, silent_s, is_cut_one_way
            ),
            are_births_known,
        )
        assert [answer.is_completed for answer in world.answers] == [True] * _JOBS
        assert max(answer.answered_ms - answer.sent_ms for answer in world.answers) < _ANSWER_MAX_MS


class TestUnresponsiveEndpoint:
    """An endpoint that did not answer a check in time gets no runs until it responds."""

    def test_poll_before_the_check(self) -> None:
        """The answer to a poll that was sent earlier proves nothing of orders sent since."""
        candidate = ZoneEndpoint(endpoint("w1"))
        candidate.has_current_report = True
        candidate.unresponsive_at_ms = 100.0
        candidate.note_polled(90.0)
        assert not candidate.is_eligible(200.0)
        candidate.note_polled(110.0)
        assert candidate.is_eligible(200.0)
