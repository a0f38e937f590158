# SPDX-License-Identifier: MIT
"""Sends start and stop orders to endpoints, and logs them.

Owns the start calls in flight. A start order can't be taken back, and an unanswered one delays its
task, so it is sent only to an endpoint that has answered just before. Whether a run still has a
holder, and whether its endpoint's lease may be renewed, is checked immediately before the call.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Container

from foldloom.clock import monotonic_ms
from foldloom.logs import PLACE_LOG
from foldloom.seed_discovery.endpoints.calls import CallOutcome, CallReply, StartOrder
from foldloom.seed_discovery.jobs.spec import RunId
from foldloom.seed_discovery.owners.actions import StartAction, StopAction
from foldloom.seed_discovery.owners.context import OwnerContext
from foldloom.seed_discovery.owners.endpoint_link import (
    SUSPECT_AFTER_MS,
    AnswerSource,
    EndpointLink,
    LinkListener,
)
from foldloom.seed_discovery.owners.endpoint_links import EndpointLinks
from foldloom.seed_discovery.owners.messages import StartOrdered
from foldloom.seed_discovery.owners.sessions import Sessions
from foldloom.seed_discovery.owners.state import OwnerState
from foldloom.seed_discovery.owners.unanswered_starts import UNANSWERED_ORDER_TTL_MS
from foldloom.seed_discovery.scheduling.runs import HolderId, RunState


class OrderSender:
    """Sends the orders of one term of an owner.

    Args:
        token: The owner's fencing token.
        state: The owner's state.
        sessions: The sessions with boxes.
        links: The links to endpoints.
        context: The endpoint calls, the other boxes and the metrics.
        owner: Decides on lease renewals, and is notified of overdue calls, new incarnations and
            higher tokens.
    """

    def __init__(
        self,
        token: int,
        state: OwnerState,
        sessions: Sessions,
        links: EndpointLinks,
        context: OwnerContext,
        owner: LinkListener,
    ) -> None:
        self._token = token
        self._state = state
        self._sessions = sessions
        self._links = links
        self._calls = context.calls
        self._view = context.view
        self._metrics = context.metrics
        self._owner = owner
        self._starts: dict[asyncio.Task[None], str] = {}
        self._successor: HolderId | None = None
        self._in_flight: dict[RunId, StartOrdered] = {}
        self._is_closed = False

    def close(self) -> None:
        """Cancel the starts in flight and send no further orders."""
        self._is_closed = True
        for task in self._starts:
            task.cancel()

    def choose_successor(self, now_ms: float) -> None:
        """Choose the box to notify of start orders for runs that only this box has delivered.

        It is the zone's candidate that acquires the zone first if this box is lost.
        """
        own = self._view.own
        candidates = (
            self._sessions.holder_of(box, now_ms)
            for box in self._view.entry_boxes_in(own.zone)
            if box != own.box and not self._view.is_leaving(box)
        )
        # The candidates are sorted by rank.
        self._successor = next((holder for holder in candidates if holder is not None), None)

    def begin_start(self, action: StartAction, on_failure: Callable[[], None]) -> None:
        """Send a start order in the background.

        Call *on_failure* after the run has not started: its endpoint does not respond, or has not
        accepted the order. It is not called if the order is not sent for another reason.
        """
        task = asyncio.get_running_loop().create_task(self._start(action, on_failure))
        self._starts[task] = action.endpoint
        task.add_done_callback(self._starts.pop)

    def notify_holders_of_job(self, job_id: str) -> None:
        """Notify the holders of a job's runs in flight again: they have changed."""
        for ordered in self._in_flight.values():
            if ordered.run_id.task.job_id == job_id:
                self._notify_holders(ordered)

    async def wait_for_starts(self, endpoints: Container[str]) -> None:
        """Wait for the starts in flight to any of *endpoints*, bounded by the call timeout."""
        tasks = [task for task, endpoint in self._starts.items() if endpoint in endpoints]
        if tasks:
            await asyncio.wait(tasks)

    async def _start(self, action: StartAction, on_failure: Callable[[], None]) -> None:
        link = self._links.get(action.endpoint)
        if link is not None and not await link.is_responding():
            outcome = CallOutcome.NOT_SENT
            self._log_refusal(action, CallReply(outcome, detail="the endpoint does not respond"))
            self._state.handle_start_outcome(
                action.run_id, action.endpoint, outcome, monotonic_ms()
            )
            on_failure()
            return
        if not self._is_acknowledged(action):
            # Placed again when the box acknowledges the announcement.
            outcome = CallOutcome.NOT_SENT
            self._log_refusal(action, CallReply(outcome, detail="the endpoint is not announced"))
            self._state.handle_start_outcome(
                action.run_id, action.endpoint, outcome, monotonic_ms()
            )
            return
        now_ms = monotonic_ms()
        may_start = link is self._links.get(action.endpoint) and self._may_start(action, now_ms)
        until_ms = 0 if link is None or not may_start else link.order_until(now_ms)
        if link is None or until_ms == 0 or self._is_closed:
            self._state.handle_start_outcome(
                action.run_id, action.endpoint, CallOutcome.LATE, now_ms
            )
            return
        self._log_start(action, link, until_ms, now_ms)
        self._metrics.count("runs.started")
        ordered = StartOrdered(action.run_id, action.endpoint)
        self._notify_holders(ordered)
        self._in_flight[action.run_id] = ordered
        order = StartOrder(action.run_id, action.task_input, self._token, until_ms)
        overdue_timer = asyncio.get_running_loop().call_later(
            SUSPECT_AFTER_MS / 1_000, self._owner.note_overdue, action.endpoint, "start"
        )
        try:
            reply = await self._calls.start_run(link.record, order)
        finally:
            self._in_flight.pop(action.run_id, None)
            overdue_timer.cancel()
        self._metrics.timing("start_call_ms", monotonic_ms() - now_ms)
        now_ms = monotonic_ms()
        self._note_answerer(link, reply, now_ms)
        if reply.outcome is not CallOutcome.UNKNOWN:
            self._notify_holders(ordered._replace(is_answered=True))
        else:
            self._note_stale_start(link, now_ms)
        if reply.outcome is not CallOutcome.DONE:
            self._log_refusal(action, reply)
        if reply.outcome is CallOutcome.FENCED:
            self._owner.note_fenced(action.endpoint)
        self._state.handle_start_outcome(action.run_id, action.endpoint, reply.outcome, now_ms)
        if reply.outcome is not CallOutcome.DONE:
            on_failure()

    async def stop(self, action: StopAction) -> None:
        """Send a stop order and apply its outcome."""
        link = self._links.get(action.endpoint)
        if link is None or self._is_closed:
            return
        PLACE_LOG.event(
            "run.stopped",
            job=action.run_id.task.job_id,
            run=action.run_id.text,
            endpoint=action.endpoint,
            token=self._token,
        )
        self._metrics.count("runs.stopped")
        reply = await self._calls.stop_run(link.record, action.run_id, self._token)
        if reply.outcome is CallOutcome.FENCED:
            self._owner.note_fenced(action.endpoint)
        if self._links.get(action.endpoint) is not link:
            # A new incarnation began during the call; either one may have answered.
            return
        self._state.handle_stop_outcome(
            action.run_id, action.endpoint, reply.outcome, monotonic_ms()
        )

    def _notify_holders(self, notice: StartOrdered) -> None:
        """Notify the run's holders of a start order, or of its answer.

        If the owner's own box is the only holder, the likely successor is notified too.
        """
        run = self._state.current_run(notice.run_id.task)
        if run is None:
            return
        for holder in run.holders:
            self._sessions.queue_start(holder, notice)
        is_of_owner = all(holder.box == self._view.own.box for holder in run.holders)
        if is_of_owner and self._successor is not None:
            self._sessions.queue_owner_start(self._successor, notice)

    def _note_answerer(self, link: EndpointLink, reply: CallReply, now_ms: float) -> None:
        """Update the link's clock, or report that a later incarnation has answered."""
        answer_source = link.answer_source(reply.born_ms)
        if answer_source is AnswerSource.NEXT:
            self._owner.note_next_incarnation(link.record.endpoint, reply.born_ms)
        elif answer_source is AnswerSource.THIS and reply.clock_ms:
            link.note_answer(reply.clock_ms, now_ms)

    def _note_stale_start(self, link: EndpointLink, now_ms: float) -> None:
        """Note an unanswered start order if *link* was replaced during its call."""
        present = self._links.get(link.record.endpoint)
        if present is not None and present is not link:
            present.note_stale_order(now_ms + UNANSWERED_ORDER_TTL_MS)

    def _is_acknowledged(self, action: StartAction) -> bool:
        """Return whether the run's boxes know that it may be on its endpoint.

        They tell the next owner, which may not know the endpoint otherwise.
        """
        run = self._state.current_run(action.run_id.task)
        if run is None:
            return True
        return all(
            self._sessions.has_acknowledged(holder, action.endpoint) for holder in run.holders
        )

    def _may_start(self, action: StartAction, now_ms: float) -> bool:
        """Return whether the run is still to be started for a holder with a valid session.

        The endpoint's lease must be renewable, since a start renews it. Checked immediately before
        the call, since sessions may have expired during a pause of this process.
        """
        run = self._state.current_run(action.run_id.task)
        if run is None or run.run_id != action.run_id or run.state is not RunState.STARTING:
            return False
        has_live_holder = any(self._sessions.has_session(holder, now_ms) for holder in run.holders)
        return has_live_holder and self._owner.may_renew(action.endpoint, now_ms)

    def _log_start(
        self, action: StartAction, link: EndpointLink, until_ms: int, now_ms: float
    ) -> None:
        run = self._state.current_run(action.run_id.task)
        candidate = self._state.candidates.get(action.endpoint)
        if run is None or candidate is None:
            return
        self._metrics.timing("job_age_at_start_ms", now_ms - run.spec.arrived_ms)
        PLACE_LOG.event(
            "run.placed",
            job=action.run_id.task.job_id,
            run=action.run_id.text,
            endpoint=action.endpoint,
            born_ms=link.born_ms,
            token=self._token,
            until_ms=until_ms,
            job_age_ms=int(now_ms - run.spec.arrived_ms),
            speed=round(self._state.speed_of(action.endpoint), 2),
            free_milli=candidate.resources.free.cpu_milli,
        )

    def _log_refusal(self, action: StartAction, reply: CallReply) -> None:
        PLACE_LOG.event(
            "run.not_started",
            job=action.run_id.task.job_id,
            run=action.run_id.text,
            endpoint=action.endpoint,
            outcome=reply.outcome.value,
            detail=reply.detail,
        )
        self._metrics.count(f"starts.{reply.outcome.value}")
