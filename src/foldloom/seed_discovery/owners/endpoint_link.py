# SPDX-License-Identifier: MIT
"""An owner's one task for each endpoint: it polls, renews the lease and receives ends.

Owns what is known of one life of an endpoint: its clock, when it last answered, which of its ends
were received. Relies on the calls to endpoints and on its owner, which decides whether the lease
may be renewed and takes the reports.
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
from foldloom.seed_discovery.owners.lease import LAPSE_MARGIN_MS, EndpointClock

# Milliseconds that a poll waits at the endpoint for an end: a third of the 600 ms of a lease, so
# that two polls may be lost before it lapses.
_POLL_WAIT_MS = 200
# Seconds to the next poll after one without an answer, doubled up to the maximum, because an
# endpoint that restarts is back within a second, and should be found soon.
_BACKOFF_MIN_S = 0.05
# The longest such pause.
_BACKOFF_MAX_S = 0.4
# Milliseconds beyond the wait after which an unanswered call costs the endpoint new work: well
# above a round trip in the zone.
SUSPECT_AFTER_MS = 80


class LeaseTerms(NamedTuple):
    """What the leases of one owner's term are.

    Args:
        token: The owner's fencing token.
        lease_ms: How long a lease lasts, by the endpoint's clock.
        lease_real_ms: How long it lasts at most while that clock is slow.
        longest_real_ms: How long the longest lease that an endpoint gives lasts at most.
    """

    token: int
    lease_ms: float
    lease_real_ms: float
    longest_real_ms: float


class Answerer(Enum):
    """Which life of an endpoint an answer is from."""

    THIS = "this"
    NEXT = "next"
    EARLIER = "earlier"


def classify_answer(answer_born_ms: int, born_ms: int, has_answered: bool) -> Answerer:
    """Return which life an answer is from.

    The endpoint's id does not tell: it answers orders to any life that has had its id. Its answer
    is often the first that is heard of a new life, ahead of its heartbeat.

    Args:
        answer_born_ms: When the life that answers was born; 0 if it does not say.
        born_ms: When the known life was born; 0 if it has not said.
        has_answered: Whether the known life has answered before.
    """
    if not answer_born_ms or answer_born_ms == born_ms:
        return Answerer.THIS
    if not born_ms and not has_answered:
        return Answerer.THIS
    return Answerer.NEXT if answer_born_ms > born_ms else Answerer.EARLIER


class LinkOwner(Protocol):
    """What a link reports to, and asks."""

    def may_renew(self, endpoint: str, now_ms: float) -> bool:
        """Return whether the lease of *endpoint* may be renewed."""

    def handle_report(self, report: EndpointReport, now_ms: float) -> None:
        """Handle an endpoint's report."""

    def note_overdue(self, endpoint: str, call: str) -> None:
        """Note that the answer of *endpoint* to a *call* is overdue."""

    def note_silent(self, endpoint: str) -> None:
        """Note that *endpoint* does not answer."""

    def note_crashed(self, endpoint: str) -> None:
        """Note that nothing listens any more where *endpoint* did."""

    def note_life_over(self, endpoint: str, born_ms: int) -> None:
        """Note that the life of *endpoint* born at *born_ms* is over for certain."""

    def note_next_life(self, endpoint: str, born_ms: int) -> None:
        """Note that *endpoint* answers as a life born at *born_ms*, later than the known one."""

    def note_fenced(self, endpoint: str) -> None:
        """Note that *endpoint* has seen a higher token."""


class EndpointLink:
    """The owner's connection to one life of an endpoint.

    Another life gets a link of its own, so that nothing of the one before is left: its clock, the
    ends that were received, its silence.

    Args:
        record: The endpoint; while only its answers were heard, that of the life before.
        terms: The leases that the owner gives.
        calls: How endpoints are called.
        owner: Takes what the endpoint reports.
        born_ms: When this life was born; 0 if it has not said.
        replaces_previous: Whether this owner gave orders to the life before.
    """

    def __init__(
        self,
        record: EndpointRecord,
        terms: LeaseTerms,
        calls: EndpointCalls,
        owner: LinkOwner,
        born_ms: int = 0,
        replaces_previous: bool = False,
    ) -> None:
        self.record = record
        self.clock = EndpointClock()
        self.answered_ms = monotonic_ms()
        self.born_ms = born_ms
        self._terms = terms
        self._calls = calls
        self._owner = owner
        # Orders that were meant for the life before and reached this one have their leases cut to
        # the longest, whatever its clock reads.
        self._misled_until_ms = (
            self.answered_ms + terms.longest_real_ms if replaces_previous else 0.0
        )
        self._last_sequence = 0
        self._has_just_answered = False
        self._is_silent = False
        self._has_lapsed = False
        self._is_over = False

    @property
    def is_silent(self) -> bool:
        """Whether the newest poll got no answer."""
        return self._is_silent

    @property
    def is_over(self) -> bool:
        """Whether this life is over for certain: an endpoint with another id has answered."""
        return self._is_over

    def answerer(self, answer_born_ms: int) -> Answerer:
        """Return which life an answer is from; its birth is 0 if it does not say."""
        return classify_answer(answer_born_ms, self.born_ms, self.clock.is_known)

    def order_until(self, now_ms: float) -> int:
        """Return the end of a new lease, by the endpoint's clock; 0 while that is not known."""
        if not self.clock.is_known:
            return 0
        return self.clock.order_until(now_ms, self._terms.lease_ms)

    def has_lapsed(self, now_ms: float) -> bool:
        """Return, once for each silence, whether everything there has ended for certain."""
        if not self._is_silent or self._has_lapsed:
            return False
        if now_ms < self.clock.lapses_by() + LAPSE_MARGIN_MS:
            return False
        if now_ms < self._misled_until_ms + LAPSE_MARGIN_MS:
            return False
        # What an earlier owner ordered is not known to this clock.
        if now_ms < self.answered_ms + self._terms.lease_real_ms + LAPSE_MARGIN_MS:
            return False
        self._has_lapsed = True
        return True

    async def run(self) -> None:
        """Poll again and again until the endpoint's life is over or the owner's term ends."""
        pause_s = _BACKOFF_MIN_S
        while True:
            sent_ms = monotonic_ms()
            order = self._next_order(sent_ms)
            renews_next = not self.clock.is_known or self._is_silent
            reply = await self._poll(order)
            answerer = self.answerer(reply.born_ms)
            if answerer is Answerer.NEXT:
                self._owner.note_next_life(self.record.endpoint, reply.born_ms)
                return
            if reply.outcome is CallOutcome.DONE and answerer is Answerer.THIS:
                pause_s = _BACKOFF_MIN_S
                self._handle_reply(reply, sent_ms)
                if not order.wait_ms and not renews_next:
                    await self._pause(_BACKOFF_MIN_S)
                continue
            if reply.outcome is CallOutcome.FENCED:
                self._owner.note_fenced(self.record.endpoint)
            elif reply.outcome is CallOutcome.OTHER_LIFE:
                self._is_over = True
                self._owner.note_life_over(self.record.endpoint, self.born_ms)
                return
            else:
                self._note_silent(reply)
            await self._pause(pause_s)
            pause_s = min(pause_s * 2, _BACKOFF_MAX_S)

    async def _pause(self, pause_s: float) -> None:
        self._has_just_answered = False
        await asyncio.sleep(pause_s)

    async def _poll(self, order: PollOrder) -> PollReply:
        """Poll once; while an answer is overdue the endpoint gets no new work."""
        suspicion = asyncio.get_running_loop().call_later(
            (order.wait_ms + SUSPECT_AFTER_MS) / 1_000,
            self._owner.note_overdue,
            self.record.endpoint,
            "poll",
        )
        try:
            return await self._calls.poll(self.record, order)
        finally:
            suspicion.cancel()

    def _next_order(self, now_ms: float) -> PollOrder:
        """Return what to ask for next.

        A poll that gets no answer may be carried out all the same. While polls to a silent
        endpoint renewed its lease, every 650 ms at least, the 652 ms until it had lapsed for
        certain never passed, and its runs never went elsewhere; now they do in 1.2 s at most.
        """
        renews = (
            self.clock.is_known
            and not self._is_silent
            and self._owner.may_renew(self.record.endpoint, now_ms)
        )
        until_ms = self.order_until(now_ms) if renews else 0
        wait_ms = _POLL_WAIT_MS if renews else 0
        # An endpoint that restarts breaks the poll that is under way. Whoever answers the next
        # one may count its ends from 1 again, and would forget those up to the number given.
        seen = self._last_sequence if self._has_just_answered else 0
        return PollOrder(self._terms.token, seen, until_ms, wait_ms)

    def _handle_reply(self, reply: PollReply, sent_ms: float) -> None:
        now_ms = monotonic_ms()
        self.clock.note(reply.clock_ms, now_ms)
        self.answered_ms = now_ms
        self.born_ms = self.born_ms or reply.born_ms
        self._has_just_answered = True
        if self._is_silent:
            ENDPOINT_LOG.event("endpoint.answers", endpoint=self.record.endpoint)
        self._is_silent = False
        self._has_lapsed = False
        fresh = tuple(end for end in reply.ended if end.sequence > self._last_sequence)
        if fresh:
            self._last_sequence = max(end.sequence for end in fresh)
        report = EndpointReport(self.record.endpoint, reply.active, fresh, sent_ms, self.born_ms)
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
        self._owner.note_silent(self.record.endpoint)
        if reply.outcome is CallOutcome.NO_LISTENER and self.clock.is_known:
            self._owner.note_crashed(self.record.endpoint)
