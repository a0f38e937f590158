# SPDX-License-Identifier: MIT
"""Owner election of a zone: follows the owner, queries witnesses, acquires, steps down.

An owner that may have been replaced during a pause is confirmed by the same witnesses.

Holds the newest known owner and, while this box owns the zone, the current term. The rules are in
:mod:`foldloom.seed_discovery.owners.election`.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import NamedTuple

from foldloom.clock import monotonic_ms
from foldloom.exceptions import PeerUnreachableError
from foldloom.logs import PLACE_LOG
from foldloom.peers.wire import PeerNetwork
from foldloom.seed_discovery.fleet.messages import (
    HigherToken,
    OwnerAnswer,
    OwnerHeartbeat,
    OwnerQuery,
    OwnerRecord,
    TakeOver,
)
from foldloom.seed_discovery.fleet.view import FleetView
from foldloom.seed_discovery.owners.election import (
    WitnessAnswers,
    candidate_rank,
    may_acquire,
    new_box_bits,
    next_token,
    silence_timeout_ms,
    token_above,
)
from foldloom.seed_discovery.owners.zone_owner import ZoneOwner
from foldloom.settings import TimingSettings

# Small against the silence timeout of an owner.
_CHECK_S = 0.03
# Well above a round trip between zones; a dead witness delays the election by this.
_QUERY_TIMEOUT_MS = 120
# Shorter for the silent owner itself, which is most likely dead.
_OWNER_QUERY_TIMEOUT_MS = 30
# The count of fencing refusals restarts after this time, so that later token steps are small again.
_FENCED_COUNT_RESET_MS = 5_000.0
# After more refusals in a row, the full silence timeout applies before acquiring again.
_FENCED_MAX = 6


class _SuccessorCheck(NamedTuple):
    """Whether witnesses know a successor of an owner.

    Args:
        asked: Number of witnesses queried.
        answered: Number of answers received.
        successor: The first answer with a higher token, if any.
    """

    asked: int
    answered: int
    successor: OwnerAnswer | None


class Elector:
    """Follows the owner of this box's zone, or acquires the zone when the owner is gone.

    Args:
        view: The other boxes.
        network: Connections to the other boxes.
        timings: Intervals and timeouts.
        make_owner: Creates the owner of a new term.
        on_heartbeat: Called with each accepted heartbeat of an owner.
    """

    def __init__(
        self,
        view: FleetView,
        network: PeerNetwork,
        timings: TimingSettings,
        make_owner: Callable[[OwnerRecord], ZoneOwner],
        on_heartbeat: Callable[[OwnerHeartbeat], None],
    ) -> None:
        self._view = view
        self._network = network
        self._timings = timings
        self._make_owner = make_owner
        self._on_heartbeat = on_heartbeat
        self._zone = view.own.zone
        self._box_bits = new_box_bits()
        self._owner: ZoneOwner | None = None
        self._known = OwnerRecord(self._zone)
        self._heartbeat_ms = monotonic_ms()
        self._fenced_count = 0
        self._fenced_ms = 0.0
        network.on(OwnerHeartbeat, self.handle_heartbeat)
        network.on(OwnerQuery, self._on_query)
        network.on(HigherToken, self._on_higher_token)
        network.on(TakeOver, self._on_take_over)

    @property
    def owner(self) -> ZoneOwner | None:
        """The current term, if this box owns its zone."""
        return self._owner

    @property
    def silent_ms(self) -> float:
        """Milliseconds since the owner's newest heartbeat."""
        return monotonic_ms() - self._heartbeat_ms

    @property
    def silence_timeout_ms(self) -> float:
        """Silence timeout after which this box tries to acquire the zone."""
        own = self._view.own.box
        candidates = [
            box
            for box in self._view.entry_boxes_in(self._zone)
            # The silent owner itself gets no rank.
            if box == own or not (box == self._known.box or self._view.is_leaving(box))
        ]
        rank = candidate_rank(own, candidates)
        return silence_timeout_ms(self._timings.owner_silent_ms, rank, bool(self._known.token))

    async def run(self) -> None:
        """Acquire the zone whenever its owner is gone; runs until cancelled.

        While this box owns the zone, confirm its term after each pause.
        """
        while True:
            await asyncio.sleep(_CHECK_S)
            while self._owner is not None and not self._owner.is_valid:
                await self._confirm(self._owner)
            if not self._is_due():
                continue
            witnesses = await self._query_witnesses()
            if self._is_due() and may_acquire(witnesses, self._timings.owner_silent_ms):
                self._acquire(witnesses.highest_token)

    def resign(self) -> str:
        """Hand the zone to another box before a planned stop; return its name, or ''."""
        owner = self._owner
        if owner is None:
            return ""
        successors = [
            box
            for box in self._view.entry_boxes_in(self._zone)
            if box != self._view.own.box and not self._view.is_leaving(box)
        ]
        successors.sort(key=lambda box: self._network.known_incarnation(box) == 0)
        if not successors:
            return ""
        self._step_down()
        self._network.send(successors[0], TakeOver(owner.record))
        return successors[0]

    def close(self) -> None:
        """Step down."""
        self._step_down()

    def note_fenced(self, endpoint: str) -> None:
        """Step down after an endpoint refused this owner's token for a higher one."""
        owner = self._owner
        if owner is None:
            return
        now_ms = monotonic_ms()
        if now_ms - self._fenced_ms > _FENCED_COUNT_RESET_MS:
            self._fenced_count = 0
        self._fenced_ms = now_ms
        self._fenced_count += 1
        PLACE_LOG.event("owner.fenced", endpoint=endpoint, token=owner.token)
        token = token_above(owner.token, self._fenced_count, self._box_bits)
        self._step_down()
        # If there is another owner, its heartbeats will arrive; otherwise acquires with this token.
        self._known = OwnerRecord(self._zone, token)
        self._heartbeat_ms = now_ms
        if self._fenced_count <= _FENCED_MAX:
            self._heartbeat_ms = now_ms - self._timings.owner_silent_ms / 2

    def _is_due(self) -> bool:
        if (
            self._owner is not None
            or self._view.own.is_leaving
            or not self._view.has_controller_reply
        ):
            return False
        return self.silent_ms >= self.silence_timeout_ms

    async def _confirm(self, owner: ZoneOwner) -> None:
        """Ask the witnesses whether a box has acquired the zone after *owner*; step down if so.

        Without such an answer the owner continues, also if nobody answers: an isolated box or zone
        still serves its callers.
        """
        asked_ms = monotonic_ms()
        check = await self._query_successor(owner)
        is_replaced = self._owner is not owner or check.successor is not None
        if is_replaced:
            outcome = "replaced"
        elif not owner.confirm(asked_ms):
            outcome = "paused again"
        else:
            outcome = "confirmed" if check.answered else "unanswered"
        PLACE_LOG.event(
            "owner.checked",
            zone=self._zone,
            token=owner.token,
            outcome=outcome,
            asked=check.asked,
            answered=check.answered,
            took_ms=int(monotonic_ms() - asked_ms),
        )
        if check.successor is not None and self._owner is owner:
            self._step_down()
            self._follow(check.successor)

    async def _query_successor(self, owner: ZoneOwner) -> _SuccessorCheck:
        """Query the witnesses until one knows a successor of *owner* or all have been queried."""
        requests = [asyncio.ensure_future(self._request(box)) for box in self._witnesses()]
        answered = 0
        try:
            for request in asyncio.as_completed(requests):
                answer = await request
                if answer is None:
                    continue
                answered += 1
                # After fencing refusals a box knows a higher token but not its owner.
                if answer.owner.box and answer.owner.token > owner.token:
                    return _SuccessorCheck(len(requests), answered, answer)
            return _SuccessorCheck(len(requests), answered, None)
        finally:
            for pending in requests:
                pending.cancel()

    def _follow(self, answer: OwnerAnswer) -> None:
        """Follow the owner that a witness knows, silent for as long as it is for the witness."""
        self._known = answer.owner
        self._heartbeat_ms = monotonic_ms() - max(0, answer.silent_ms)
        self._view.note_owner(answer.owner)

    def _witnesses(self) -> list[str]:
        """Return the other entry boxes of the zone and the controllers."""
        own = self._view.own.box
        others = [box for box in self._view.entry_boxes_in(self._zone) if box != own]
        return [*others, *self._view.controllers]

    async def _query_witnesses(self) -> WitnessAnswers:
        asked = self._witnesses()
        answers = await asyncio.gather(*(self._request(box) for box in asked))
        received = [answer for answer in answers if answer is not None]
        silences_ms = [float(answer.silent_ms) for answer in received if answer.silent_ms >= 0]
        tokens = [answer.owner.token for answer in received]
        return WitnessAnswers(
            len(asked),
            len(received),
            min(silences_ms, default=None),
            max([self._known.token, *tokens]),
        )

    async def _request(self, box: str) -> OwnerAnswer | None:
        # The owner is most likely dead, and starts are delayed while waiting for it.
        is_owner = box == self._known.box
        timeout_ms = _OWNER_QUERY_TIMEOUT_MS if is_owner else _QUERY_TIMEOUT_MS
        try:
            reply: OwnerAnswer = await self._network.request(
                box, OwnerQuery(self._zone), timeout_ms
            )
        except PeerUnreachableError:
            # may_acquire() requires at least one answer.
            return None
        return reply

    def _acquire(self, highest_token: int) -> None:
        highest = max(highest_token, self._known.token, self._view.owner_of(self._zone).token)
        token = next_token(highest, time.time(), self._box_bits)
        own = self._view.own
        record = OwnerRecord(self._zone, token, own.box, own.incarnation)
        PLACE_LOG.event(
            "owner.claimed",
            zone=self._zone,
            token=token,
            before=self._known.box,
            before_token=self._known.token,
            silent_ms=int(self.silent_ms),
        )
        self._known = record
        self._heartbeat_ms = monotonic_ms()
        self._view.note_owner(record)
        self._owner = self._make_owner(record)
        self._owner.start()

    def _step_down(self) -> None:
        if self._owner is None:
            return
        PLACE_LOG.event("owner.left", zone=self._zone, token=self._owner.token)
        self._owner.close()
        self._owner = None

    def handle_heartbeat(self, sender: str, heartbeat: OwnerHeartbeat) -> None:
        """Handle a heartbeat from any zone; notify an outdated owner of the higher token."""
        self._view.note_box(heartbeat.record, monotonic_ms())
        if heartbeat.owner.zone != self._zone:
            self._handle_other_zone(sender, heartbeat)
            return
        if heartbeat.owner.token < self._known.token and self._known.box:
            self._network.send(sender, HigherToken(self._known))
            return
        if self._owner is not None and heartbeat.owner.token > self._owner.token:
            self._step_down()
        if heartbeat.owner.token > self._known.token:
            PLACE_LOG.event(
                "owner.heard",
                zone=self._zone,
                owner=heartbeat.owner.box,
                token=heartbeat.owner.token,
            )
        self._known = heartbeat.owner
        self._heartbeat_ms = monotonic_ms()
        self._view.note_owner(heartbeat.owner)
        self._on_heartbeat(heartbeat)

    def _handle_other_zone(self, sender: str, heartbeat: OwnerHeartbeat) -> None:
        known = self._view.owner_of(heartbeat.owner.zone)
        if heartbeat.owner.token < known.token:
            # The boxes of its own zone that know the later owner may all be paused.
            self._network.send(sender, HigherToken(known))
            return
        self._view.note_owner(heartbeat.owner)
        if self._owner is not None:
            self._owner.note_load(heartbeat)
        self._on_heartbeat(heartbeat)

    def _on_query(self, _sender: str, query: OwnerQuery) -> OwnerAnswer:
        if query.zone != self._zone or not self._known.token:
            return OwnerAnswer(OwnerRecord(query.zone), -1)
        if self._owner is not None:
            return OwnerAnswer(self._owner.record, 0)
        return OwnerAnswer(self._known, int(self.silent_ms))

    def _on_higher_token(self, _sender: str, message: HigherToken) -> None:
        if self._owner is None or message.owner.zone != self._zone:
            return
        if message.owner.token > self._owner.token:
            self._step_down()
            self._known = message.owner
            self._heartbeat_ms = monotonic_ms()

    def _on_take_over(self, _sender: str, message: TakeOver) -> None:
        if message.owner.zone != self._zone or self._owner is not None:
            return
        if message.owner.token < self._known.token or self._view.own.is_leaving:
            return
        self._acquire(message.owner.token)
