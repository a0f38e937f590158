# SPDX-License-Identifier: MIT
"""Current incarnation of a peer, and age of its messages."""

from __future__ import annotations

import pytest

from foldloom.peers.incarnations import (
    IncarnationTracker,
    OrderedIncarnations,
    UnorderedIncarnations,
)

_DAY_MS = 86_400_000.0
# Message interval, and drift of the sender's clock: 50 ppm.
_MESSAGE_INTERVAL_MS = 60_000.0
_DRIFT_RATIO = 5e-5


class TestOrderedLives:
    """Guards against messages of an earlier incarnation when numbers are ordered."""

    def test_older_life_is_not_heard(self) -> None:
        """A message of a lower incarnation is rejected."""
        incarnations = OrderedIncarnations()
        assert incarnations.record("a", 2, 0.0, 10.0) == 0.0
        assert incarnations.record("a", 1, 5.0, 15.0) is None
        assert incarnations.current("a") == 2


class TestFreshLives:
    """Guards against messages of an earlier incarnation when numbers are not ordered."""

    def test_clock_went_back_over_a_restart(self) -> None:
        """A new incarnation becomes current at once, even with a lower number."""
        incarnations = UnorderedIncarnations()
        incarnations.record("a", 9, 0.0, 10.0)
        assert incarnations.record("a", 3, 0.0, 500.0) == 0.0
        assert incarnations.current("a") == 3

    def test_held_up_message_of_an_earlier_life(self) -> None:
        """A message delayed by a partition does not make its incarnation current again."""
        incarnations = UnorderedIncarnations()
        incarnations.record("a", 9, 0.0, 10.0)
        incarnations.record("a", 3, 0.0, 5_000.0)
        age = incarnations.record("a", 9, 100.0, 6_000.0)
        assert age is not None
        assert age > 5_000
        assert incarnations.current("a") == 3

    def test_age_by_the_least_offset(self) -> None:
        """The age is relative to the smallest clock offset observed."""
        incarnations = UnorderedIncarnations()
        incarnations.record("a", 1, 0.0, 50.0)
        incarnations.record("a", 1, 100.0, 110.0)
        age = incarnations.record("a", 1, 200.0, 300.0)
        assert age is not None
        assert 85.0 < age <= 90.0


@pytest.mark.parametrize("kind", [OrderedIncarnations, UnorderedIncarnations])
class TestSendersClock:
    """Guards against messages misjudged because the sender's clock deviates."""

    def test_it_drifts(self, kind: type[IncarnationTracker]) -> None:
        """Messages stay fresh while the clocks drift apart for a day."""
        incarnations = kind()
        for minute in range(int(_DAY_MS / _MESSAGE_INTERVAL_MS)):
            now_ms = minute * _MESSAGE_INTERVAL_MS
            sent_ms = now_ms * (1 - _DRIFT_RATIO)
            assert incarnations.record("a", 1, sent_ms, now_ms) == pytest.approx(0.0, abs=100.0)

    def test_it_fell_back(self, kind: type[IncarnationTracker]) -> None:
        """Messages look old until a reply bounds their age and corrects the offset."""
        incarnations = kind()
        incarnations.record("a", 1, 1_000.0, 1_000.0)
        assert incarnations.record("a", 1, 2_000.0, 5_000.0) == pytest.approx(3_000.0, abs=1.0)
        assert incarnations.record("a", 1, 2_100.0, 5_100.0, age_max_ms=4.0) == pytest.approx(
            4.0, abs=1.0
        )
        assert incarnations.record("a", 1, 2_200.0, 5_200.0) == pytest.approx(4.0, abs=1.0)

    def test_a_slow_reply_proves_little(self, kind: type[IncarnationTracker]) -> None:
        """A delayed reply does not make delayed messages look fresh."""
        incarnations = kind()
        incarnations.record("a", 1, 1_000.0, 1_000.0)
        assert incarnations.record("a", 1, 2_000.0, 4_000.0, age_max_ms=2_500.0) == pytest.approx(
            2_000.0, abs=1.0
        )
        assert incarnations.record("a", 1, 2_000.0, 4_000.0) == pytest.approx(2_000.0, abs=1.0)
