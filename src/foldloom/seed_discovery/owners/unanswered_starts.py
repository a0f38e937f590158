# SPDX-License-Identifier: MIT
"""Start orders without an answer, which an endpoint may still execute.

Such a run is stopped. An incarnation that has confirmed the stop order will not start the run
later, but the next incarnation under the same endpoint id does not know of it. Two measures apply
until the start order has expired:

- The stop order is retransmitted to each incarnation until confirmed.
- The task is bound to the endpoint: it starts on no other. An incarnation may execute the start
  order before the owner has discovered it, beside a run elsewhere. On the same endpoint, the task's
  next attempt excludes the unanswered one. The binding is reported to all boxes, since the task's
  next owner must keep to it too.

The task is free once the endpoint has refused the order, lists its run, or another id answers at
the endpoint's address. That an endpoint has reported no start time says nothing of its next
incarnation.
"""

from __future__ import annotations

from collections.abc import Container, Mapping
from typing import NamedTuple

from foldloom.seed_discovery.jobs.spec import RunId, TaskId
from foldloom.seed_discovery.owners.actions import Actions, StopAction
from foldloom.seed_discovery.owners.messages import EndpointBinding

# Maximum delay after which an unanswered start order can still be carried out.
UNANSWERED_ORDER_TTL_MS = 12_000.0


class _UnconfirmedStart(NamedTuple):
    """A start order that may still be executed.

    Args:
        expires_ms: When it can no longer be executed; own monotonic clock.
        stop_sent_ms: When the stop order was last sent to the present incarnation.
        is_stop_confirmed: Whether the present incarnation has confirmed the stop order.
    """

    expires_ms: float
    stop_sent_ms: float
    is_stop_confirmed: bool = False


class UnansweredStarts:
    """The unanswered start orders of one owner's term.

    Kept independently of the endpoint's state, since an endpoint may leave and rejoin meanwhile.

    Args:
        actions: Receives the reports of bindings.
    """

    def __init__(self, actions: Actions) -> None:
        self._actions = actions
        self._pending: dict[StopAction, _UnconfirmedStart] = {}
        self._bound_endpoints: dict[TaskId, str] = {}

    @property
    def bound_endpoints(self) -> Mapping[TaskId, str]:
        """The bound tasks, each with the only endpoint on which it may start."""
        return self._bound_endpoints

    @property
    def bindings(self) -> list[EndpointBinding]:
        """The bindings, each with its newest order."""
        newest = {
            stop.run_id.task: EndpointBinding(stop.run_id, stop.endpoint)
            for stop in self._pending
            if self._bound_endpoints.get(stop.run_id.task) == stop.endpoint
        }
        return list(newest.values())

    def add(self, run_id: RunId, endpoint: str, now_ms: float) -> None:
        """Record an unanswered start order whose run is being stopped or has ended."""
        self.expire(now_ms)
        stop = StopAction(run_id, endpoint)
        self._pending.pop(stop, None)
        expires_ms = now_ms + UNANSWERED_ORDER_TTL_MS
        self._pending[stop] = _UnconfirmedStart(expires_ms, now_ms)
        self._bind(stop)

    def adopt(self, binding: EndpointBinding, now_ms: float) -> None:
        """Record an unanswered start order of another owner, as delivered by a box.

        It is reported to all boxes, since its owner may have ended before it could do so. The stop
        order is sent later: the endpoint may list the run, which was answered unknown to the box.
        """
        stop = StopAction(binding.run_id, binding.endpoint)
        if stop in self._pending:
            return
        expires_ms = now_ms + UNANSWERED_ORDER_TTL_MS
        self._pending[stop] = _UnconfirmedStart(expires_ms, now_ms)
        self._bind(stop)

    def discard(self, run_id: RunId, endpoint: str) -> None:
        """Remove an order that *endpoint* has refused, or whose run it lists.

        An order is executed at most once.
        """
        if self._pending.pop(StopAction(run_id, endpoint), None) is None:
            return
        if run_id.task in self._bound_endpoints:
            self._actions.report(EndpointBinding(run_id, endpoint, is_lifted=True))
            self._release(run_id.task)
            for binding in self.bindings:
                if binding.run_id.task == run_id.task:
                    self._actions.report(binding)

    def discard_all(self, endpoint: str) -> None:
        """Remove all orders to *endpoint*: another id answers at its address and refuses them."""
        for run_id in [stop.run_id for stop in self._pending if stop.endpoint == endpoint]:
            self.discard(run_id, endpoint)

    def next_attempt(self, task: TaskId) -> int:
        """Return the lowest attempt of *task* that excludes its unanswered ones; 1 if none."""
        if task not in self._bound_endpoints:
            return 1
        attempts = (stop.run_id.attempt for stop in self._pending if stop.run_id.task == task)
        return max(attempts, default=0) + 1

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
                self._pending[stop] = unconfirmed._replace(
                    stop_sent_ms=float("-inf"), is_stop_confirmed=False
                )

    def expires_ms(self, endpoint: str) -> float:
        """Return when the last order to *endpoint* expires; minus infinity if there is none."""
        return max(
            (
                start.expires_ms
                for stop, start in self._pending.items()
                if stop.endpoint == endpoint
            ),
            default=float("-inf"),
        )

    def stops_due(
        self, endpoints: Container[str], sent_before_ms: float, now_ms: float
    ) -> list[StopAction]:
        """Return the stop orders to send now to *endpoints*, and record them as sent.

        Args:
            endpoints: Ids of the endpoints that answer polls.
            sent_before_ms: Orders sent at this time or later are not yet retransmitted.
            now_ms: Own monotonic clock.
        """
        self.expire(now_ms)
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

    def expire(self, now_ms: float) -> None:
        """Remove the orders that can no longer be executed."""
        # Insertion order is the order of expiry.
        while self._pending:
            stop, unconfirmed = next(iter(self._pending.items()))
            if now_ms < unconfirmed.expires_ms:
                return
            del self._pending[stop]
            self._release(stop.run_id.task)

    def _bind(self, stop: StopAction) -> None:
        self._bound_endpoints[stop.run_id.task] = stop.endpoint
        self._actions.report(EndpointBinding(stop.run_id, stop.endpoint))

    def _release(self, task: TaskId) -> None:
        """Bind *task* to the endpoint of its newest remaining order, or to none."""
        if self._bound_endpoints.pop(task, None) is None:
            return
        for stop in self._pending:
            if stop.run_id.task == task:
                self._bound_endpoints[task] = stop.endpoint
