# SPDX-License-Identifier: MIT
"""When a box may claim its zone, and with which token."""

from __future__ import annotations

from foldloom.seed_discovery.owners.election import (
    WitnessAnswers,
    candidate_rank,
    may_acquire,
    next_token,
    patience_ms,
    token_above,
)

_SILENT_MS = 400.0


class TestMayClaim:
    """Dead owners are replaced, live ones are left alone."""

    def test_nobody_hears_the_owner(self) -> None:
        """All who answer have not heard it for long."""
        assert may_acquire(WitnessAnswers(3, 2, 450.0, 7), _SILENT_MS)

    def test_somebody_hears_the_owner(self) -> None:
        """One who hears it is enough: only this box does not."""
        assert not may_acquire(WitnessAnswers(3, 2, 80.0, 7), _SILENT_MS)

    def test_isolated(self) -> None:
        """A box that reaches nobody does not take the endpoints from an owner that lives."""
        assert not may_acquire(WitnessAnswers(3, 0, None, 7), _SILENT_MS)

    def test_alone(self) -> None:
        """A box that is the only one there is may claim."""
        assert may_acquire(WitnessAnswers(0, 0, None, 0), _SILENT_MS)

    def test_never_heard(self) -> None:
        """At the first start nobody has heard an owner."""
        assert may_acquire(WitnessAnswers(2, 2, None, 0), _SILENT_MS)


class TestOrder:
    """Candidates step in one after the other."""

    def test_rank_and_patience(self) -> None:
        """The first in order waits least."""
        boxes = ["10.0.0.2:1", "10.0.0.1:1"]
        assert [candidate_rank(box, boxes) for box in sorted(boxes)] == [0, 1]
        assert patience_ms(_SILENT_MS, 0, True) < patience_ms(_SILENT_MS, 1, True)

    def test_first_start(self) -> None:
        """One that never heard an owner does not wait for one to fall silent."""
        assert patience_ms(_SILENT_MS, 0, False) < _SILENT_MS


class TestTokens:
    """Tokens rise and are nobody else's."""

    def test_above_what_is_known(self) -> None:
        """A new token is above the highest one known."""
        first = next_token(0, 1_700_000_000.0, 5)
        assert next_token(first, 1_700_000_000.0, 3) > first

    def test_after_everyone_forgot(self) -> None:
        """Later by the time of day is higher, also when no token is remembered."""
        before = next_token(0, 1_700_000_000.0, 200_000)
        assert next_token(0, 1_700_000_001.0, 1) > before

    def test_two_boxes_never_make_the_same(self) -> None:
        """At one moment two boxes make two tokens."""
        assert next_token(0, 1_700_000_000.0, 1) != next_token(0, 1_700_000_000.0, 2)

    def test_clock_went_back(self) -> None:
        """A few refusals are enough to get above a token made before the clock went back."""
        highest = next_token(0, 1_700_000_003.0, 9)
        token = next_token(0, 1_700_000_000.0, 1)
        tries = 0
        while token < highest:
            tries += 1
            token = token_above(token, tries, 1)
        assert tries <= 3

    def test_fits_a_double(self) -> None:
        """JSON readers that know only doubles still tell tokens apart."""
        assert next_token(0, 2_500_000_000.0, 2**18 - 1) < 2**53
