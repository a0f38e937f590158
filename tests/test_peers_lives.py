# SPDX-License-Identifier: MIT
"""Which life of a peer is the present one."""

from __future__ import annotations

import pytest

from foldloom.peers.lives import FreshLives, Lives, OrderedLives

_DAY_MS = 86_400_000.0
# A message every minute, by a sender whose clock falls back 50 parts in a million.
_EVERY_MS = 60_000.0
_FALLS_BACK_PER_MS = 5e-5


class TestOrderedLives:
    """Lives with numbers that rise."""

    def test_older_life_is_not_heard(self) -> None:
        """What comes from a lower number is dropped."""
        lives = OrderedLives()
        assert lives.note("a", 2, 0.0, 10.0) == 0.0
        assert lives.note("a", 1, 5.0, 15.0) is None
        assert lives.current("a") == 2


class TestFreshLives:
    """Lives without an order."""

    def test_clock_went_back_over_a_restart(self) -> None:
        """A new life is heard at once, whatever its number."""
        lives = FreshLives()
        lives.note("a", 9, 0.0, 10.0)
        assert lives.note("a", 3, 0.0, 500.0) == 0.0
        assert lives.current("a") == 3

    def test_held_up_message_of_an_earlier_life(self) -> None:
        """A message that a cut held up is old, and its life does not come back."""
        lives = FreshLives()
        lives.note("a", 9, 0.0, 10.0)
        lives.note("a", 3, 0.0, 5_000.0)
        age = lives.note("a", 9, 100.0, 6_000.0)
        assert age is not None
        assert age > 5_000
        assert lives.current("a") == 3

    def test_age_by_the_least_offset(self) -> None:
        """A message is as old as it is later than the quickest one."""
        lives = FreshLives()
        lives.note("a", 1, 0.0, 50.0)
        lives.note("a", 1, 100.0, 110.0)
        age = lives.note("a", 1, 200.0, 300.0)
        assert age is not None
        assert 85.0 < age <= 90.0


@pytest.mark.parametrize("kind", [OrderedLives, FreshLives])
class TestSendersClock:
    """A sender's clock that does not keep to the receiver's."""

    def test_it_drifts(self, kind: type[Lives]) -> None:
        """After a day of quartz clocks that drift apart, a message is still fresh."""
        lives = kind()
        for minute in range(int(_DAY_MS / _EVERY_MS)):
            now_ms = minute * _EVERY_MS
            sent_ms = now_ms * (1 - _FALLS_BACK_PER_MS)
            assert lives.note("a", 1, sent_ms, now_ms) == pytest.approx(0.0, abs=100.0)

    def test_it_fell_back(self, kind: type[Lives]) -> None:
        """All that it sends looks old, until a reply shows how old it can be at most."""
        lives = kind()
        lives.note("a", 1, 1_000.0, 1_000.0)
        assert lives.note("a", 1, 2_000.0, 5_000.0) == pytest.approx(3_000.0, abs=1.0)
        assert lives.note("a", 1, 2_100.0, 5_100.0, age_max_ms=4.0) == pytest.approx(4.0, abs=1.0)
        assert lives.note("a", 1, 2_200.0, 5_200.0) == pytest.approx(4.0, abs=1.0)

    def test_a_slow_reply_proves_little(self, kind: type[Lives]) -> None:
        """A reply that was long on its way makes nothing fresh that was held up."""
        lives = kind()
        lives.note("a", 1, 1_000.0, 1_000.0)
        assert lives.note("a", 1, 2_000.0, 4_000.0, age_max_ms=2_500.0) == pytest.approx(
            2_000.0, abs=1.0
        )
        assert lives.note("a", 1, 2_000.0, 4_000.0) == pytest.approx(2_000.0, abs=1.0)
