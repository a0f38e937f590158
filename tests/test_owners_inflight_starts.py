# SPDX-License-Identifier: MIT
"""A task on two endpoints: its start order was in flight when its owner or caller went away.

The call had not timed out, so no unanswered start was recorded or reported. The endpoint restarts
under its id and executes the order before the task's next owner has discovered the new incarnation.
Simulated zones.
"""

from __future__ import annotations

import pytest

from models.late_orders import UNANSWERED_S, run_scenario

# Times after the start order; the call times out after 250 ms.
_IN_FLIGHT_S = [0.002, 0.1]
# Time by which the start order is sent after the submission.
_UNTIL_ORDER_S = 0.005


@pytest.mark.parametrize("in_flight_s", _IN_FLIGHT_S)
@pytest.mark.parametrize("seed", range(8))
class TestOrderInFlight:
    """The order is sent, and its call has neither an answer nor timed out."""

    def test_killed_owner(self, seed: int, in_flight_s: float) -> None:
        """The owner is killed, and the endpoint is silent until its next incarnation begins."""
        world = run_scenario(seed, lambda world: world.kill_owner(in_flight_s))
        assert world.doubled == []
        assert world.answers[-1].is_completed or world.answers[-1].may_have_run

    def test_killed_owner_with_the_job(self, seed: int, in_flight_s: float) -> None:
        """The box that is killed holds the job too, and the caller submits it to another box.

        Known to fail, see KNOWN-RED.txt: no other box knows of the order.
        """
        world = run_scenario(seed, lambda world: world.kill_submitting_owner(in_flight_s))
        assert world.doubled == []
        assert world.answers[-1].is_completed or world.answers[-1].may_have_run

    def test_submitted_again_in_the_other_zone(self, seed: int, in_flight_s: float) -> None:
        """The caller disconnects and submits the job elsewhere."""
        leave_after_s = _UNTIL_ORDER_S + in_flight_s
        world = run_scenario(seed, lambda world: world.submit_twice(leave_after_s))
        assert world.doubled == []


@pytest.mark.parametrize("seed", range(8))
class TestUnreportedStart:
    """The report of an unanswered start reaches no box."""

    def test_killed_owner(self, seed: int) -> None:
        """The owner is cut off while the call is in flight, and killed after it timed out."""
        world = run_scenario(seed, lambda world: world.kill_owner(UNANSWERED_S, _IN_FLIGHT_S[1]))
        assert world.doubled == []
        assert world.answers[-1].is_completed or world.answers[-1].may_have_run
