# SPDX-License-Identifier: MIT
"""Guards the election rules: no zone is acquired from a live owner, and tokens rise."""

from __future__ import annotations

from foldloom.seed_discovery.owners.election import (
    WitnessAnswers,
    candidate_rank,
    may_acquire,
    next_token,
    silence_timeout_ms,
    token_above,
)

_SILENT_MS = 400.0


class TestMayAcquire:
    """A dead owner is replaced, a live one is not."""

    def test_nobody_hears_the_owner(self) -> None:
        """No witness has a recent heartbeat."""
        assert may_acquire(WitnessAnswers(3, 2, 450.0, 7), _SILENT_MS)

    def test_somebody_hears_the_owner(self) -> None:
        """A recent heartbeat at one witness prevents the acquisition."""
        assert not may_acquire(WitnessAnswers(3, 2, 80.0, 7), _SILENT_MS)

    def test_isolated(self) -> None:
        """A box without any answer does not acquire the zone."""
        assert not may_acquire(WitnessAnswers(3, 0, None, 7), _SILENT_MS)

    def test_alone(self) -> None:
        """A box without witnesses may acquire the zone."""
        assert may_acquire(WitnessAnswers(0, 0, None, 0), _SILENT_MS)

    def test_never_heard(self) -> None:
        """The zone is acquired if no witness ever had a heartbeat."""
        assert may_acquire(WitnessAnswers(2, 2, None, 0), _SILENT_MS)


class TestOrder:
    """Candidates act one after the other."""

    def test_rank_and_patience(self) -> None:
        """The lowest rank has the shortest silence timeout."""
        boxes = ["10.0.0.2:1", "10.0.0.1:1"]
        assert [candidate_rank(box, boxes) for box in sorted(boxes)] == [0, 1]
        assert silence_timeout_ms(_SILENT_MS, 0, True) < silence_timeout_ms(_SILENT_MS, 1, True)

    def test_first_start(self) -> None:
        """Without a known owner the silence timeout is shorter."""
        assert silence_timeout_ms(_SILENT_MS, 0, False) < _SILENT_MS


class TestTokens:
    """Tokens rise and are unique to a box."""

    def test_above_what_is_known(self) -> None:
        """A new token is above the highest known one."""
        first = next_token(0, 1_700_000_000.0, 5)
        assert next_token(first, 1_700_000_000.0, 3) > first

    def test_after_everyone_forgot(self) -> None:
        """Tokens rise with the wall-clock time even if no earlier token is known."""
        before = next_token(0, 1_700_000_000.0, 200_000)
        assert next_token(0, 1_700_000_001.0, 1) > before

    def test_two_boxes_never_make_the_same(self) -> None:
        """Two boxes generate different tokens at the same time."""
        assert next_token(0, 1_700_000_000.0, 1) != next_token(0, 1_700_000_000.0, 2)

    def test_clock_went_back(self) -> None:
        """A few refusals suffice to exceed a token from before the clock was set back."""
        highest = next_token(0, 1_700_000_003.0, 9)
        token = next_token(0, 1_700_000_000.0, 1)
        tries = 0
        while token < highest:
            tries += 1
            token = token_above(token, tries, 1)
        assert tries <= 3

    def test_fits_a_double(self) -> None:
        """JSON parsers that read numbers as doubles keep tokens exact."""
        assert next_token(0, 2_500_000_000.0, 2**18 - 1) < 2**53
