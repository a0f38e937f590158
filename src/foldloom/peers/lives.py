# SPDX-License-Identifier: MIT
"""Which life of a peer is the present one, and how old its messages are.

Owns what is known of each peer's life and clock. Relies on nothing but the envelopes' fields.

A life is one run of a process. Ages are worked out from the least difference seen between the
receiver's clock and the sender's sending time, both monotonic, so no clocks are compared.
"""

from __future__ import annotations

from typing import NamedTuple, Protocol

# Milliseconds of age below which a message shows its sender's present life: the usual time to live.
_FRESH_MS = 1_000.0
# Lives of a sender whose clocks are known. Not measured: more restarts within one message's age are
# not to be expected.
_LIVES_KEPT = 4
# Share by which two steady clocks may drift apart: 100 parts in a million, as usual for quartz.
_DRIFT_PER_MS = 1e-4


class Lives(Protocol):
    """What a network must know of its peers' lives."""

    def current(self, sender: str) -> int:
        """Return the present life of *sender*, or 0."""

    def note(self, sender: str, life: int, sent_ms: float, now_ms: float) -> float | None:
        """Return the age in milliseconds of a message, or ``None`` if its sender is gone."""


class _Offset(NamedTuple):
    """A life, the least offset of the clocks, and when that was seen."""

    life: int
    offset_ms: float
    seen_ms: float


class OrderedLives:
    """Lives that are numbered upwards: what comes from a lower one is dropped."""

    def __init__(self) -> None:
        self._known: dict[str, _Offset] = {}

    def current(self, sender: str) -> int:
        """Return the highest life seen of *sender*, or 0."""
        known = self._known.get(sender)
        return 0 if known is None else known.life

    def note(self, sender: str, life: int, sent_ms: float, now_ms: float) -> float | None:
        """Return the age of a message, or ``None`` if it is of an older life."""
        offset = now_ms - sent_ms
        known = self._known.get(sender)
        if known is not None and life < known.life:
            return None
        if known is None or life > known.life or offset < known.offset_ms:
            self._known[sender] = _Offset(life, offset, now_ms)
            return 0.0
        return offset - known.offset_ms


class FreshLives:
    """Lives without an order: the present one is that of the newest fresh message.

    The time of day may jump back over a restart, so a number drawn from it can't order lives.
    What an earlier life sent and the network held up is recognized by its age instead.
    """

    def __init__(self) -> None:
        self._known: dict[str, dict[int, _Offset]] = {}
        self._current: dict[str, int] = {}

    def current(self, sender: str) -> int:
        """Return the life of *sender* that sent the newest fresh message, or 0."""
        return self._current.get(sender, 0)

    def note(self, sender: str, life: int, sent_ms: float, now_ms: float) -> float | None:
        """Return the age of a message; take its life as the present one if it is fresh."""
        lives = self._known.setdefault(sender, {})
        offset = now_ms - sent_ms
        known = lives.get(life)
        age_ms = 0.0
        if known is not None:
            # Clocks drift apart slowly; a bound that never rose would age every message.
            least = known.offset_ms + (now_ms - known.seen_ms) * _DRIFT_PER_MS
            age_ms = max(0.0, offset - least)
        if known is None or age_ms == 0.0:
            lives[life] = _Offset(life, offset, now_ms)
            while len(lives) > _LIVES_KEPT:
                del lives[next(iter(lives))]
        if age_ms <= _FRESH_MS:
            self._current[sender] = life
        return age_ms
