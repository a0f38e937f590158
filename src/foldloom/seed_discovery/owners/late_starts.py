# SPDX-License-Identifier: MIT
"""Orders to start that got no answer, and that may still be carried out.

Owns the list of them, for as long as each may come. Relies on nothing but the types of orders.

Such a run is given up and stopped: a life that was told to stop a run that is not there keeps it
from starting later. The next life under the id has been told nothing and carries the order out as
its own, while the task runs elsewhere. So each life is told, again and again until it answers.
"""

from __future__ import annotations

from collections.abc import Container
from typing import NamedTuple

from foldloom.seed_discovery.jobs.spec import RunId
from foldloom.seed_discovery.owners.actions import StopAction

# Milliseconds for which an order to start that got no answer may still be carried out: the longest
# delay that the users' platform names for it.
LATE_ORDER_MAX_MS = 12_000.0


class _UnconfirmedStart(NamedTuple):
    """An order that may still be carried out.

    Args:
        noted_ms: When it was known to have got no answer; own monotonic clock.
        stop_sent_ms: When the present life was last ordered to stop its run.
        is_stop_confirmed: Whether the present life has said that it does.
    """

    noted_ms: float
    stop_sent_ms: float
    is_stop_confirmed: bool = False


class LateStarts:
    """The orders of one owner's term that may still be carried out.

    They outlive what is known of an endpoint, which may leave and begin again in the meantime.
    """

    def __init__(self) -> None:
        self._pending: dict[StopAction, _UnconfirmedStart] = {}

    def note(self, run_id: RunId, endpoint: str, now_ms: float) -> None:
        """Note an order that got no answer; its run is being stopped."""
        self._expire(now_ms)
        self._pending[StopAction(run_id, endpoint)] = _UnconfirmedStart(now_ms, now_ms)

    def note_stopped(self, run_id: RunId, endpoint: str) -> None:
        """Note that the present life of *endpoint* keeps the run from starting."""
        stop = StopAction(run_id, endpoint)
        late = self._pending.get(stop)
        if late is not None:
            self._pending[stop] = late._replace(is_stop_confirmed=True)

    def end_life(self, endpoint: str) -> None:
        """Note that whatever a life of *endpoint* was told, the next one does not know."""
        for stop, late in self._pending.items():
            if stop.endpoint == endpoint:
                self._pending[stop] = _UnconfirmedStart(late.noted_ms, float("-inf"))

    def stops_due(
        self, endpoints: Container[str], sent_before_ms: float, now_ms: float
    ) -> list[StopAction]:
        """Return the stops due for retransmission to *endpoints*.

        Args:
            endpoints: The ids of those that answer now.
            sent_before_ms: One that was sent later may still be answered.
            now_ms: Own monotonic clock.
        """
        self._expire(now_ms)
        due = [
            stop
            for stop, late in self._pending.items()
            if stop.endpoint in endpoints
            and not late.is_stop_confirmed
            and late.stop_sent_ms < sent_before_ms
        ]
        for stop in due:
            self._pending[stop] = self._pending[stop]._replace(stop_sent_ms=now_ms)
        return due

    def _expire(self, now_ms: float) -> None:
        # In the order of their times.
        for stop, late in list(self._pending.items()):
            if now_ms - late.noted_ms < LATE_ORDER_MAX_MS:
                return
            del self._pending[stop]
