# SPDX-License-Identifier: MIT
"""Slots by lease: requests to lease managers and renewal of held leases.

Holds a box's open requests and its leases. The lease managers follow from the configuration in
force and the shard loads from the heartbeats.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

from foldloom.clock import monotonic_ms
from foldloom.controllers.config import Config
from foldloom.metrics import Metrics
from foldloom.peers.wire import PeerNetwork
from foldloom.settings import Settings
from foldloom.static_peers.membership import ShardLoad
from foldloom.static_peers.placement.messages import (
    HeldSlot,
    SlotCancel,
    SlotGrant,
    SlotHold,
    SlotOutcome,
    SlotRefusal,
    SlotRequest,
    SlotReturn,
)
from foldloom.static_peers.placement.shards import shard_names
from foldloom.static_peers.placement.slots import RETRANSMISSION_INTERVAL_MS, Slot, SlotWaiter

# Seconds between checks for renewals and retransmissions.
_CHECK_S = 0.1
# Retransmission interval after a change of lease managers, in milliseconds: one heartbeat.
_FAST_RETRANSMISSION_INTERVAL_MS = 250
# Milliseconds of fast retransmission after a change of lease managers: above the time to detect a
# silent peer.
_FAST_RETRANSMISSION_PERIOD_MS = 2_500
# Milliseconds before a lease's expiry at which the holder stops using it: covers message delay.
_EXPIRY_MARGIN_MS = 100


class LeasedSlots:
    """Slot source that requests leases from lease managers.

    Args:
        settings: This box's settings.
        network: Messages to the peers.
        metrics: Counters.
        config: Returns the configuration in effect.
        manager_of: Returns the lease manager of a shard in this box's view.
        loads: Returns the last reported load of each shard.
    """

    def __init__(
        self,
        settings: Settings,
        network: PeerNetwork,
        metrics: Metrics,
        config: Callable[[], Config],
        manager_of: Callable[[str], str],
        loads: Callable[[], dict[str, ShardLoad]],
    ) -> None:
        self._settings = settings
        self._network = network
        self._metrics = metrics
        self._config = config
        self._manager_of = manager_of
        self._loads = loads
        self._ids = itertools.count(1)
        self._waiters: dict[int, SlotWaiter] = {}
        self._held: dict[int, Slot] = {}
        self._shards: tuple[int, dict[str, list[str]]] = (-1, {})
        self._shard_of: dict[str, str] = {}
        self._managers: dict[str, str] = {}
        self._fast_retransmission_until_ms = 0.0
        network.on(SlotGrant, self._on_grant)
        network.on(SlotRefusal, self._on_refusal)

    def open_waiter(
        self, service: str, customer: str, deadline_ms: float, job_tasks: int
    ) -> SlotWaiter:
        """Open a waiter without requesting slots."""
        waiter = SlotWaiter(next(self._ids), service, customer, deadline_ms, job_tasks)
        self._waiters[waiter.request_id] = waiter
        return waiter

    def request(self, waiter: SlotWaiter, count: int) -> None:
        """Request *count* more slots."""
        if waiter.outstanding:
            # One open request per waiter: the new total needs a new id, since a repeated id is
            # treated as a retransmission.
            self._send(SlotCancel(waiter.request_id), waiter.sent_to)
            del self._waiters[waiter.request_id]
            waiter.request_id = next(self._ids)
            self._waiters[waiter.request_id] = waiter
        waiter.outstanding += count
        self._send_request(waiter)

    def close(self, waiter: SlotWaiter) -> None:
        """Close the waiter; slots that arrive later are returned unused."""
        self._waiters.pop(waiter.request_id, None)
        if waiter.outstanding:
            self._send(SlotCancel(waiter.request_id), waiter.sent_to)
            waiter.outstanding = 0
        while not waiter.arrivals.empty():
            arrival = waiter.arrivals.get_nowait()
            if isinstance(arrival, Slot):
                self.release(arrival, 0.0, SlotOutcome.UNUSED)

    def release(self, slot: Slot, service_ms: float, use: SlotOutcome) -> None:
        """Return a slot with the outcome of its task."""
        self._held.pop(slot.lease_id, None)
        if use is SlotOutcome.UNUSED:
            self._metrics.count("messages.wasted.unused-slot")
        message = SlotReturn(slot.lease_id, slot.endpoint, slot.service, service_ms, use)
        self._send(message, self._manager_of_endpoint(slot.endpoint))

    async def run(self) -> None:
        """Renew leases and retransmit requests until cancelled."""
        renewed_ms = monotonic_ms()
        while True:
            await asyncio.sleep(_CHECK_S)
            now_ms = monotonic_ms()
            changed = self._refresh_managers()
            if changed or now_ms - renewed_ms > self._settings.timings.lease_ttl_ms / 4:
                renewed_ms = now_ms
                self._renew(now_ms)
            self.retransmit_requests(now_ms, changed)

    def retransmit_requests(self, now_ms: float, has_manager_changed: bool) -> None:
        """Retransmit requests that were not answered in time or whose lease manager changed.

        A new lease manager drops requests that arrive before it takes over the shard. Requests are
        therefore retransmitted at a short interval for a while after a change; lease managers
        deduplicate them.
        """
        if has_manager_changed:
            self._fast_retransmission_until_ms = now_ms + _FAST_RETRANSMISSION_PERIOD_MS
        limit_ms = (
            _FAST_RETRANSMISSION_INTERVAL_MS
            if now_ms < self._fast_retransmission_until_ms
            else RETRANSMISSION_INTERVAL_MS
        )
        for waiter in list(self._waiters.values()):
            is_stale = now_ms - waiter.last_activity_ms > limit_ms
            is_moved = self._managers.get(waiter.shard) != waiter.sent_to
            if waiter.outstanding and (is_stale or is_moved):
                self._send_request(waiter)

    def _shard_names(self) -> dict[str, list[str]]:
        config = self._config()
        if self._shards[0] != config.version:
            names = shard_names(config, self._settings.limits.lease_shard_endpoints)
            self._shards = (config.version, names)
            self._shard_of = {
                endpoint: shard for shard, endpoints in names.items() for endpoint in endpoints
            }
        return self._shards[1]

    def _refresh_managers(self) -> bool:
        """Look up the lease managers; return whether one has changed since the last call."""
        managers = {shard: self._manager_of(shard) for shard in self._shard_names()}
        changed = managers != self._managers
        self._managers = managers
        return changed

    def _manager_of_endpoint(self, endpoint: str) -> str:
        self._shard_names()
        shard = self._shard_of.get(endpoint, "")
        return self._manager_of(shard) if shard else ""

    def _pick_shard(self) -> str:
        """Return the best shard, or an empty string if there is none.

        Prefers shards with spare slots, then those in this zone, then the most spare slots.
        """
        names = self._shard_names()
        if len(names) <= 1:
            return next(iter(names), "")
        loads = self._loads()
        zone = self._settings.zone

        def preference(shard: str) -> tuple[bool, bool, int]:
            load = loads.get(shard)
            spare_slots = 0 if load is None else load.free_slots - load.queued
            return spare_slots > 0, shard.partition("/")[0] == zone, spare_slots

        return max(names, key=preference)

    def _send_request(self, waiter: SlotWaiter) -> None:
        now_ms = monotonic_ms()
        waiter.shard = self._pick_shard()
        waiter.sent_to = self._manager_of(waiter.shard)
        waiter.last_activity_ms = now_ms
        if not waiter.shard:
            waiter.arrivals.put_nowait(
                SlotRefusal(waiter.request_id, "no-worker", RETRANSMISSION_INTERVAL_MS)
            )
            return
        message = SlotRequest(
            waiter.request_id,
            waiter.shard,
            waiter.service,
            waiter.customer,
            waiter.outstanding,
            int(waiter.deadline_ms - now_ms),
            waiter.job_tasks,
        )
        self._send(message, waiter.sent_to)

    def _send(self, message: object, box: str) -> None:
        if box:
            self._network.send(box, message)

    def _on_grant(self, _sender: str, message: SlotGrant) -> None:
        now_ms = monotonic_ms()
        waiter = self._waiters.get(message.request_id)
        if waiter is None or waiter.outstanding == 0:
            slot = Slot(message.lease_id, message.endpoint, "", "", now_ms, now_ms)
            self.release(slot, 0.0, SlotOutcome.UNUSED)
            return
        waiter.outstanding -= 1
        waiter.last_activity_ms = now_ms
        expires_ms = now_ms + message.ttl_ms - _EXPIRY_MARGIN_MS
        slot = Slot(
            message.lease_id, message.endpoint, waiter.service, waiter.customer, now_ms, expires_ms
        )
        self._held[slot.lease_id] = slot
        waiter.arrivals.put_nowait(slot)

    def _on_refusal(self, _sender: str, message: SlotRefusal) -> None:
        waiter = self._waiters.get(message.request_id)
        if waiter is None or waiter.outstanding == 0:
            return
        waiter.outstanding = 0
        waiter.arrivals.put_nowait(message)

    def _renew(self, now_ms: float) -> None:
        by_manager: dict[str, list[HeldSlot]] = {}
        for slot in self._held.values():
            held = HeldSlot(
                slot.lease_id,
                slot.endpoint,
                slot.service,
                slot.customer,
                int(now_ms - slot.granted_ms),
            )
            by_manager.setdefault(self._manager_of_endpoint(slot.endpoint), []).append(held)
        for box, leases in by_manager.items():
            self._send(SlotHold(leases), box)
