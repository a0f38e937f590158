# SPDX-License-Identifier: MIT
"""Own interface: the work for a grant does not grow with the queue of a customer at its limit."""

from __future__ import annotations

from executed_instructions import executed_instructions
from foldloom.controllers.config import Customer
from test_placement import _config, _request, _shard

_SHORT, _LONG = 5, 500
# The length grows a hundredfold.
_GROWTH_MAX = 2.0


class TestCustomerAtItsLimit:
    """A customer may have one running task, has it, and has queued many others."""

    def test_work_of_a_match(self) -> None:
        """Guards against a customer whose queue slows the grants of all others."""
        customers = {
            "full": Customer(quota=1, concurrency_max=1),
            "other": Customer(quota=1, concurrency_max=0),
        }
        work = {}
        for queued in (_SHORT, _LONG):
            shard = _shard(_config(2, customers))
            for number in range(queued):
                assert shard.add("a1", _request(number, 1, "full")) is None
            assert len(shard.match(0.0)) == 1
            shard.add("a1", _request(10_000, 1, "other"))
            granted: list[object] = []
            work[queued] = executed_instructions(
                lambda shard=shard, granted=granted: granted.extend(shard.match(1.0))
            )
            assert len(granted) == 1
        assert work[_LONG] <= _GROWTH_MAX * work[_SHORT], work
