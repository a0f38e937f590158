# SPDX-License-Identifier: MIT
"""When a box may acquire its zone's endpoints, and with which token: decisions only.

Owns nothing. Relies on what witnesses answer and on the age of heartbeats.

Endpoints obey the highest token that they have seen, so two owners at a time do no harm; they
only take endpoints from each other. The rules here keep that from happening: a box acquires only
when its owner has been silent, nobody whom it reaches has a recent heartbeat, and it reaches one
at all.
"""

from __future__ import annotations

import random
from typing import NamedTuple

# Milliseconds of the time of day in one step of a token's upper part: below the time in which two
# owners of a zone can follow each other.
_TOKEN_STEP_MS = 100
# Bits of a token that a box draws at random: two boxes of a zone draw the same once in 262,144.
_BOX_BITS = 18
# Milliseconds by which each next candidate waits longer, so that the first has acquired the zone
# and sent a heartbeat before the next one acts.
_RANK_STEP_MS = 80.0
# Milliseconds of silence after which a zone that never had an owner is acquired: above one
# heartbeat (100 ms), so that an owner that just began is noticed.
_FIRST_ELECTION_DELAY_MS = 120.0


class WitnessAnswers(NamedTuple):
    """What the other boxes say of an owner.

    Args:
        asked: How many were asked.
        answered: How many answered.
        least_silent_ms: How long ago the newest heartbeat reached any of them; ``None`` if
            none ever did.
        highest_token: The highest token that any of them knows.
    """

    asked: int
    answered: int
    least_silent_ms: float | None
    highest_token: int


def candidate_rank(box: str, candidates: list[str]) -> int:
    """Return the place of *box* in the order in which candidates step in."""
    return sorted(candidates).index(box) if box in candidates else len(candidates)


def patience_ms(silent_ms: float, rank: int, has_known_owner: bool) -> float:
    """Return for how long an owner must be silent before the candidate at *rank* acts.

    One that never knew an owner has nothing to wait for: the witnesses would know.
    """
    return (silent_ms if has_known_owner else _FIRST_ELECTION_DELAY_MS) + rank * _RANK_STEP_MS


def may_acquire(witnesses: WitnessAnswers, silent_ms: float) -> bool:
    """Return whether a box whose owner is silent may acquire the zone.

    A box that reaches nobody can't tell a dead owner from its own isolation, and must not
    take the endpoints from an owner that others still know.
    """
    if witnesses.asked and not witnesses.answered:
        return False
    least_silent_ms = witnesses.least_silent_ms
    return least_silent_ms is None or least_silent_ms >= silent_ms


def next_token(highest_known: int, time_of_day_s: float, box_bits: int) -> int:
    """Return a token above *highest_known* that no other box makes.

    The upper part rises and begins at the time of day, so that a zone whose boxes have all
    forgotten their tokens still goes above them; the lower part is the box's own.
    """
    rising = max((highest_known >> _BOX_BITS) + 1, int(time_of_day_s * 1_000) // _TOKEN_STEP_MS)
    return (rising << _BOX_BITS) | box_bits


def token_above(refused: int, tries: int, box_bits: int) -> int:
    """Return a token after an endpoint refused *refused* for a higher one that nobody knows of.

    The step doubles with each of *tries*: after a clock that went back, few steps are enough.
    """
    return (((refused >> _BOX_BITS) + (1 << min(tries + 3, 20))) << _BOX_BITS) | box_bits


def new_box_bits() -> int:
    """Return the lower part of this process's tokens."""
    return random.getrandbits(_BOX_BITS)
