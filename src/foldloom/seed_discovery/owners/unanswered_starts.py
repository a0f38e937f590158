# SPDX-License-Identifier: MIT
"""Start orders without an answer, which an endpoint may still carry out.

Such a run is stopped. An incarnation that has confirmed the stop order will not start the run
later, but the next incarnation under the same endpoint id does not know of it and could start the
run while the task runs elsewhere. So the stop order is retransmitted to each incarnation until
confirmed.
"""

from __future__ import annotations

from collections.abc import Container
from typing import NamedTuple

from foldloom.seed_discovery.jobs.spec import RunId
from foldloom.seed_discovery.owners.actions import StopAction

# Maximum delay after which an unanswered start order can still be carried out.
UNANSWERED_ORDER_TTL_MS = 12_000.0


class _UnconfirmedStart(NamedTuple):
    """A start order that may still be carried out.

    Args:
        noted_ms: When it was found to be unanswered; own monotonic clock.
        stop_sent_ms: When the stop order was last sent to the present incarnation.
        is_stop_confirmed: Whether the present incarnation has confirmed the stop order.
    """

    noted_ms: float
    stop_sent_ms: float
    is_stop_confirmed: bool = False


class UnansweredStarts:
    """The unanswered start orders of one owner's term.

    Kept independently of the endpoint's state, since an endpoint may leave and rejoin meanwhile.
    """

    def __init__(self) -> None:
        self._pending: dict[StopAction, _UnconfirmedStart] = {}

    def add(self, run_id: RunId, endpoint: str, now_ms: float) -> None:
        """Record an unanswered start order whose run is being stopped."""
        self._expire(now_ms)
        self._pending[StopAction(run_id, endpoint)] = _UnconfirmedStart(now_ms, now_ms)

    def note_stopped(self, run_id: RunId, endpoint: str) -> None:
        """Record that the present incarnation of *endpoint* has confirmed the stop order."""
        stop = StopAction(run_id, endpoint)
        unconfirmed = self._pending.get(stop)
        if unconfirmed is not None:
            self._pending[stop] = unconfirmed._replace(is_stop_confirmed=True)

    def end_incarnation(self, endpoint: str) -> None:
        """Reset the stop orders to *endpoint*: its next incarnation has received none."""
        for stop, unconfirmed in self._pending.items():
            if stop.endpoint == endpoint:
                self._pending[stop] = _UnconfirmedStart(unconfirmed.noted_ms, float("-inf"))

    def stops_due(
        self, endpoints: Container[str], sent_before_ms: float, now_ms: float
    ) -> list[StopAction]:
        """Return the stop orders to send now to *endpoints*, and record them as sent.

        Args:
            endpoints: Ids of the endpoints that answer polls.
            sent_before_ms: Orders sent at this time or later are not yet retransmitted.
            now_ms: Own monotonic clock.
        """
        self._expire(now_ms)
        due = [
            stop
            for stop, unconfirmed in self._pending.items()
            if stop.endpoint in endpoints
            and not unconfirmed.is_stop_confirmed
            and unconfirmed.stop_sent_ms < sent_before_ms
        ]
        for stop in due:
            self._pending[stop] = self._pending[stop]._replace(stop_sent_ms=now_ms)
        return due

    def _expire(self, now_ms: float) -> None:
        # Insertion order is time order.
        for stop, unconfirmed in list(self._pending.items()):
            if now_ms - unconfirmed.noted_ms < UNANSWERED_ORDER_TTL_MS:
                return
            del self._pending[stop]
