# SPDX-License-Identifier: MIT
"""A task on two endpoints, after random faults while endpoints restart under new ids.

Simulated zones: owners are paused in turn, killed and cut off, and boxes hear late of endpoints.
Guards against owners that take a run for lost because they have not heard of its endpoint.
"""

from __future__ import annotations

import os

import pytest

from models.replaced_faults import run_with_faults
from test_owners_refusals import broken_promises, doubled_without_retry

_FIRST_SEED = int(os.environ.get("FOLDLOOM_FIRST_SEED", "0"))
_SEEDS = int(os.environ.get("FOLDLOOM_SEEDS", "2"))
# Regression seeds: runs were taken for lost while they went on; 29, 45 and 57, and started again.
_KEPT_SEEDS = [17, 29, 45, 57, 74, 78]


@pytest.mark.parametrize("seed", [*_KEPT_SEEDS, *range(_FIRST_SEED, _FIRST_SEED + _SEEDS)])
class TestReplacedEndpoints:
    """Each job is submitted once."""

    def test_the_promises_hold(self, seed: int) -> None:
        """No run that goes on is taken for lost, and refused jobs never start."""
        world = run_with_faults(seed)
        assert world.false_ends == []
        assert doubled_without_retry(world) == []
        assert broken_promises(world) == []
        assert world.errors == []
