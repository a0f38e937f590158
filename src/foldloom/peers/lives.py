# SPDX-License-Identifier: MIT
"""Which life of a peer is the present one, and how old its messages are.

Owns what is known of each peer's life and clock. Relies on nothing but the envelopes' fields.

A life is one run of a process. Ages are worked out from the least difference seen between the
receiver's clock and the sender's sending time, both steady, so no clocks are compared. A sender
whose clock falls back against the receiver's, as that of a machine that was suspended may, would
look late for good: a reply to a request, which can't be older than the request, corrects that.
"""

from __future__ import annotations

import math
from typing import NamedTuple, Protocol

# Milliseconds of age below which a message shows its sender's present life: the usual time to live.
_FRESH_AGE_MAX_MS = 1_000.0
# Lives of a sender whose clocks are known: more restarts within one message's age are not expected.
_INCARNATIONS_KEPT_MAX = 4
# Share by which two steady clocks may drift apart: 100 parts in a million, as usual for quartz.
_DRIFT_RATIO_MAX = 1e-4


class Lives(Protocol):
    """What a network must know of its peers' lives."""

    def current(self, sender: str) -> int:
        """Return the present life of *sender*, or 0."""

    def note(
        self, sender: str, life: int, sent_ms: float, now_ms: float, age_max_ms: float = math.inf
    ) -> float | None:
        """Return the age in milliseconds of a message, or ``None`` if its sender is gone.

        Args:
            sender: The box that sent it.
            life: The sender's life.
            sent_ms: When it was sent; the sender's clock.
            now_ms: When it arrived; own clock.
            age_max_ms: How old it can be at most, where that is known otherwise: it was sent in
                reply to a request of that age.
        """


class _ClockOffset(NamedTuple):
    """How far one life's clock is behind the receiver's: the least seen.

    Args:
        life: The life.
        offset_ms: The receiver's clock less the sender's.
        observed_ms: When that was seen; the receiver's clock.
    """

    life: int
    offset_ms: float
    observed_ms: float

    def least_at(self, now_ms: float) -> float:
        """Return the least offset to be expected by now.

        Clocks drift apart slowly; a bound that never rose would age every message.
        """
        return self.offset_ms + (now_ms - self.observed_ms) * _DRIFT_RATIO_MAX


def _updated_offset(
    known: _ClockOffset | None, life: int, sent_ms: float, now_ms: float, age_max_ms: float
) -> _ClockOffset:
    """Return what is known of a life's clock once one more message of it has arrived."""
    offset_ms = now_ms - sent_ms
    if known is None or offset_ms <= known.least_at(now_ms):
        return _ClockOffset(life, offset_ms, now_ms)
    least_ms = offset_ms - age_max_ms
    if least_ms > known.least_at(now_ms):
        return _ClockOffset(life, least_ms, now_ms)
    return known


def _age_ms(offset: _ClockOffset, sent_ms: float, now_ms: float) -> float:
    return max(0.0, now_ms - sent_ms - offset.least_at(now_ms))


class OrderedLives:
    """Lives that are numbered upwards: what comes from a lower one is dropped."""

    def __init__(self) -> None:
        self._known: dict[str, _ClockOffset] = {}

    def current(self, sender: str) -> int:
        """Return the highest life seen of *sender*, or 0."""
        known = self._known.get(sender)
        return 0 if known is None else known.life

    def note(
        self, sender: str, life: int, sent_ms: float, now_ms: float, age_max_ms: float = math.inf
    ) -> float | None:
        """Return the age of a message, or ``None`` if it is of an older life."""
        known = self._known.get(sender)
        if known is not None and life < known.life:
            return None
        if known is not None and life > known.life:
            known = None
        offset = _updated_offset(known, life, sent_ms, now_ms, age_max_ms)
        self._known[sender] = offset
        return _age_ms(offset, sent_ms, now_ms)


class FreshLives:
    """Lives without an order: the present one is that of the newest fresh message.

    The time of day may jump back over a restart, so a number drawn from it can't order lives.
    What an earlier life sent and the network held up is recognized by its age instead.
    """

    def __init__(self) -> None:
        self._known: dict[str, dict[int, _ClockOffset]] = {}
        self._current: dict[str, int] = {}

    def current(self, sender: str) -> int:
        """Return the life of *sender* that sent the newest fresh message, or 0."""
        return self._current.get(sender, 0)

    def note(
        self, sender: str, life: int, sent_ms: float, now_ms: float, age_max_ms: float = math.inf
    ) -> float | None:
        """Return the age of a message; take its life as the present one if it is fresh."""
        lives = self._known.setdefault(sender, {})
        lives[life] = _updated_offset(lives.get(life), life, sent_ms, now_ms, age_max_ms)
        while len(lives) > _INCARNATIONS_KEPT_MAX:
            del lives[next(iter(lives))]
        age_ms = _age_ms(lives[life], sent_ms, now_ms)
        if age_ms <= _FRESH_AGE_MAX_MS:
            self._current[sender] = life
        return age_ms
