# SPDX-License-Identifier: MIT
"""The owner's link to one endpoint: polls it, renews its lease and receives the ends of runs.

A link holds the state of one incarnation of the endpoint: its clock, the time of the last answer,
and the last end received. The owner decides whether the lease may be renewed.
"""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import NamedTuple, Protocol

from foldloom.clock import monotonic_ms
from foldloom.logs import ENDPOINT_LOG
from foldloom.seed_discovery.endpoints.calls import (
    CallOutcome,
    EndpointCalls,
    EndpointReport,
    PollOrder,
    PollReply,
)
from foldloom.seed_discovery.endpoints.records import EndpointRecord
from foldloom.seed_discovery.owners.lease import LAPSE_MARGIN_MS, EndpointClock, lease_within

# Long-poll wait; short enough that two polls may be lost before a lease of default length expires.
_POLL_WAIT_MS = 200
# Exponential back-off between failed polls; short, because an endpoint restarts within a second.
_BACKOFF_MIN_S = 0.05
_BACKOFF_MAX_S = 0.4
# An endpoint gets no new runs while an answer is overdue by more than this; well above a round trip
# in the zone.
SUSPECT_AFTER_MS = 80
# Age up to which an answer shows that the endpoint is responding: about a round trip in the zone.
# Runs that are placed when the answer arrives need no check.
_RECENT_ANSWER_MS = 2.0


class LeaseDurations(NamedTuple):
    """Lease durations of one owner's term.

    Args:
        token: The owner's fencing token.
        lease_ms: Duration of a lease by the endpoint's clock.
        lease_real_ms: Its longest real duration, with that clock at its slowest.
        longest_real_ms: The longest real duration of any lease that an endpoint accepts.
    """

    token: int
    lease_ms: float
    lease_real_ms: float
    longest_real_ms: float


class AnswerSource(Enum):
    """Which incarnation of an endpoint an answer is from."""

    THIS = "this"
    NEXT = "next"
    EARLIER = "earlier"


def classify_answer(answer_born_ms: int, born_ms: int, has_answered: bool) -> AnswerSource:
    """Return which incarnation an answer is from.

    Incarnations share the endpoint's id, and an answer may arrive before the first heartbeat of a
    new incarnation.

    Args:
        answer_born_ms: Start time in the answer; 0 if it has none.
        born_ms: Start time of the known incarnation; 0 if unknown.
        has_answered: Whether the known incarnation has answered before.
    """
    if not answer_born_ms or answer_born_ms == born_ms:
        return AnswerSource.THIS
    if not born_ms and not has_answered:
        return AnswerSource.THIS
    return AnswerSource.NEXT if answer_born_ms > born_ms else AnswerSource.EARLIER


class LinkListener(Protocol):
    """Receiver of a link's events; also decides on lease renewal."""

    def may_renew(self, endpoint: str, now_ms: float) -> bool:
        """Return whether the lease of *endpoint* may be renewed."""

    def lease_limit_ms(self, endpoint: str) -> float:
        """Return by when a lease of *endpoint* must have expired; infinity without a limit."""

    def handle_report(self, report: EndpointReport, now_ms: float) -> None:
        """Handle an endpoint's report."""

    def note_overdue(self, endpoint: str, call: str) -> None:
        """Handle an overdue answer of *endpoint* to a *call*."""

    def note_unresponsive(self, endpoint: str) -> None:
        """Handle an overdue answer of *endpoint* to a check before a start."""

    def note_responding(self, endpoint: str) -> None:
        """Handle an answer of *endpoint* to a check before a start."""

    def handle_unanswered_poll(self, endpoint: str) -> None:
        """Handle a failed poll of *endpoint*."""

    def handle_crash(self, endpoint: str) -> None:
        """Handle a crash of *endpoint*: nothing listens at its address any more."""

    def note_incarnation_ended(self, endpoint: str, born_ms: int) -> None:
        """Handle the certain end of the incarnation of *endpoint* started at *born_ms*."""

    def note_next_incarnation(self, endpoint: str, born_ms: int) -> None:
        """Handle an answer from a later incarnation of *endpoint*, started at *born_ms*."""

    def note_fenced(self, endpoint: str) -> None:
        """Handle a refusal by *endpoint*, which has seen a higher token."""


class EndpointLink:
    """The owner's link to one incarnation of an endpoint.

    Each incarnation gets a new link, so that no state of the previous one carries over.

    Args:
        record: The endpoint's record; the previous incarnation's until the first heartbeat.
        lease_durations: Lease durations.
        calls: Client for calls to endpoints.
        owner: Receiver of reports and events.
        born_ms: Start time of this incarnation; 0 if unknown.
        replaces_previous: Whether this owner gave orders to the previous incarnation.
        orders_until_ms: Until when unanswered orders for earlier incarnations may be executed.
    """

    def __init__(
        self,
        record: EndpointRecord,
        lease_durations: LeaseDurations,
        calls: EndpointCalls,
        owner: LinkListener,
        born_ms: int = 0,
        replaces_previous: bool = False,
        orders_until_ms: float = float("-inf"),
    ) -> None:
        self.record = record
        self.clock = EndpointClock()
        self.answered_ms = monotonic_ms()
        self.born_ms = born_ms
        # When the endpoint last responded; own monotonic clock.
        self._responded_ms = float("-inf")
        # How long the newest check took. An answer of a slow endpoint counts as recent for as long,
        # since a run that waits for the checks of several such endpoints would start on none.
        self._response_time_ms = 0.0
        self._check: asyncio.Task[bool] | None = None
        self._lease_durations = lease_durations
        self._calls = calls
        self._owner = owner
        # Until when this incarnation may execute orders meant for an earlier one. Their leases last
        # no longer than the longest that the endpoint accepts.
        self._stale_orders_until_ms = orders_until_ms
        if replaces_previous:
            self.note_stale_order(self.answered_ms)
        self._last_sequence = 0
        self._last_poll_succeeded = False
        self._is_silent = False
        self._is_expiry_taken = False
        self._is_over = False
        self._is_lease_limited = False

    @property
    def is_silent(self) -> bool:
        """Whether the newest poll failed."""
        return self._is_silent

    @property
    def is_over(self) -> bool:
        """Whether this incarnation has certainly ended.

        Another id answered at its address, or nothing listens there after it has deregistered.
        """
        return self._is_over

    @property
    def orders_until_ms(self) -> float:
        """Until when the next incarnation may execute start orders meant for an earlier one."""
        return self._stale_orders_until_ms

    def note_stale_order(self, until_ms: float) -> None:
        """Record that an order for an earlier incarnation may be executed until *until_ms*."""
        self._stale_orders_until_ms = max(self._stale_orders_until_ms, until_ms)

    def answer_source(self, answer_born_ms: int) -> AnswerSource:
        """Return which incarnation an answer with this start time (0 if none) is from."""
        return classify_answer(answer_born_ms, self.born_ms, self.clock.is_known)

    def order_until(self, now_ms: float) -> int:
        """Return the expiry of a new lease by the endpoint's clock.

        0 while that clock is unknown, and if the owner allows no lease any more.
        """
        if not self.clock.is_known:
            return 0
        limit_ms = self._owner.lease_limit_ms(self.record.endpoint)
        self._note_lease_limit(limit_ms, now_ms)
        lease_ms = lease_within(self._lease_durations.lease_ms, limit_ms - now_ms)
        return 0 if lease_ms <= 0 else self.clock.order_until(now_ms, lease_ms)

    def _note_lease_limit(self, limit_ms: float, now_ms: float) -> None:
        """Log that the endpoint's lease is limited, or is not limited any more."""
        is_limited = limit_ms < float("inf")
        if is_limited == self._is_lease_limited:
            return
        self._is_lease_limited = is_limited
        endpoint, token = self.record.endpoint, self._lease_durations.token
        if not is_limited:
            ENDPOINT_LOG.event("lease.unlimited", endpoint=endpoint, token=token)
            return
        left_ms = int(max(0.0, limit_ms - now_ms))
        ENDPOINT_LOG.event("lease.limited", endpoint=endpoint, token=token, left_ms=left_ms)

    def take_lease_expiry(self, now_ms: float) -> bool:
        """Return whether all leases have certainly expired; true once until the next answer."""
        if not self._is_silent or self._is_expiry_taken:
            return False
        if now_ms < self.clock.lapses_by() + LAPSE_MARGIN_MS:
            return False
        longest_real_ms = self._lease_durations.longest_real_ms
        if now_ms < self._stale_orders_until_ms + longest_real_ms + LAPSE_MARGIN_MS:
            return False
        # Leases ordered by an earlier owner are not covered by this clock.
        if now_ms < self.answered_ms + self._lease_durations.lease_real_ms + LAPSE_MARGIN_MS:
            return False
        self._is_expiry_taken = True
        return True

    def note_answer(self, clock_ms: float, now_ms: float) -> None:
        """Record an answer of this incarnation that shows that it is responding.

        Args:
            clock_ms: The endpoint's clock in the answer.
            now_ms: When the answer was received; own monotonic clock.
        """
        responded_ms = now_ms - self.clock.reading_age_ms(clock_ms, now_ms)
        self._responded_ms = max(self._responded_ms, responded_ms)
        self.clock.note(clock_ms, now_ms)

    async def is_responding(self) -> bool:
        """Return whether the endpoint has responded just now, or answers a check in time.

        Concurrent callers share one check. It goes on after they have stopped waiting, so that an
        endpoint that is only slow gets runs again at its answer.
        """
        if monotonic_ms() - self._responded_ms <= max(_RECENT_ANSWER_MS, self._response_time_ms):
            return True
        check = self._check
        if check is None or check.done():
            check = self._check = asyncio.create_task(self._check_response())
        await asyncio.wait({check}, timeout=SUSPECT_AFTER_MS / 1_000)
        return check.done() and not check.cancelled() and check.result()

    def close(self) -> None:
        """Cancel the check, if any: this link has been replaced, or its owner's term is over."""
        if self._check is not None:
            self._check.cancel()

    async def run(self) -> None:
        """Poll until cancelled, or until this incarnation has ended or been replaced."""
        backoff_s = _BACKOFF_MIN_S
        while True:
            sent_ms = monotonic_ms()
            order = self._next_order(sent_ms)
            renews_next = not self.clock.is_known or self._is_silent
            reply = await self._poll(order)
            answer_source = self.answer_source(reply.born_ms)
            if answer_source is AnswerSource.NEXT:
                self._owner.note_next_incarnation(self.record.endpoint, reply.born_ms)
                return
            if reply.outcome is CallOutcome.DONE and answer_source is AnswerSource.THIS:
                backoff_s = _BACKOFF_MIN_S
                self._handle_reply(reply, sent_ms)
                if not order.wait_ms and not renews_next:
                    await self._pause(_BACKOFF_MIN_S)
                continue
            if reply.outcome is CallOutcome.FENCED:
                self._owner.note_fenced(self.record.endpoint)
            elif self._shows_end(reply.outcome):
                self._end()
                return
            else:
                self._note_silent(reply)
            await self._pause(backoff_s)
            backoff_s = min(backoff_s * 2, _BACKOFF_MAX_S)

    async def _check_response(self) -> bool:
        """Poll without effect on the endpoint; return whether this incarnation answers."""
        endpoint = self.record.endpoint
        order = PollOrder(self._lease_durations.token, 0, 0, 0)
        sent_ms = monotonic_ms()
        overdue_timer = asyncio.get_running_loop().call_later(
            SUSPECT_AFTER_MS / 1_000, self._owner.note_unresponsive, endpoint
        )
        try:
            reply = await self._calls.poll(self.record, order)
        finally:
            overdue_timer.cancel()
        answer_source = self.answer_source(reply.born_ms)
        if answer_source is AnswerSource.NEXT:
            self._owner.note_next_incarnation(endpoint, reply.born_ms)
            return False
        if reply.outcome is CallOutcome.FENCED:
            self._owner.note_fenced(endpoint)
        elif self._shows_end(reply.outcome):
            self._end()
        elif reply.outcome is CallOutcome.DONE and answer_source is AnswerSource.THIS:
            now_ms = monotonic_ms()
            self.clock.note(reply.clock_ms, now_ms)
            self._responded_ms = now_ms
            self._response_time_ms = now_ms - sent_ms
            self._owner.note_responding(endpoint)
            return True
        self._owner.note_unresponsive(endpoint)
        return False

    def _shows_end(self, outcome: CallOutcome) -> bool:
        """Return whether *outcome* shows that this incarnation has certainly ended."""
        if outcome is CallOutcome.NO_LISTENER:
            return self.record.has_left
        return outcome is CallOutcome.OTHER_LIFE

    def _end(self) -> None:
        """Report that this incarnation has ended."""
        self._is_over = True
        self._owner.note_incarnation_ended(self.record.endpoint, self.born_ms)

    async def _pause(self, backoff_s: float) -> None:
        self._last_poll_succeeded = False
        await asyncio.sleep(backoff_s)

    async def _poll(self, order: PollOrder) -> PollReply:
        """Poll once; report the answer as overdue if it takes too long."""
        overdue_timer = asyncio.get_running_loop().call_later(
            (order.wait_ms + SUSPECT_AFTER_MS) / 1_000,
            self._owner.note_overdue,
            self.record.endpoint,
            "poll",
        )
        try:
            return await self._calls.poll(self.record, order)
        finally:
            overdue_timer.cancel()

    def _next_order(self, now_ms: float) -> PollOrder:
        """Return the next poll.

        Polls to a silent endpoint do not renew its lease: they may still be carried out, and the
        lease would never expire.
        """
        renews = not self._is_silent and self._owner.may_renew(self.record.endpoint, now_ms)
        until_ms = self.order_until(now_ms) if renews else 0
        wait_ms = _POLL_WAIT_MS if until_ms else 0
        # After a failed poll, the next answer may come from a new incarnation, which numbers its
        # ends from 1 again and would drop those up to an acknowledged number.
        seen = self._last_sequence if self._last_poll_succeeded else 0
        return PollOrder(self._lease_durations.token, seen, until_ms, wait_ms)

    def _handle_reply(self, reply: PollReply, sent_ms: float) -> None:
        now_ms = monotonic_ms()
        new_ends = tuple(end for end in reply.ended if end.sequence > self._last_sequence)
        if new_ends:
            self.note_answer(reply.clock_ms, now_ms)
        else:
            # The poll may have been sent long ago, and an idle endpoint can well be checked.
            self.clock.note(reply.clock_ms, now_ms)
        self.answered_ms = now_ms
        self.born_ms = self.born_ms or reply.born_ms
        self._last_poll_succeeded = True
        if self._is_silent:
            ENDPOINT_LOG.event("endpoint.answers", endpoint=self.record.endpoint)
        self._is_silent = False
        self._is_expiry_taken = False
        if new_ends:
            self._last_sequence = max(end.sequence for end in new_ends)
        report = EndpointReport(self.record.endpoint, reply.active, new_ends, sent_ms, self.born_ms)
        self._owner.handle_report(report, now_ms)

    def _note_silent(self, reply: PollReply) -> None:
        if not self._is_silent:
            ENDPOINT_LOG.event(
                "endpoint.silent",
                endpoint=self.record.endpoint,
                address=self.record.address,
                detail=reply.detail,
                heard_ms_ago=int(monotonic_ms() - self.answered_ms),
            )
        self._is_silent = True
        self._owner.handle_unanswered_poll(self.record.endpoint)
        if reply.outcome is CallOutcome.NO_LISTENER and self.clock.is_known:
            self._owner.handle_crash(self.record.endpoint)
