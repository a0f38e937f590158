# SPDX-License-Identifier: MIT
"""Which endpoints are sick: ejected on failures, on tasks overdue, or far slower than peers.

Owns the failures and ejections of a shard's endpoints. Relies on its caller for the time.

An ejected endpoint gets one task at a time as a probe; no more than a set share is ejected.
"""

from __future__ import annotations

from typing import NamedTuple

# Failures in a row after which an endpoint is left out.
_FAILURES_TO_EJECT = 3
# Probes in a row that must succeed before it is trusted again.
_PROBE_SUCCESSES = 2


class EndpointHealth(NamedTuple):
    """What is known of one endpoint's health.

    Args:
        failures: Failures in a row.
        ejected_until_ms: While ejected, when the next probe may go; else 0.
        successes: Probes in a row that went well.
    """

    failures: int = 0
    ejected_until_ms: float = 0.0
    successes: int = 0


_HEALTHY = EndpointHealth()


class Health:
    """The health of a shard's endpoints.

    Args:
        ejection_ms: How long until an ejected endpoint is probed.
        share_max: The most endpoints ejected at a time, as a share.
    """

    def __init__(self, ejection_ms: int, share_max: float) -> None:
        self._ejection_ms = ejection_ms
        self._share_max = share_max
        self._states: dict[str, EndpointHealth] = {}

    def is_ejected(self, endpoint: str) -> bool:
        """Return whether *endpoint* is ejected."""
        return self._states.get(endpoint, _HEALTHY).ejected_until_ms > 0

    def may_probe(self, endpoint: str, now_ms: float) -> bool:
        """Return whether an ejected *endpoint* is due for a probe."""
        return now_ms >= self._states.get(endpoint, _HEALTHY).ejected_until_ms

    def record_success(self, endpoint: str) -> bool:
        """Note a task that went well; return whether *endpoint* is trusted again for it."""
        state = self._states.get(endpoint)
        if state is None:
            return False
        if not state.ejected_until_ms:
            del self._states[endpoint]
            return False
        successes = state.successes + 1
        if successes >= _PROBE_SUCCESSES:
            del self._states[endpoint]
            return True
        self._states[endpoint] = state._replace(successes=successes, ejected_until_ms=1.0)
        return False

    def record_failure(self, endpoint: str, endpoint_count: int, now_ms: float) -> bool:
        """Note a failure; return whether *endpoint* is ejected for it."""
        state = self._states.get(endpoint, _HEALTHY)
        failures = state.failures + 1
        self._states[endpoint] = state._replace(failures=failures, successes=0)
        if state.ejected_until_ms:
            return self.eject(endpoint, endpoint_count, now_ms)
        if failures < _FAILURES_TO_EJECT:
            return False
        return self.eject(endpoint, endpoint_count, now_ms)

    def eject(self, endpoint: str, endpoint_count: int, now_ms: float) -> bool:
        """Eject *endpoint* unless too many are; return whether it is ejected."""
        state = self._states.get(endpoint, _HEALTHY)
        ejected = sum(1 for other in self._states.values() if other.ejected_until_ms)
        if not state.ejected_until_ms and ejected + 1 > endpoint_count * self._share_max:
            return False
        until_ms = now_ms + self._ejection_ms
        self._states[endpoint] = state._replace(ejected_until_ms=until_ms, successes=0)
        return True
