# SPDX-License-Identifier: MIT
"""Guards against overcommitted endpoints after their capacity changes at run time."""

from __future__ import annotations

import asyncio
import itertools
import time
from pathlib import Path
from typing import Any

import msgspec
import pytest

from foldloom.seed_discovery.endpoints.calls import EndpointReport
from foldloom.seed_discovery.jobs.spec import Demand, Placement
from foldloom.seed_discovery.owners.messages import SubmitStatus
from foldloom.seed_discovery.owners.state import OwnerState
from foldloom.seed_discovery.scheduling.runs import HolderId
from platform_system import PlatformSystem, play, steps
from standins.run_endpoint import CAPACITY, SHRUNK_KNOWN_S
from test_owners_state import endpoint, owner_with, submission

_E1 = HolderId("e1", 1)
_TASK_MILLI = 2_000
_SMALL_MILLI = 5_000
_CALLERS = 8
# Duration of the load after each change.
_BUSY_S = SHRUNK_KNOWN_S + 1.5


def _body(tasks: int) -> dict[str, Any]:
    body = steps(tasks, ms=80, estimate_ms=500, cpu_milli=_TASK_MILLI)
    body["spec"] = msgspec.json.encode({"ms": 80, "cpu": _TASK_MILLI}).decode()
    return body


async def _sustain_load(
    system: PlatformSystem, numbers: itertools.count[int], until_s: float
) -> int:
    """Submit jobs until *until_s*; return the peak CPU use of any endpoint in millicores."""

    async def call(entry: str) -> None:
        while time.monotonic() < until_s:
            await system.submit(entry, next(numbers), _body(4))

    peak_milli = 0
    callers = [asyncio.create_task(call(system.entries[n % 3])) for n in range(_CALLERS)]
    while time.monotonic() < until_s:
        peak_milli = max(peak_milli, *(one.used_milli for one in system.endpoints))
        await asyncio.sleep(0.005)
    await asyncio.gather(*callers)
    return peak_milli


class TestUnderLoad:
    """Two endpoints under more load than they can run."""

    def test_shrinks_and_grows(self, tmp_path: Path) -> None:
        """No endpoint is overcommitted after it shrinks, and added capacity is used."""

        async def scenario(system: PlatformSystem) -> None:
            numbers = itertools.count(1)
            for cpu_milli in (_SMALL_MILLI, CAPACITY["cpu"], _SMALL_MILLI, CAPACITY["cpu"]):
                for one in system.endpoints:
                    one.cpu_milli = cpu_milli
                peak_milli = await _sustain_load(system, numbers, time.monotonic() + _BUSY_S)
            assert [one.overfilled for one in system.endpoints] == [[], []]
            assert peak_milli > CAPACITY["cpu"] - _TASK_MILLI

        play(scenario, tmp_path)


class TestUnplaceable:
    """A job whose tasks exceed the present capacity of every endpoint."""

    def test_refused_at_once(self, tmp_path: Path) -> None:
        """The job is rejected with a retry delay, and completes after an endpoint has grown."""

        async def scenario(system: PlatformSystem) -> None:
            large = steps(1, estimate_ms=500, cpu_milli=_SMALL_MILLI + 1)
            # A box has the complete list of endpoints only some seconds after its start.
            await asyncio.sleep(3.0)
            for one in system.endpoints:
                one.cpu_milli = _SMALL_MILLI
            await asyncio.sleep(1.5)
            refused = await system.submit("e0", 1, large)
            assert refused.status in (429, 503)
            assert refused.fields["retry_after_ms"] == 2_000
            assert refused.took_ms < 500
            assert (await system.submit("e1", 2, steps(1, estimate_ms=500))).status == 200
            system.endpoints[1].cpu_milli = CAPACITY["cpu"]
            await asyncio.sleep(1.5)
            assert (await system.submit("e2", 3, large)).status == 200

        play(scenario, tmp_path)

    @pytest.mark.parametrize(
        ("known", "label", "expected"),
        [
            ([endpoint("w9", 16_000)], "", SubmitStatus.TAKEN),
            ([endpoint("w9", 3_000)], "", SubmitStatus.REFUSED),
            ([endpoint("w9", 16_000)], "gpu", SubmitStatus.REFUSED),
            ([endpoint("w9", 16_000, labels=("gpu",))], "gpu", SubmitStatus.TAKEN),
            ([endpoint("w9", 16_000, service="other")], "", SubmitStatus.TAKEN),
            ([], "", SubmitStatus.TAKEN),
        ],
    )
    def test_other_zones(self, known: list[Any], label: str, expected: SubmitStatus) -> None:
        """Endpoints of other zones count by service, capacity and label."""
        state = OwnerState(750.0, lambda: known)
        state.update_endpoint(endpoint("w1", 3_000))
        state.report(EndpointReport("w1", (), (), 0.0), 1.0)
        # Starts the warm-up, which is over before the next submission.
        state.submit(_E1, submission(job_id="1" * 16, demand=Demand(1, 1, 0)), 1.0)
        message = submission(placement=Placement(label))
        assert state.submit(_E1, message, 10_000.0).status is expected


class TestRoom:
    """Allocations and reservations of a resized endpoint."""

    def test_what_is_being_stopped_counts(self) -> None:
        """After a shrink, a run being stopped keeps its allocation until its end is reported."""
        state = owner_with(endpoint("w1", 14_000))
        state.submit(_E1, submission(2), 10.0)
        state.place(10.0)
        assert len(state.actions.pop_starts()) == 2
        state.update_endpoint(endpoint("w1", 7_000))
        state.cancel(_E1, "0" * 16, 20.0)
        state.submit(_E1, submission(job_id="1" * 16), 30.0)
        state.place(30.0)
        assert state.actions.pop_starts() == []

    def test_room_kept_for_other_zones_runs(self) -> None:
        """A reservation made before a shrink is counted once and not given to other runs."""
        state = owner_with(endpoint("w1", 14_000))
        resources = state.candidates["w1"].resources
        resources.reserve(1, Demand(6_800, 64, 0), 1_000.0)
        resources.reserve(2, Demand(6_800, 64, 0), 1_000.0)
        state.update_endpoint(endpoint("w1", 7_000))
        resources.cancel_reservation(1)
        assert not state.candidates["w1"].has_capacity_for(Demand(6_800, 64, 0))
        resources.cancel_reservation(2)
        assert state.candidates["w1"].has_capacity_for(Demand(6_800, 64, 0))
        assert resources.free == Demand(7_000, 32_000, 0)
