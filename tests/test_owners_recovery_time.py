# SPDX-License-Identifier: MIT
"""Queued jobs that wait for the leases of a killed owner to expire, although all endpoints report.

Simulated zones in which all boxes have heard of all endpoints.
"""

from __future__ import annotations

import pytest

from models.killed_owners import KilledOwnerWorld, run_scenario

# Silence of the owner, and the time until the next one has queried the other boxes.
_ACQUIRED_MAX_MS = 400.0 + 100.0
# A poll that was sent before the runs are delivered, and the one after it, wait this long.
_POLL_WAIT_MS = 200.0
# Two ticks of the owner, and the messages and calls of a second delivery.
_TICKS_MAX_MS = 50.0
# The leases expire 752 ms after a session, which ends 300 to 400 ms after the kill.
_STARTED_MAX_MS = _ACQUIRED_MAX_MS + 2 * _POLL_WAIT_MS + _TICKS_MAX_MS


@pytest.fixture(autouse=True)
def _three_boxes(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("models.zones_world.BOXES_PER_ZONE", 3)


def _check(world: KilledOwnerWorld) -> None:
    """Check that the queued jobs have started in time, and no task ran twice at a time."""
    assert max(world.queued_starts_ms) <= _STARTED_MAX_MS
    assert world.doubled == []


@pytest.mark.parametrize("seed", range(8))
class TestKilledOwner:
    """The owner is killed while jobs of two other boxes are running and queued."""

    def test_queued_jobs(self, seed: int) -> None:
        """The queued jobs start as soon as all endpoints have reported; the running ones go on."""
        world = run_scenario(seed, is_endpoint_replaced=False)
        _check(world)
        assert world.restarted == []

    def test_replaced_endpoint(self, seed: int) -> None:
        """The same, after an endpoint has restarted under a new id: it has certainly ended."""
        _check(run_scenario(seed, is_endpoint_replaced=True))
