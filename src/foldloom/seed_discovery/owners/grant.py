# SPDX-License-Identifier: MIT
"""An entry box's grant to one zone's owner to run the box's tasks, by the box's clock.

The owner measures the session from the sending of a heartbeat, the box from handling it, so the
session always ends earlier at the owner.

All runs of the box have ended once the session and then every lease given by the owner have
expired. A heartbeat handled after that begins the next grant, even if the expiry was not detected
yet: after a process pause, heartbeats buffered in the sockets may be handled first. A box that
pauses repeatedly keeps its grant while it handles heartbeats in between;
:mod:`foldloom.seed_discovery.owners.batches` then limits how long it trusts the owner's answers.
"""

from __future__ import annotations

from foldloom.seed_discovery.owners.lease import run_expiry_ms
from foldloom.settings import TimingSettings


def grant_timeout_ms(timings: TimingSettings) -> float:
    """Return the time without a heartbeat after which a grant expires, in milliseconds."""
    return timings.session_ms + run_expiry_ms(timings.endpoint_lease_ms)


class Grant:
    """The consecutive grants of one box to the owner of one zone.

    Args:
        timings: Session and lease times.
    """

    def __init__(self, timings: TimingSettings) -> None:
        self._session_ms = float(timings.session_ms)
        self._grant_timeout_ms = grant_timeout_ms(timings)
        self._heartbeat_ms = -1e12
        self._number = 0

    @property
    def number(self) -> int:
        """Number of the current grant; increases by one with each expiry."""
        return self._number

    @property
    def lapses_ms(self) -> float:
        """When all runs that the owner started for this box have ended, without a heartbeat."""
        return self._heartbeat_ms + self._grant_timeout_ms

    def session_left_ms(self, now_ms: float) -> float:
        """Return how much longer the owner may start runs of this box, in milliseconds."""
        return max(0.0, self._session_ms - self.silent_ms(now_ms))

    def has_lapsed(self, now_ms: float) -> bool:
        """Return whether all runs that the owner started for this box have certainly ended."""
        return self.silent_ms(now_ms) >= self._grant_timeout_ms

    def silent_ms(self, now_ms: float) -> float:
        """Return the milliseconds since the newest heartbeat of the owner was handled."""
        return now_ms - self._heartbeat_ms

    def renew(self, heartbeat_ms: float) -> None:
        """Renew the grant for a heartbeat handled at *heartbeat_ms*."""
        self._heartbeat_ms = heartbeat_ms

    def end(self) -> None:
        """Begin the next grant; deliveries under this one are no longer valid."""
        self._number += 1
