# SPDX-License-Identifier: MIT
"""Failure counts and ejection state of a shard's endpoints.

An ejected endpoint is probed with one task at a time. The share of ejected endpoints is bounded.
"""

from __future__ import annotations

from typing import NamedTuple

# Consecutive failures before an endpoint is ejected.
_FAILURES_TO_EJECT = 3
# Consecutive successful probes before an ejected endpoint is restored.
_PROBE_SUCCESSES = 2


class EndpointHealth(NamedTuple):
    """Health of one endpoint.

    Args:
        failures: Consecutive failures.
        ejected_until_ms: Earliest time of the next probe while ejected; 0 otherwise.
        successes: Consecutive successful probes.
    """

    failures: int = 0
    ejected_until_ms: float = 0.0
    successes: int = 0


_HEALTHY = EndpointHealth()


class Health:
    """Health of a shard's endpoints.

    Args:
        ejection_ms: Time until an ejected endpoint is probed.
        share_max: Largest share of endpoints that may be ejected at once.
    """

    def __init__(self, ejection_ms: int, share_max: float) -> None:
        self._ejection_ms = ejection_ms
        self._share_max = share_max
        self._states: dict[str, EndpointHealth] = {}

    def is_ejected(self, endpoint: str) -> bool:
        """Return whether *endpoint* is ejected."""
        return self._states.get(endpoint, _HEALTHY).ejected_until_ms > 0

    def may_probe(self, endpoint: str, now_ms: float) -> bool:
        """Return whether the ejected *endpoint* is due for a probe."""
        return now_ms >= self._states.get(endpoint, _HEALTHY).ejected_until_ms

    def record_success(self, endpoint: str) -> bool:
        """Record a successful task; return whether it ends the endpoint's ejection."""
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
        """Record a failure; return whether *endpoint* is ejected as a result."""
        state = self._states.get(endpoint, _HEALTHY)
        failures = state.failures + 1
        self._states[endpoint] = state._replace(failures=failures, successes=0)
        if state.ejected_until_ms:
            return self.eject(endpoint, endpoint_count, now_ms)
        if failures < _FAILURES_TO_EJECT:
            return False
        return self.eject(endpoint, endpoint_count, now_ms)

    def eject(self, endpoint: str, endpoint_count: int, now_ms: float) -> bool:
        """Eject *endpoint* unless the limit is reached; return whether it is ejected."""
        state = self._states.get(endpoint, _HEALTHY)
        ejected = sum(1 for other in self._states.values() if other.ejected_until_ms)
        if not state.ejected_until_ms and ejected + 1 > endpoint_count * self._share_max:
            return False
        until_ms = now_ms + self._ejection_ms
        self._states[endpoint] = state._replace(ejected_until_ms=until_ms, successes=0)
        return True
