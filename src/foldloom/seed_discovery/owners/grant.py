# SPDX-License-Identifier: MIT
"""The right that an entry box gives one zone's owner, as the box itself knows it.

Owns when the right was renewed last, and how often it has lapsed. Relies on the box's clock alone:
the owner counts from when it sent the heartbeat, so its right is over earlier than known here.

Whatever the owner runs for the box has ended once the right has lapsed and every lease that it gave
is over. A heartbeat that is handled after that begins another grant and revives nothing, also if
nothing else has noticed the lapse yet: a box that stood still may hear first what has waited in its
sockets. A box that stands still again and again keeps its grant as long as a heartbeat is handled
between; for how long it believes its owner is bound by its own clock instead
(:mod:`foldloom.seed_discovery.owners.batches`).
"""

from __future__ import annotations

from foldloom.seed_discovery.owners.lease import gone_after_ms
from foldloom.settings import TimingSettings


def grant_timeout_ms(timings: TimingSettings) -> float:
    """Return after how long without a heartbeat an owner's grant has lapsed, in milliseconds."""
    return timings.session_ms + gone_after_ms(timings.endpoint_lease_ms)


class Grant:
    """One box's grants to the owner of one zone, of which one is in force at a time.

    Args:
        timings: How long a right and a lease last.
    """

    def __init__(self, timings: TimingSettings) -> None:
        self._session_ms = float(timings.session_ms)
        self._grant_timeout_ms = grant_timeout_ms(timings)
        self._heartbeat_ms = -1e12
        self._number = 0

    @property
    def number(self) -> int:
        """Which grant this is; each one that lapsed is followed by the next number."""
        return self._number

    def session_left_ms(self, now_ms: float) -> float:
        """Return for how much longer the owner may start runs of this box."""
        return max(0.0, self._session_ms - self.silent_ms(now_ms))

    def has_lapsed(self, now_ms: float) -> bool:
        """Return whether everything that the owner ran for this box has ended for certain."""
        return self.silent_ms(now_ms) >= self._grant_timeout_ms

    def silent_ms(self, now_ms: float) -> float:
        """Return milliseconds since a heartbeat of the owner was handled."""
        return now_ms - self._heartbeat_ms

    def renew(self, heartbeat_ms: float) -> None:
        """Note a heartbeat of the owner that was handled at *heartbeat_ms*."""
        self._heartbeat_ms = heartbeat_ms

    def end(self) -> None:
        """Begin the next grant: nothing that was delivered under this one is known any more."""
        self._number += 1
