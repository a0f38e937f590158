# SPDX-License-Identifier: MIT
"""Guards against a grant that lapses too early or is mistaken for an earlier one."""

from __future__ import annotations

from foldloom.seed_discovery.owners.grant import Grant, grant_timeout_ms
from foldloom.settings import TimingSettings

_TIMINGS = TimingSettings()
_HEARTBEAT_MS = 1_000.0
_LAPSES_MS = _HEARTBEAT_MS + grant_timeout_ms(_TIMINGS)


class TestGrant:
    """Expiry and numbers of grants."""

    def test_never_heard(self) -> None:
        """Without any heartbeat the grant has lapsed."""
        grant = Grant(_TIMINGS)
        assert grant.has_lapsed(0.0)
        assert grant.session_left_ms(0.0) == 0.0

    def test_lapses_after_the_right_and_every_lease(self) -> None:
        """The session ends first; the grant lapses only after every lease."""
        grant = Grant(_TIMINGS)
        grant.renew(_HEARTBEAT_MS)
        assert grant.session_left_ms(_HEARTBEAT_MS + 100.0) == _TIMINGS.session_ms - 100.0
        assert grant.session_left_ms(_HEARTBEAT_MS + _TIMINGS.session_ms) == 0.0
        assert _HEARTBEAT_MS + _TIMINGS.session_ms + _TIMINGS.endpoint_lease_ms < _LAPSES_MS
        assert not grant.has_lapsed(_LAPSES_MS - 1.0)
        assert grant.has_lapsed(_LAPSES_MS)

    def test_another_one_has_another_number(self) -> None:
        """The grant after a lapse has another number."""
        grant = Grant(_TIMINGS)
        grant.renew(_HEARTBEAT_MS)
        before = grant.number
        grant.end()
        grant.renew(_LAPSES_MS)
        assert grant.number != before
        assert not grant.has_lapsed(_LAPSES_MS)
