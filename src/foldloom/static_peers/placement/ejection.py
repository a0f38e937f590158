# SPDX-License-Identifier: MIT
"""Ejection and recovery of a shard's endpoints.

An endpoint is ejected after repeated failures, when its tasks are overdue, or when it is far
slower than its peers. It recovers by a liveness check followed by successful probe tasks.
"""

from __future__ import annotations

from collections.abc import Callable

from foldloom.static_peers.placement.health import Health
from foldloom.static_peers.placement.messages import SlotReturn
from foldloom.static_peers.placement.service_times import ServiceTimes

# Multiple of the peers' median service time above which an endpoint is ejected or a probe fails.
# It exceeds the speed ratio of old and new boxes.
_SLOW_RATIO = 4.0


class Ejection:
    """The ejected endpoints of a shard.

    Args:
        health: Health of the endpoints.
        service_times: Learned service times of the endpoints.
        emit_event: Called with a sentence for the log.
    """

    def __init__(
        self, health: Health, service_times: ServiceTimes, emit_event: Callable[[str], None]
    ) -> None:
        self._health = health
        self._service_times = service_times
        self._emit_event = emit_event
        self._eligible: set[str] = set()
        self._responsive: set[str] = set()

    @property
    def responsive(self) -> set[str]:
        """The ejected endpoints that passed a liveness check."""
        return self._responsive

    def set_endpoints(self, eligible: set[str]) -> None:
        """Set the endpoints that are eligible for placement."""
        self._eligible = eligible

    def is_ejected(self, endpoint: str) -> bool:
        """Return whether *endpoint* is ejected."""
        return self._health.is_ejected(endpoint)

    def may_probe(self, endpoint: str, now_ms: float) -> bool:
        """Return whether a probe task may be sent to the ejected *endpoint* now."""
        return endpoint in self._responsive and self._health.may_probe(endpoint, now_ms)

    def mark_responsive(self, endpoint: str) -> None:
        """Allow a probe task on an ejected endpoint that passed a liveness check."""
        self._responsive.add(endpoint)

    def due_for_liveness_check(self, now_ms: float) -> list[str]:
        """Return the ejected endpoints that are due for a liveness check."""
        return [
            endpoint
            for endpoint in self._eligible
            if self._health.is_ejected(endpoint)
            and endpoint not in self._responsive
            and self._health.may_probe(endpoint, now_ms)
        ]

    def record_unresponsive(self, endpoint: str, now_ms: float) -> None:
        """Extend the ejection of an endpoint until its next liveness check."""
        self._health.eject(endpoint, len(self._eligible), now_ms)

    def record_grant(self, endpoint: str) -> None:
        """Record a grant; on an ejected endpoint it is a probe and uses up the liveness check."""
        if self._health.is_ejected(endpoint):
            self._responsive.discard(endpoint)
            self._emit_event(f"Probing {endpoint} with one task.")

    def eject_overdue(self, endpoint: str, now_ms: float) -> None:
        """Eject *endpoint*, at least half of whose tasks are overdue."""
        if not self._health.is_ejected(endpoint):
            self._eject(endpoint, "its tasks are overdue", now_ms)

    def record_failure(self, endpoint: str, now_ms: float) -> None:
        """Record a task that failed on *endpoint* or could not be started there."""
        was_ejected = self._health.is_ejected(endpoint)
        is_ejected = self._health.record_failure(endpoint, len(self._eligible), now_ms)
        self._responsive.discard(endpoint)
        if is_ejected and not was_ejected:
            self._emit_event(f"Ejected {endpoint}: consecutive failures.")

    def record_success(self, message: SlotReturn, peer_median_ms: float, now_ms: float) -> None:
        """Eject an endpoint that is far slower than its peers, or count a successful probe.

        Args:
            message: The returned slot.
            peer_median_ms: Median of the service's mean service times over its endpoints.
            now_ms: Time on the local monotonic clock.
        """
        endpoint = message.endpoint
        slow_limit_ms = _SLOW_RATIO * peer_median_ms
        if not self._health.is_ejected(endpoint):
            if self._service_times.mean_ms(message.service, endpoint) > slow_limit_ms:
                self._eject(endpoint, "it is far slower than its peers", now_ms)
            return
        # The probe's own time counts: the mean still contains the tasks that hung.
        if message.service_ms > slow_limit_ms:
            self._health.eject(endpoint, len(self._eligible), now_ms)
            return
        self._responsive.add(endpoint)
        if self._health.record_success(endpoint):
            self._responsive.discard(endpoint)
            self._service_times.forget(endpoint)
            self._emit_event(f"{endpoint} is healthy again.")

    def _eject(self, endpoint: str, reason: str, now_ms: float) -> None:
        if self._health.eject(endpoint, len(self._eligible), now_ms):
            self._emit_event(f"Ejected {endpoint}: {reason}.")
