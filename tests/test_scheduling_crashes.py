# SPDX-License-Identifier: MIT
"""Crash limits and isolation of tasks whose endpoints have crashed."""

from __future__ import annotations

import pytest

from foldloom.seed_discovery.scheduling.crashes import (
    CrashCount,
    Isolation,
    exceeds_crash_limit,
    isolation_for,
)


class TestIsGivenUp:
    """A task is given up after two crashes at the earliest and after three at the latest."""

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
        """Two crashes reach the limit if the task was alone in one of them."""
        assert exceeds_crash_limit(count) is expected


class TestIsolationBy:
    """Isolation by crash count."""

    def test_by_crashes(self) -> None:
        """Isolation is preferred after one crash and required after two."""
        counts = [CrashCount(), CrashCount(1, 1), CrashCount(2, 0)]
        kept = [Isolation.NONE, Isolation.PREFERRED, Isolation.REQUIRED]
        assert [isolation_for(count) for count in counts] == kept


class TestCrashCount:
    """Merging the counts of two owners."""

    def test_joined(self) -> None:
        """Crashes that both owners counted are not added up."""
        assert CrashCount(2, 0).merged(CrashCount(1, 1)) == CrashCount(2, 1)
