# SPDX-License-Identifier: MIT
"""When the boxes that hold the runs of a zone were last known to be alive.

The owner of the zone knows this from the acknowledgements of its heartbeats. Its heartbeats say so
to all boxes, one of which is the next owner: that one finds runs on endpoints before it has heard
of their boxes, which may have been lost before the owner.
"""

from __future__ import annotations

from foldloom.peers.incarnations import UnorderedIncarnations
from foldloom.seed_discovery.fleet.messages import OwnerHeartbeat

NEVER_MS = float("-inf")
_NOT_KNOWN = -1


def encode_unconfirmed(confirmed_ms: float, now_ms: float) -> int:
    """Return ``unconfirmed_ms`` of a heartbeat that is sent at *now_ms*."""
    if confirmed_ms == NEVER_MS:
        return _NOT_KNOWN
    return max(0, int(now_ms - confirmed_ms) + 1)


class HolderConfirmations:
    """What the heartbeats of a zone's owner say of the boxes that hold the zone's runs."""

    def __init__(self) -> None:
        self._heartbeat_ages = UnorderedIncarnations()
        self._confirmed_ms = NEVER_MS

    @property
    def confirmed_ms(self) -> float:
        """When all of these boxes were last known to be alive; :data:`NEVER_MS` if not known."""
        return self._confirmed_ms

    def note(self, heartbeat: OwnerHeartbeat, now_ms: float) -> None:
        """Record a heartbeat of the present owner, received at *now_ms*."""
        owner = heartbeat.owner
        age_ms = self._heartbeat_ages.record(
            owner.box, owner.incarnation, heartbeat.sent_ms, now_ms
        )
        if heartbeat.unconfirmed_ms == _NOT_KNOWN or age_ms is None:
            self._confirmed_ms = NEVER_MS
            return
        self._confirmed_ms = now_ms - age_ms - heartbeat.unconfirmed_ms
