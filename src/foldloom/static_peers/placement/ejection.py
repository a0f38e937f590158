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
_SLOW_RATIO = 4.0


class Ejection:
    """The ejected endpoints of a shard.

    Args:
        health: The endpoints' health.
        speeds: Their learned speeds.
        report: Called with a sentence for the log.
    """

    def __init__(
        self, health: Health, speeds: SpeedTable, emit_event: Callable[[str], None]
    ) -> None:
        self._health = health
        self._speeds = speeds
        self._emit_event = emit_event
        self._usable: set[str] = set()
        self._responsive: set[str] = set()

    @property
    def responsive(self) -> set[str]:
        """The ejected endpoints that answer again."""
        return self._responsive

    def follow(self, usable: set[str]) -> None:
        """Use other endpoints: *usable* are those that get work."""
        self._usable = usable

    def is_ejected(self, endpoint: str) -> bool:
        """Return whether *endpoint* is left out."""
        return self._health.is_ejected(endpoint)

    def may_probe(self, endpoint: str, now_ms: float) -> bool:
        """Return whether a task may probe the ejected *endpoint* now."""
        return endpoint in self._responsive and self._health.may_probe(endpoint, now_ms)

    def mark_responsive(self, endpoint: str) -> None:
        """Note that an ejected endpoint answers again, so that a task may probe it."""
        self._responsive.add(endpoint)

    def due_for_liveness_check(self, now_ms: float) -> list[str]:
        """Return the ejected endpoints that are due for a sign of life."""
        return [
            endpoint
            for endpoint in self._usable
            if self._health.is_ejected(endpoint)
            and endpoint not in self._responsive
            and self._health.may_probe(endpoint, now_ms)
        ]

    def record_unresponsive(self, endpoint: str, now_ms: float) -> None:
        """Note that an ejected endpoint gave no sign of life."""
        self._health.eject(endpoint, len(self._usable), now_ms)

    def record_grant(self, endpoint: str) -> None:
        """Note that a task goes to *endpoint*; if it is ejected, the task probes it."""
        if self._health.is_ejected(endpoint):
            self._responsive.discard(endpoint)
            self._emit_event(f"Probe {endpoint} with one task.")

    def note_overdue(self, endpoint: str, now_ms: float) -> None:
        """Note that half of the tasks on *endpoint* are overdue."""
        if not self._health.is_ejected(endpoint):
            self._eject(endpoint, "its tasks are overdue", now_ms)

    def record_failure(self, endpoint: str, now_ms: float) -> None:
        """Note that a task failed on *endpoint*, or could not be started there."""
        was_ejected = self._health.is_ejected(endpoint)
        is_ejected = self._health.record_failure(endpoint, len(self._usable), now_ms)
        self._responsive.discard(endpoint)
        if is_ejected and not was_ejected:
            self._emit_event(f"Eject {endpoint}: it failed again and again.")

    def record_success(self, message: SlotReturn, peer_mean_ms: float, now_ms: float) -> None:
        """Eject an endpoint that is far slower than its peers; take one back that is not.

        Args:
            message: The slot that came back from it.
            peer_mean_ms: The median service time of its service's endpoints.
            now_ms: Own monotonic clock.
        """
        endpoint = message.endpoint
        slow_limit_ms = _SLOW_RATIO * peer_mean_ms
        if not self._health.is_ejected(endpoint):
            if self._speeds.mean_ms(message.service, endpoint) > slow_limit_ms:
                self._eject(endpoint, "it is far slower than its peers", now_ms)
            return
        # The probe itself counts: the average still holds the tasks that hung.
        if message.service_ms > slow_limit_ms:
            self._health.eject(endpoint, len(self._usable), now_ms)
            return
        self._responsive.add(endpoint)
        if self._health.record_success(endpoint):
            self._responsive.discard(endpoint)
            self._speeds.forget(endpoint)
            self._emit_event(f"{endpoint} is well again.")

    def _eject(self, endpoint: str, why: str, now_ms: float) -> None:
        if self._health.eject(endpoint, len(self._usable), now_ms):
            self._emit_event(f"Eject {endpoint}: {why}.")
