# SPDX-License-Identifier: MIT
"""Whether an owner may take for granted that no other box has acquired its zone.

Other boxes acquire a zone only after a silence of its owner. An owner whose session with its own
box has expired was paused for that long. Fencing may not stop it: endpoints that have started since
have seen no token.
"""

from __future__ import annotations


class TermValidity:
    """The validity of one term of an owner.

    Args:
        session_ms: Session time from the sending of an acknowledged heartbeat.
        now_ms: Start of the term; own monotonic clock.
    """

    def __init__(self, session_ms: float, now_ms: float) -> None:
        self._session_ms = session_ms
        self._valid_until_ms = now_ms + session_ms
        self._has_lapsed = False

    def is_valid(self, now_ms: float) -> bool:
        """Return whether the owner has not been paused for a session since its confirmation."""
        return not self._has_lapsed and now_ms < self._valid_until_ms

    def renew(self, heartbeat_sent_ms: float, now_ms: float) -> None:
        """Record that the owner's box acknowledged the heartbeat sent at *heartbeat_sent_ms*.

        This does not restore the validity of a term that has lapsed.
        """
        if now_ms >= self._valid_until_ms:
            self._has_lapsed = True
        self._valid_until_ms = max(self._valid_until_ms, heartbeat_sent_ms + self._session_ms)

    def confirm(self, asked_ms: float, now_ms: float) -> bool:
        """Restore the validity after no other box has answered with a higher token.

        Return ``False`` if the owner may have been paused again since it asked at *asked_ms*.
        """
        if now_ms >= asked_ms + self._session_ms:
            return False
        self._has_lapsed = False
        self._valid_until_ms = max(self._valid_until_ms, asked_ms + self._session_ms)
        return True
