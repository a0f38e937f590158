# SPDX-License-Identifier: MIT
"""Whether a job is taken, and for how long it is worth waiting: decided at once."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from foldloom.scheduling.groups import Group
from foldloom.scheduling.policies import rank
from foldloom.scheduling.sharing import RemoteGroup

_USABLE_SHARE = 0.85
_HOPE = 0.5
_RETRY_MIN_MS = 100
_RETRY_MAX_MS = 2_000


class ZoneRoom(NamedTuple):
    """What could run a group, in thousandths of cores.

    Args:
        total_milli: All endpoints in use, here and where runs could be moved to.
        free_milli: What nothing takes of it.
    """

    total_milli: int
    free_milli: int


def expected_wait_ms(
    group: Group,
    own: Iterable[Group],
    others: Iterable[RemoteGroup],
    room: ZoneRoom,
    now_ms: float,
) -> float:
    """Return how long the last task of *group* is expected to wait for room."""
    asked_milli = len(group.waiting) * group.spec.demand.cpu_milli
    if asked_milli <= room.free_milli:
        return 0.0
    place = rank(group, now_ms)
    ahead_ms = sum(one.waiting_cpu_ms for one in own if rank(one, now_ms) <= place)
    ahead_ms += sum(one.summary.cpu_ms for one in others if one.rank < place)
    usable = room.total_milli / 1_000 * _USABLE_SHARE
    return ahead_ms / usable if usable else float(_RETRY_MAX_MS)


def is_too_late(group: Group, wait_ms: float, now_ms: float) -> bool:
    """Return whether a group that must wait so long should be refused.

    Expectations err on the low side, since urgent work that comes later goes first.
    """
    return wait_ms > 0 and now_ms + wait_ms / _HOPE > group.start_by()


def retry_after_ms(wait_ms: float) -> int:
    """Return when a caller that is refused should come back."""
    return int(min(_RETRY_MAX_MS, max(_RETRY_MIN_MS, wait_ms)))
