# SPDX-License-Identifier: MIT
"""An owner's one task for each endpoint: it looks, renews the lease and hears of ends."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from foldloom.endpoints.calls import CallOutcome, HoldOrder, HoldReply
from foldloom.endpoints.records import EndpointRecord
from foldloom.logs import ENDPOINT_LOG
from foldloom.owners.lease import LAPSE_MARGIN_MS, EndpointClock
from foldloom.peers.wire import monotonic_ms

if TYPE_CHECKING:
    from foldloom.owners.zone_owner import ZoneOwner

_LOOK_MS = 200
_RETRY_S = 0.05
_RETRY_MAX_S = 0.4
SUSPECT_AFTER_MS = 80


class EndpointLink:
    """The owner's connection to one life of an endpoint.

    Args:
        owner: The owner.
        record: The endpoint.
    """

    def __init__(self, owner: ZoneOwner, record: EndpointRecord) -> None:
        self._owner = owner
        self.record = record
        self.clock = EndpointClock()
        self.heard_ms = monotonic_ms()
        self._seen = 0
        self._is_silent = False
        self._has_lapsed = False

    @property
    def is_silent(self) -> bool:
        """Whether the newest look got no answer."""
        return self._is_silent

    def order_until(self, now_ms: float) -> int:
        """Return the end of a new lease, by the endpoint's clock; 0 while that is not known."""
        if not self.clock.is_known:
            return 0
        return self.clock.order_until(now_ms, self._owner.lease_ms)

    def has_lapsed(self, now_ms: float) -> bool:
        """Return, once for each silence, whether everything there has ended for certain."""
        if not self._is_silent or self._has_lapsed:
            return False
        if now_ms < self.clock.lapses_by() + LAPSE_MARGIN_MS:
            return False
        # What an earlier owner ordered is not known to this clock.
        if now_ms < self.heard_ms + self._owner.lease_real_ms + LAPSE_MARGIN_MS:
            return False
        self._has_lapsed = True
        return True

    async def run(self) -> None:
        """Look again and again until the endpoint's life is over or the owner ends."""
        pause_s = _RETRY_S
        while True:
            sent_ms = monotonic_ms()
            order = self._next_order(sent_ms)
            is_first = not self.clock.is_known
            reply = await self._look(order)
            if reply.outcome is CallOutcome.DONE:
                pause_s = _RETRY_S
                self._take(reply, sent_ms)
                if not order.wait_ms and not is_first:
                    await asyncio.sleep(_RETRY_S)
                continue
            if reply.outcome is CallOutcome.FENCED:
                await self._owner.note_fenced(self.record.endpoint)
            elif reply.outcome is CallOutcome.OTHER_LIFE:
                self._owner.note_life_over(self.record.endpoint)
                return
            else:
                self._fall_silent(reply)
            await asyncio.sleep(pause_s)
            pause_s = min(pause_s * 2, _RETRY_MAX_S)

    async def _look(self, order: HoldOrder) -> HoldReply:
        """Look once; an answer that is late already costs the endpoint its trust."""
        doubt = asyncio.get_running_loop().call_later(
            (order.wait_ms + SUSPECT_AFTER_MS) / 1_000,
            self._owner.note_silent,
            self.record.endpoint,
        )
        try:
            return await self._owner.calls.hold(self.record, order)
        finally:
            doubt.cancel()

    def _next_order(self, now_ms: float) -> HoldOrder:
        renews = self.clock.is_known and self._owner.may_renew(self.record.endpoint, now_ms)
        until_ms = self.order_until(now_ms) if renews else 0
        wait_ms = _LOOK_MS if renews and not self._is_silent else 0
        return HoldOrder(self._owner.token, self._seen, until_ms, wait_ms)

    def _take(self, reply: HoldReply, sent_ms: float) -> None:
        now_ms = monotonic_ms()
        self.clock.note(reply.clock_ms, now_ms)
        self.heard_ms = now_ms
        if self._is_silent:
            ENDPOINT_LOG.event("endpoint.answers", endpoint=self.record.endpoint)
        self._is_silent = False
        self._has_lapsed = False
        fresh = tuple(end for end in reply.ended if end.sequence > self._seen)
        if fresh:
            self._seen = max(end.sequence for end in fresh)
        self._owner.take_report(self.record.endpoint, reply.active, fresh, sent_ms, now_ms)

    def _fall_silent(self, reply: HoldReply) -> None:
        if not self._is_silent:
            ENDPOINT_LOG.event(
                "endpoint.silent",
                endpoint=self.record.endpoint,
                address=self.record.address,
                detail=reply.detail,
                heard_ms_ago=int(monotonic_ms() - self.heard_ms),
            )
        self._is_silent = True
        self._owner.note_silent(self.record.endpoint)
