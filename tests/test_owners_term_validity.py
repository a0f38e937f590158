# SPDX-License-Identifier: MIT
"""An owner must notice that it was paused for a session, whichever callback comes first."""

from __future__ import annotations

from foldloom.seed_discovery.owners.term_validity import TermValidity

_SESSION_MS = 400.0
_HEARTBEAT_MS = 100.0


class TestTermValidity:
    """The times of one term."""

    def test_new_term(self) -> None:
        """A new term is valid for a session without any acknowledgement."""
        validity = TermValidity(_SESSION_MS, 0.0)
        assert validity.is_valid(_SESSION_MS - 1)
        assert not validity.is_valid(_SESSION_MS)

    def test_acknowledged_heartbeats(self) -> None:
        """Acknowledgements in time keep the term valid."""
        validity = TermValidity(_SESSION_MS, 0.0)
        for number in range(100):
            sent_ms = number * _HEARTBEAT_MS
            validity.renew(sent_ms, sent_ms + 1)
            assert validity.is_valid(sent_ms + _HEARTBEAT_MS)

    def test_acknowledgement_after_a_pause(self) -> None:
        """A pause that no check has noticed is noticed by the next acknowledgement."""
        validity = TermValidity(_SESSION_MS, 0.0)
        validity.renew(_SESSION_MS, _SESSION_MS + 1)
        assert not validity.is_valid(_SESSION_MS + 1)

    def test_confirmed(self) -> None:
        """A confirmation holds for a session from the queries, and is renewed as before."""
        validity = TermValidity(_SESSION_MS, 0.0)
        asked_ms = 2 * _SESSION_MS
        assert validity.confirm(asked_ms, asked_ms + 10)
        assert validity.is_valid(asked_ms + 10)
        assert not validity.is_valid(asked_ms + _SESSION_MS)
        validity.renew(asked_ms + _HEARTBEAT_MS, asked_ms + _HEARTBEAT_MS + 1)
        assert validity.is_valid(asked_ms + _SESSION_MS)

    def test_paused_while_asking(self) -> None:
        """Answers that were read after another pause confirm nothing."""
        validity = TermValidity(_SESSION_MS, 0.0)
        asked_ms = 2 * _SESSION_MS
        resumed_ms = asked_ms + _SESSION_MS
        validity.renew(resumed_ms, resumed_ms + 1)
        assert not validity.confirm(asked_ms, resumed_ms + 1)
        assert not validity.is_valid(resumed_ms + 1)
