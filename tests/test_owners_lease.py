# SPDX-License-Identifier: MIT
"""Guards against a lease that counts as lapsed while a run may still be on the endpoint."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from foldloom.seed_discovery.owners.lease import CLOCK_DRIFT_MAX, EndpointClock, run_expiry_ms

_rates = st.floats(min_value=1.0 - CLOCK_DRIFT_MAX, max_value=1.0)
_delays = st.floats(min_value=0.0, max_value=300.0)


class TestEndpointClock:
    """An owner's bounds on an endpoint's clock."""

    @given(rate=_rates, delay=_delays, wait=st.floats(0.0, 5_000.0), lease=st.floats(1.0, 1_000.0))
    def test_bounds_err_on_the_safe_side(
        self, rate: float, delay: float, wait: float, lease: float
    ) -> None:
        """A lease is at most as long as requested and has lapsed by the computed time."""
        clock = EndpointClock()
        told_at = 1_000.0
        clock.note(50_000.0, told_at + delay)

        def reads(real_ms: float) -> float:
            return 50_000.0 + (real_ms - told_at) * rate

        now = told_at + delay + wait
        until = clock.order_until(now, lease)
        assert clock.reads_at_least(now) <= reads(now) + 1e-6
        assert until <= reads(now) + lease + 1e-6
        assert reads(clock.lapses_by()) >= until - 1e-6

    def test_remembers_the_longest_lease(self) -> None:
        """A shorter lease does not replace an earlier, longer one."""
        clock = EndpointClock()
        clock.note(1_000.0, 0.0)
        clock.order_until(0.0, 600.0)
        clock.order_until(0.0, 100.0)
        assert clock.until_ms == 1_600
        assert clock.lapses_by() >= 600.0

    def test_late_answer_does_not_turn_the_clock_back(self) -> None:
        """A delayed answer does not lower the bound."""
        clock = EndpointClock()
        clock.note(2_000.0, 100.0)
        clock.note(1_500.0, 150.0)
        assert clock.reads_at_least(150.0) > 2_000.0


class TestBound:
    """Time until an earlier owner's runs have certainly ended."""

    def test_within_the_time_of_a_resend(self) -> None:
        """With default timings a run has ended before its caller submits the job again."""
        session_ms, lease_ms, resend_ms = 400.0, 600.0, 1_300.0
        assert session_ms + run_expiry_ms(lease_ms) < resend_ms
