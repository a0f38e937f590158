# SPDX-License-Identifier: MIT
"""Simulated zones whose endpoints restart under new ids.

A new endpoint has seen no fencing token. Its record is told to chosen boxes only, or late. Another
id answers at the address of the previous one.
"""

from __future__ import annotations

import asyncio
import contextvars
from collections.abc import Callable, Iterable
from typing import Any

from foldloom.clock import monotonic_ms
from foldloom.seed_discovery.endpoints.calls import (
    CallOutcome,
    CallReply,
    PollOrder,
    PollReply,
)
from foldloom.seed_discovery.endpoints.records import EndpointRecord
from models.endpoint_world import SimulatedEndpoint
from models.settled_zones import SettledZonesWorld
from models.virtual_time import PausableLoop

_CLOCK_RATE = 0.98


class ReplacedEndpointsWorld(SettledZonesWorld):
    """Zones whose endpoints can restart under new ids."""

    def __init__(self, seed: int, loop: PausableLoop) -> None:
        super().__init__(seed, loop)
        self.replaced: set[str] = set()
        self._replaced_count = 0

    def replace_endpoint(self, name: str) -> EndpointRecord:
        """Restart an endpoint under a new id; return its record, of which no box has heard."""
        previous = next(record for record in self.records if record.endpoint == name)
        self.replaced.add(name)
        self.endpoints[name].active.clear()
        self._replaced_count += 1
        successor = f"{name}-r{self._replaced_count}"
        self.births[successor] = int(monotonic_ms())
        self.endpoints[successor] = SimulatedEndpoint(successor, _CLOCK_RATE, monotonic_ms())
        record = previous._replace(endpoint=successor, sequence=1, born_ms=self.births[successor])
        # Boxes that start later hear of it when they join a controller.
        self.records = [record if known == previous else known for known in self.records]
        return record

    def replace_endpoints(self, zone: str) -> list[EndpointRecord]:
        """Restart all endpoints of *zone* under new ids; return their records."""
        names = [record.endpoint for record in self.records if record.zone == zone]
        return [self.replace_endpoint(name) for name in names]

    def tell_boxes(self, records: Iterable[EndpointRecord], boxes: Iterable[str]) -> None:
        """Have a controller forward *records* to *boxes* only."""
        boxes = list(boxes)
        for record in records:
            for box in boxes:
                merge = self.boxes[box].merge_record
                self.turns.deliver(self.context_of(box), merge, record)

    def tell_late(
        self, records: Iterable[EndpointRecord], boxes: Iterable[str], after_s: float
    ) -> None:
        """Have a controller forward *records* to *boxes* after *after_s* seconds."""
        told = list(records), list(boxes)
        self._call_later(after_s, lambda: self.tell_boxes(*told))

    def order(
        self,
        context: contextvars.Context,
        box: str,
        endpoint: str,
        carry_out: Callable[[], CallReply],
    ) -> asyncio.Future[CallReply]:
        """Deliver an order; another id answers at the address of a replaced endpoint."""

        def carry_out_if_present() -> CallReply:
            if endpoint in self.replaced:
                return CallReply(CallOutcome.OTHER_LIFE)
            return carry_out()

        return super().order(context, box, endpoint, carry_out_if_present)

    def poll(
        self, context: contextvars.Context, box: str, endpoint: str, order: PollOrder
    ) -> asyncio.Future[PollReply]:
        """Deliver a poll; another id answers at the address of a replaced endpoint."""
        if endpoint not in self.replaced or not self._can_receive(context, box, endpoint):
            return super().poll(context, box, endpoint, order)
        reply: asyncio.Future[PollReply] = self.loop.create_future()
        answer = PollReply(CallOutcome.OTHER_LIFE)
        self._deliver_reply(context, box, endpoint, reply, answer)
        return reply

    def _deliver_reply(
        self,
        context: contextvars.Context,
        box: str,
        endpoint: str,
        reply: asyncio.Future[Any],
        answer: object,
    ) -> None:
        """Deliver a reply; the connection to a replaced endpoint has ended."""
        is_from_replaced = endpoint in self.replaced and isinstance(answer, CallReply | PollReply)
        if is_from_replaced and answer.outcome is not CallOutcome.OTHER_LIFE:
            answer = answer._replace(outcome=CallOutcome.UNKNOWN)
        super()._deliver_reply(context, box, endpoint, reply, answer)
