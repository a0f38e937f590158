# SPDX-License-Identifier: MIT
"""Which life of a peer is the present one."""

from __future__ import annotations

from foldloom.peers.lives import FreshLives, OrderedLives


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
