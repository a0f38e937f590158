# SPDX-License-Identifier: MIT
"""A box's part in who owns its zone: it hears the owner, asks others, claims, steps down."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from foldloom.exceptions import PeerUnreachableError
from foldloom.fleet.messages import (
    Echo,
    HigherToken,
    OwnerAnswer,
    OwnerBeat,
    OwnerQuery,
    OwnerRecord,
    TakeOver,
)
from foldloom.fleet.view import FleetView
from foldloom.logs import PLACE_LOG
from foldloom.owners.election import (
    Witnesses,
    may_claim,
    new_box_bits,
    next_token,
    patience_ms,
    rank_of,
    token_above,
)
from foldloom.owners.messages import (
    CancelJob,
    Cancelled,
    ClaimReply,
    ClaimRuns,
    SubmitReply,
    SubmitRuns,
    SubmitStatus,
    WaitingGroups,
)
from foldloom.owners.zone_owner import ZoneOwner
from foldloom.peers.wire import PeerNetwork, monotonic_ms
from foldloom.settings import TimingSettings

_CHECK_S = 0.03
_QUERY_TIMEOUT_MS = 120
_OWNER_QUERY_TIMEOUT_MS = 30
_FENCED_FORGET_MS = 5_000.0
_FENCED_MAX = 6


class Elector:
    """Follow, or be, the owner of this box's zone.

    Args:
        view: The other boxes.
        network: The peers.
        timings: Intervals and bounds.
        make_owner: Makes the owner of a new term.
        on_beat: Called with each beat of the present owner.
    """

    def __init__(
        self,
        view: FleetView,
        network: PeerNetwork,
        timings: TimingSettings,
        make_owner: Callable[[OwnerRecord], ZoneOwner],
        on_beat: Callable[[OwnerBeat], None],
    ) -> None:
        self._view = view
        self._network = network
        self._timings = timings
        self._make_owner = make_owner
        self._on_beat = on_beat
        self._zone = view.own.zone
        self._box_bits = new_box_bits()
        self._owner: ZoneOwner | None = None
        self._heard = OwnerRecord(self._zone)
        self._heard_ms = monotonic_ms()
        self._fenced_count = 0
        self._fenced_ms = 0.0
        network.on(OwnerBeat, self.hear_beat)
        network.on(OwnerQuery, self._on_query)
        network.on(HigherToken, self._on_higher_token)
        network.on(TakeOver, self._on_take_over)
        network.on(Echo, self._on_echo)
        network.on(SubmitRuns, self._on_submit)
        network.on(CancelJob, self._on_cancel)
        network.on(WaitingGroups, self._on_waiting)
        network.on(ClaimRuns, self._on_claim)

    @property
    def owner(self) -> ZoneOwner | None:
        """The present term of owning, if this box owns its zone."""
        return self._owner

    @property
    def heard(self) -> OwnerRecord:
        """The owner whose beats are heard; a token of 0 for none yet."""
        return self._heard

    @property
    def silent_ms(self) -> float:
        """How long the owner has not been heard."""
        return monotonic_ms() - self._heard_ms

    @property
    def patience_ms(self) -> float:
        """For how long the owner must be silent before this box acts."""
        own = self._view.own.box
        candidates = [
            box
            for box in self._view.entries_of(self._zone)
            # The silent owner itself needs no place in the order.
            if box == own or not (box == self._heard.box or self._view.is_leaving(box))
        ]
        rank = rank_of(own, candidates)
        return patience_ms(self._timings.owner_silent_ms, rank, bool(self._heard.token))

    async def run(self) -> None:
        """Claim the zone whenever its owner is gone, until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_S)
            if not self._is_due():
                continue
            witnesses = await self._ask_witnesses()
            if self._is_due() and may_claim(witnesses, self._timings.owner_silent_ms):
                self._claim(witnesses.highest_token)

    def hand_over(self) -> str:
        """Give the zone to another box before a planned stop; return who gets it, or ''."""
        owner = self._owner
        if owner is None:
            return ""
        heirs = [
            box
            for box in self._view.entries_of(self._zone)
            if box != self._view.own.box and not self._view.is_leaving(box)
        ]
        heirs.sort(key=lambda box: self._network.known_incarnation(box) == 0)
        if not heirs:
            return ""
        self._step_down()
        self._network.tell(heirs[0], TakeOver(owner.record))
        return heirs[0]

    def close(self) -> None:
        """Stop owning."""
        self._step_down()

    def note_fenced(self, endpoint: str) -> None:
        """Note that an endpoint has seen a higher token than this owner's."""
        owner = self._owner
        if owner is None:
            return
        now_ms = monotonic_ms()
        if now_ms - self._fenced_ms > _FENCED_FORGET_MS:
            self._fenced_count = 0
        self._fenced_ms = now_ms
        self._fenced_count += 1
        PLACE_LOG.event("owner.fenced", endpoint=endpoint, token=owner.token)
        token = token_above(owner.token, self._fenced_count, self._box_bits)
        self._step_down()
        # Somebody else may own the zone. The beats tell; if there are none, claim above it.
        self._heard = OwnerRecord(self._zone, token)
        self._heard_ms = now_ms
        if self._fenced_count <= _FENCED_MAX:
            self._heard_ms = now_ms - self._timings.owner_silent_ms / 2

    def _is_due(self) -> bool:
        if self._owner is not None or self._view.own.is_leaving or not self._view.is_informed:
            return False
        return self.silent_ms >= self.patience_ms

    async def _ask_witnesses(self) -> Witnesses:
        own = self._view.own.box
        others = [box for box in self._view.entries_of(self._zone) if box != own]
        asked = [*others, *self._view.controllers]
        answers = await asyncio.gather(*(self._ask(box) for box in asked))
        given = [answer for answer in answers if answer is not None]
        heard = [float(answer.silent_ms) for answer in given if answer.silent_ms >= 0]
        tokens = [answer.owner.token for answer in given]
        return Witnesses(
            len(asked), len(given), min(heard, default=None), max([self._heard.token, *tokens])
        )

    async def _ask(self, box: str) -> OwnerAnswer | None:
        # The owner is silent already; most often it is dead, and waiting for it costs starts.
        is_owner = box == self._heard.box
        timeout_ms = _OWNER_QUERY_TIMEOUT_MS if is_owner else _QUERY_TIMEOUT_MS
        try:
            reply: OwnerAnswer = await self._network.ask(box, OwnerQuery(self._zone), timeout_ms)
        except PeerUnreachableError:
            return None
        return reply

    def _claim(self, highest_token: int) -> None:
        highest = max(highest_token, self._heard.token, self._view.owner_of(self._zone).token)
        token = next_token(highest, time.time(), self._box_bits)
        own = self._view.own
        record = OwnerRecord(self._zone, token, own.box, own.life)
        PLACE_LOG.event(
            "owner.claimed",
            zone=self._zone,
            token=token,
            before=self._heard.box,
            before_token=self._heard.token,
            silent_ms=int(self.silent_ms),
        )
        self._heard = record
        self._heard_ms = monotonic_ms()
        self._view.hear_owner(record)
        self._owner = self._make_owner(record)
        self._owner.start()

    def _step_down(self) -> None:
        if self._owner is None:
            return
        PLACE_LOG.event("owner.left", zone=self._zone, token=self._owner.token)
        self._owner.close()
        self._owner = None

    def hear_beat(self, sender: str, beat: OwnerBeat) -> None:
        """Take a beat of any zone's owner; an outdated one is told of the higher token."""
        self._view.hear_box(beat.record, monotonic_ms())
        if beat.owner.zone != self._zone:
            self._hear_other_zone(beat)
            return
        if beat.owner.token < self._heard.token and self._heard.box:
            self._network.tell(sender, HigherToken(self._heard))
            return
        if self._owner is not None and beat.owner.token > self._owner.token:
            self._step_down()
        if beat.owner.token > self._heard.token:
            PLACE_LOG.event(
                "owner.heard", zone=self._zone, owner=beat.owner.box, token=beat.owner.token
            )
        self._heard = beat.owner
        self._heard_ms = monotonic_ms()
        self._view.hear_owner(beat.owner)
        self._on_beat(beat)

    def _hear_other_zone(self, beat: OwnerBeat) -> None:
        if beat.owner.token < self._view.owner_of(beat.owner.zone).token:
            return
        self._view.hear_owner(beat.owner)
        if self._owner is not None:
            self._owner.hear_load(beat)
        self._on_beat(beat)

    def _on_query(self, _sender: str, query: OwnerQuery) -> OwnerAnswer:
        if query.zone != self._zone or not self._heard.token:
            return OwnerAnswer(OwnerRecord(query.zone), -1)
        if self._owner is not None:
            return OwnerAnswer(self._owner.record, 0)
        return OwnerAnswer(self._heard, int(self.silent_ms))

    def _on_higher_token(self, _sender: str, message: HigherToken) -> None:
        if self._owner is None or message.owner.zone != self._zone:
            return
        if message.owner.token > self._owner.token:
            self._step_down()
            self._heard = message.owner
            self._heard_ms = monotonic_ms()

    def _on_take_over(self, _sender: str, message: TakeOver) -> None:
        if message.owner.zone != self._zone or self._owner is not None:
            return
        if message.owner.token < self._heard.token or self._view.own.is_leaving:
            return
        self._claim(message.owner.token)

    def _on_submit(self, sender: str, message: SubmitRuns) -> SubmitReply:
        if self._owner is None:
            return SubmitReply(SubmitStatus.NOT_OWNER, "not the owner")
        return self._owner.submit(sender, message)

    def _on_cancel(self, sender: str, message: CancelJob) -> Cancelled:
        if self._owner is None:
            return Cancelled()
        return self._owner.cancel(sender, message)

    def _on_waiting(self, _sender: str, message: WaitingGroups) -> None:
        self._view.hear_owner(message.owner)
        if self._owner is not None:
            self._owner.hear_waiting(message)

    def _on_claim(self, _sender: str, message: ClaimRuns) -> ClaimReply:
        if self._owner is None:
            return ClaimReply(0)
        return self._owner.release(message)

    def _on_echo(self, sender: str, echo: Echo) -> None:
        if self._owner is not None:
            self._view.hear_box(echo.record, monotonic_ms())
            self._owner.hear_echo(sender, echo)
