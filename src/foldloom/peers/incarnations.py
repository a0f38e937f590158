# SPDX-License-Identifier: MIT
"""Current incarnation of each peer, and age of its messages.

An incarnation is one run of a process. The age of a message is computed from the smallest offset
observed between the receiver's and the sender's monotonic clocks, so no synchronized clocks are
needed. If the sender's clock falls back relative to the receiver's, for example during a
suspension, all its messages would look late; a reply corrects the offset, since it can't be older
than its request.
"""

from __future__ import annotations

import math
from typing import NamedTuple, Protocol

# Age up to which a message establishes the current incarnation; the default time-to-live.
_FRESH_AGE_MAX_MS = 1_000.0
# Incarnations per sender whose clock offsets are kept; more restarts within the age of one message
# are not expected.
_INCARNATIONS_KEPT_MAX = 4
# Maximum drift between two monotonic clocks: 100 ppm, typical of quartz oscillators.
_DRIFT_RATIO_MAX = 1e-4


class IncarnationTracker(Protocol):
    """Tracks the current incarnation and the clock offset of each peer."""

    def current(self, sender: str) -> int:
        """Return the current incarnation of *sender*, or 0 if unknown."""

    def record(
        self,
        sender: str,
        incarnation: int,
        sent_ms: float,
        now_ms: float,
        age_max_ms: float = math.inf,
    ) -> float | None:
        """Record a message and return its age in milliseconds.

        Args:
            sender: Name of the sending box.
            incarnation: Incarnation of the sender.
            sent_ms: Send time by the sender's clock.
            now_ms: Receive time by the receiver's clock.
            age_max_ms: Upper bound on the age, known if the message is a reply to a request of
                that age.

        Returns:
            The age, or ``None`` if the message is of an outdated incarnation.
        """


class _ClockOffset(NamedTuple):
    """The smallest clock offset observed for one incarnation.

    Args:
        incarnation: The incarnation.
        offset_ms: Receiver's clock minus sender's clock.
        observed_ms: Time of the observation by the receiver's clock.
    """

    incarnation: int
    offset_ms: float
    observed_ms: float

    def min_offset_at(self, now_ms: float) -> float:
        """Return the smallest offset at *now_ms*, allowing for clock drift.

        Without the allowance, drift would make every later message look older than it is.
        """
        return self.offset_ms + (now_ms - self.observed_ms) * _DRIFT_RATIO_MAX


def _updated_offset(
    known: _ClockOffset | None, incarnation: int, sent_ms: float, now_ms: float, age_max_ms: float
) -> _ClockOffset:
    """Return the clock offset of an incarnation, updated with one more message."""
    offset_ms = now_ms - sent_ms
    if known is None or offset_ms <= known.min_offset_at(now_ms):
        return _ClockOffset(incarnation, offset_ms, now_ms)
    min_offset_ms = offset_ms - age_max_ms
    if min_offset_ms > known.min_offset_at(now_ms):
        return _ClockOffset(incarnation, min_offset_ms, now_ms)
    return known


def _age_ms(offset: _ClockOffset, sent_ms: float, now_ms: float) -> float:
    return max(0.0, now_ms - sent_ms - offset.min_offset_at(now_ms))


class OrderedIncarnations:
    """Incarnations with increasing numbers; messages of lower ones are dropped."""

    def __init__(self) -> None:
        self._known: dict[str, _ClockOffset] = {}

    def current(self, sender: str) -> int:
        """Return the highest incarnation seen of *sender*, or 0 if unknown."""
        known = self._known.get(sender)
        return 0 if known is None else known.incarnation

    def record(
        self,
        sender: str,
        incarnation: int,
        sent_ms: float,
        now_ms: float,
        age_max_ms: float = math.inf,
    ) -> float | None:
        """Return the age of a message, or ``None`` if it is of an older incarnation."""
        known = self._known.get(sender)
        if known is not None and incarnation < known.incarnation:
            return None
        if known is not None and incarnation > known.incarnation:
            known = None
        offset = _updated_offset(known, incarnation, sent_ms, now_ms, age_max_ms)
        self._known[sender] = offset
        return _age_ms(offset, sent_ms, now_ms)


class UnorderedIncarnations:
    """Unordered incarnations; the one with the latest fresh message is current.

    The wall clock may be set back across a restart, so incarnation numbers can't be ordered.
    Delayed messages of an earlier incarnation are recognized by their age instead.
    """

    def __init__(self) -> None:
        self._known: dict[str, dict[int, _ClockOffset]] = {}
        self._current: dict[str, int] = {}

    def current(self, sender: str) -> int:
        """Return the incarnation of *sender* with the latest fresh message, or 0 if unknown."""
        return self._current.get(sender, 0)

    def record(
        self,
        sender: str,
        incarnation: int,
        sent_ms: float,
        now_ms: float,
        age_max_ms: float = math.inf,
    ) -> float | None:
        """Return the age of a message; its incarnation becomes current if it is fresh."""
        offsets = self._known.setdefault(sender, {})
        offsets[incarnation] = _updated_offset(
            offsets.get(incarnation), incarnation, sent_ms, now_ms, age_max_ms
        )
        while len(offsets) > _INCARNATIONS_KEPT_MAX:
            del offsets[next(iter(offsets))]
        age_ms = _age_ms(offsets[incarnation], sent_ms, now_ms)
        if age_ms <= _FRESH_AGE_MAX_MS:
            self._current[sender] = incarnation
        return age_ms
