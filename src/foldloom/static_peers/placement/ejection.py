# SPDX-License-Identifier: MIT
"""Which endpoints of a shard are left out, and when one of them is tried again.

Owns which ejected endpoints have given a sign of life. Relies on their health and on the learned
speeds. An endpoint is left out when it fails again and again, when its tasks are overdue, or when
it is far slower than its peers; it comes back by a sign of life and tasks that probe it.
"""

from __future__ import annotations

from collections.abc import Callable

from foldloom.static_peers.placement.health import Health
from foldloom.static_peers.placement.messages import SlotReturn
from foldloom.static_peers.placement.speeds import SpeedTable

# Times its peers' mean, from which a service time counts as a failure: above the factor of two
# between old boxes and new ones.
_SICK_RATIO = 4.0


class Ejection:
    """The ejected endpoints of a shard.

    Args:
        health: The endpoints' health.
        speeds: Their learned speeds.
        report: Called with a sentence for the log.
    """

    def __init__(self, health: Health, speeds: SpeedTable, report: Callable[[str], None]) -> None:
        self._health = health
        self._speeds = speeds
        self._report = report
        self._usable: set[str] = set()
        self._proven: set[str] = set()

    @property
    def proven(self) -> set[str]:
        """The ejected endpoints that answer again."""
        return self._proven

    def follow(self, usable: set[str]) -> None:
        """Use other endpoints: *usable* are those that get work."""
        self._usable = usable

    def is_ejected(self, endpoint: str) -> bool:
        """Return whether *endpoint* is left out."""
        return self._health.is_ejected(endpoint)

    def may_probe(self, endpoint: str, now_ms: float) -> bool:
        """Return whether a task may probe the ejected *endpoint* now."""
        return endpoint in self._proven and self._health.may_probe(endpoint, now_ms)

    def prove(self, endpoint: str) -> None:
        """Note that an ejected endpoint answers again, so that a task may probe it."""
        self._proven.add(endpoint)

    def to_prove(self, now_ms: float) -> list[str]:
        """Return the ejected endpoints that are due for a sign of life."""
        return [
            endpoint
            for endpoint in self._usable
            if self._health.is_ejected(endpoint)
            and endpoint not in self._proven
            and self._health.may_probe(endpoint, now_ms)
        ]

    def note_dead(self, endpoint: str, now_ms: float) -> None:
        """Note that an ejected endpoint gave no sign of life."""
        self._health.eject(endpoint, len(self._usable), now_ms)

    def note_grant(self, endpoint: str) -> None:
        """Note that a task goes to *endpoint*; if it is ejected, the task probes it."""
        if self._health.is_ejected(endpoint):
            self._proven.discard(endpoint)
            self._report(f"Probe {endpoint} with one task.")

    def note_overdue(self, endpoint: str, now_ms: float) -> None:
        """Note that half of the tasks on *endpoint* are overdue."""
        if not self._health.is_ejected(endpoint):
            self._eject(endpoint, "its tasks are overdue", now_ms)

    def note_failure(self, endpoint: str, now_ms: float) -> None:
        """Note that a task failed on *endpoint*, or could not be started there."""
        was_ejected = self._health.is_ejected(endpoint)
        is_ejected = self._health.note_failure(endpoint, len(self._usable), now_ms)
        self._proven.discard(endpoint)
        if is_ejected and not was_ejected:
            self._report(f"Eject {endpoint}: it failed again and again.")

    def note_success(self, message: SlotReturn, peer_mean_ms: float, now_ms: float) -> None:
        """Eject an endpoint that is far slower than its peers; take one back that is not.

        Args:
            message: The slot that came back from it.
            peer_mean_ms: The median service time of its service's endpoints.
            now_ms: Own monotonic clock.
        """
        endpoint = message.endpoint
        sick_ms = _SICK_RATIO * peer_mean_ms
        if not self._health.is_ejected(endpoint):
            if self._speeds.mean_ms(message.service, endpoint) > sick_ms:
                self._eject(endpoint, "it is far slower than its peers", now_ms)
            return
        # The probe itself counts: the average still holds the tasks that hung.
        if message.service_ms > sick_ms:
            self._health.eject(endpoint, len(self._usable), now_ms)
            return
        self._proven.add(endpoint)
        if self._health.note_success(endpoint):
            self._proven.discard(endpoint)
            self._speeds.forget(endpoint)
            self._report(f"{endpoint} is well again.")

    def _eject(self, endpoint: str, why: str, now_ms: float) -> None:
        if self._health.eject(endpoint, len(self._usable), now_ms):
            self._report(f"Eject {endpoint}: {why}.")
