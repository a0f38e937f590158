# SPDX-License-Identifier: MIT
"""The rules for when a box may acquire its zone, and with which fencing token.

Endpoints obey the highest token that they have seen, so two owners at a time are safe but take
endpoints from each other. To avoid that, a box acquires its zone only if it has had no heartbeat
for the silence timeout, at least one witness answers, and no witness has a recent heartbeat.
"""

from __future__ import annotations

import random
from typing import NamedTuple

# Wall-clock time per step of a token's upper part; below the time between two terms of a zone.
_TOKEN_STEP_MS = 100
# Random bits per box in a token's lower part.
_BOX_BITS = 18
# Extra delay per candidate rank: enough to acquire the zone and send a heartbeat.
_RANK_STEP_MS = 80.0
# Silence timeout while no owner is known; above one heartbeat interval.
_FIRST_ELECTION_DELAY_MS = 120.0


class WitnessAnswers(NamedTuple):
    """Combined answers of the witnesses about an owner.

    Args:
        asked: Number of witnesses queried.
        answered: Number of witnesses that answered.
        newest_heartbeat_age_ms: Age of the newest heartbeat at any of them; ``None`` without one.
        highest_token: Highest token known to this box or any of them.
    """

    asked: int
    answered: int
    newest_heartbeat_age_ms: float | None
    highest_token: int


def candidate_rank(box: str, candidates: list[str]) -> int:
    """Return the rank of *box* among the candidates, 0 first."""
    return sorted(candidates).index(box) if box in candidates else len(candidates)


def silence_timeout_ms(silent_ms: float, rank: int, has_known_owner: bool) -> float:
    """Return the silence timeout of the candidate at *rank*.

    It is short while no owner is known, because witnesses would report one.
    """
    return (silent_ms if has_known_owner else _FIRST_ELECTION_DELAY_MS) + rank * _RANK_STEP_MS


def may_acquire(witnesses: WitnessAnswers, silent_ms: float) -> bool:
    """Return whether a box whose owner is silent may acquire the zone.

    A box that gets no answer from any witness may be isolated itself, so it must not acquire.
    """
    if witnesses.asked and not witnesses.answered:
        return False
    newest_heartbeat_age_ms = witnesses.newest_heartbeat_age_ms
    return newest_heartbeat_age_ms is None or newest_heartbeat_age_ms >= silent_ms


def next_token(highest_known: int, time_of_day_s: float, box_bits: int) -> int:
    """Return a token above *highest_known*, unique to this box.

    The upper part rises and is at least the wall-clock time, so that tokens rise even if all boxes
    of a zone lost them; the lower part is the box's own.
    """
    rising = max((highest_known >> _BOX_BITS) + 1, int(time_of_day_s * 1_000) // _TOKEN_STEP_MS)
    return (rising << _BOX_BITS) | box_bits


def token_above(refused: int, tries: int, box_bits: int) -> int:
    """Return the next token after an endpoint refused *refused* for a higher, unknown one.

    The step doubles with each of *tries*, so that few are needed after a clock was set back.
    """
    return (((refused >> _BOX_BITS) + (1 << min(tries + 3, 20))) << _BOX_BITS) | box_bits


def new_box_bits() -> int:
    """Return random bits for the lower part of this process's tokens."""
    return random.getrandbits(_BOX_BITS)
