# SPDX-License-Identifier: MIT
"""Which tasks start again after crashes, and how they are kept apart."""

from __future__ import annotations

import pytest

from foldloom.seed_discovery.scheduling.crashes import (
    CrashCount,
    Isolation,
    is_given_up,
    isolation_for,
)


class TestIsGivenUp:
    """No task is given up before two endpoints have crashed, and none starts after three."""

    @pytest.mark.parametrize(
        ("count", "expected"),
        [
            (CrashCount(), False),
            (CrashCount(1, 0), False),
            (CrashCount(1, 1), False),
            (CrashCount(2, 0), False),
            (CrashCount(2, 1), True),
            (CrashCount(2, 2), True),
            (CrashCount(3, 0), True),
            (CrashCount(9, 0), True),
        ],
    )
    def test_by_crashes(self, count: CrashCount, expected: bool) -> None:
        """Two are enough if the task was alone at one of them."""
        assert is_given_up(count) is expected


class TestIsolationBy:
    """How a task is kept apart."""

    def test_by_crashes(self) -> None:
        """Never before a crash, if it can be had after one, always after two."""
        counts = [CrashCount(), CrashCount(1, 1), CrashCount(2, 0)]
        kept = [Isolation.NONE, Isolation.PREFERRED, Isolation.REQUIRED]
        assert [isolation_for(count) for count in counts] == kept


class TestCrashCount:
    """Counts of two owners."""

    def test_joined(self) -> None:
        """The same crash may be in both, so they are not added up."""
        assert CrashCount(2, 0).merged(CrashCount(1, 1)) == CrashCount(2, 1)
