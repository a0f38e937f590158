# SPDX-License-Identifier: MIT
"""Soft state of one shard: free slots, leases, the request queue and the order of grants.

The code here does no I/O and reads no clock: the lease manager passes the time and sends the
resulting messages.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple

from foldloom.controllers.config import Config, endpoints_of
from foldloom.settings import Settings
from foldloom.static_peers.placement.admission import RETRY_MAX_MS, AdmissionLoad, check_admission
from foldloom.static_peers.placement.config_limits import ConfigLimits
from foldloom.static_peers.placement.ejection import Ejection
from foldloom.static_peers.placement.health import Health
from foldloom.static_peers.placement.leases import Lease, LeaseTable, reported_lease
from foldloom.static_peers.placement.messages import (
    HeldSlot,
    SlotGrant,
    SlotOutcome,
    SlotRefusal,
    SlotRequest,
    SlotReturn,
)
from foldloom.static_peers.placement.policies import Choice, Policy, choose, reference_task_size
from foldloom.static_peers.placement.queue import PendingRequest, RequestQueue
from foldloom.static_peers.placement.service_times import ServiceTimes
from foldloom.static_peers.placement.shares import GrantRates
from foldloom.static_peers.placement.views import ViewTable

# Multiple of the endpoint's mean service time after which a task is overdue.
_OVERDUE_RATIO = 6.0
# Minimum age of an overdue task, in milliseconds.
_OVERDUE_MIN_MS = 1_000
# Expected wait, in mean service times, above which a slow slot goes to the first request in turn.
_LONG_QUEUE_MEANS = 3.0
# Retry-after of a refusal for lack of an eligible endpoint, in milliseconds.
_NO_ENDPOINT_RETRY_MS = 1_000


class Grant(NamedTuple):
    """A grant and the coordinator it is sent to."""

    coordinator: str
    message: SlotGrant


class Shard:
    """The endpoints of one shard.

    Args:
        settings: Limits and timings.
        policy: The placement policy.
        lease_ids: Source of lease ids.
    """

    def __init__(self, settings: Settings, policy: Policy, lease_ids: Iterator[int]) -> None:
        self._settings = settings
        self._policy = policy
        self._lease_ids = lease_ids
        self._config_limits = ConfigLimits()
        self._eligible: set[str] = set()
        self._endpoints_of: dict[str, list[str]] = {}
        self._leases = LeaseTable()
        self._queue = RequestQueue(self._config_limits.quota_of)
        self._grant_rates = GrantRates()
        self._service_times = ServiceTimes()
        self._events: list[str] = []
        health = Health(settings.timings.ejection_ms, settings.limits.ejected_share_max)
        self._ejection = Ejection(health, self._service_times, self._add_event)
        self._views = ViewTable(
            self._config_limits, self._leases, self._service_times, self._ejection
        )

    @property
    def ejection(self) -> Ejection:
        """Ejection state of the endpoints."""
        return self._ejection

    @property
    def queued(self) -> int:
        """Number of queued tasks."""
        return self._queue.tasks

    @property
    def free_slots(self) -> int:
        """Unleased slots on the endpoints eligible for placement."""
        return self._views.free_slots

    @property
    def lease_count(self) -> int:
        """Number of active leases."""
        return len(self._leases)

    def take_events(self) -> list[str]:
        """Return and clear the pending log sentences."""
        events, self._events = self._events, []
        return events

    def set_endpoints(self, config: Config, names: list[str], eligible: set[str]) -> None:
        """Apply a configuration.

        Args:
            config: The configuration in effect.
            names: The endpoints of this shard.
            eligible: The endpoints eligible for placement, of any shard.
        """
        self._config_limits.apply_config(config)
        self._eligible = eligible.intersection(names)
        self._ejection.set_endpoints(self._eligible)
        own = set(names)
        self._endpoints_of = {
            service: [name for name in endpoints_of(config, service) if name in own]
            for service in config.services
        }
        self._views.set_endpoints(self._endpoints_of, self._eligible)

    def add(self, coordinator: str, request: SlotRequest) -> SlotRefusal | None:
        """Queue *request*, or return a refusal. A retransmission has no effect."""
        if (coordinator, request.request_id) in self._queue:
            return None
        refusal = self._check_admission(request)
        if refusal is None:
            self._queue.add(PendingRequest(coordinator, request))
        return refusal

    def cancel(self, coordinator: str, request_id: int) -> None:
        """Remove a request from the queue."""
        self._queue.drop((coordinator, request_id))

    def drop_dead_coordinators(self, is_live: Callable[[str], bool]) -> None:
        """Remove the requests of coordinators that are not live."""
        for coordinator in self._queue.coordinators:
            if not is_live(coordinator):
                self._queue.drop_requests_of(coordinator)

    def hold(self, coordinator: str, held: HeldSlot, now_ms: float) -> None:
        """Renew a lease, or add one that an earlier lease manager granted."""
        if self._leases.renew(held.lease_id, now_ms):
            return
        self._add_lease(reported_lease(held, coordinator, now_ms))

    def release(self, message: SlotReturn, now_ms: float) -> None:
        """End the lease of a returned slot and record the outcome of its task."""
        lease = self._leases.get(message.lease_id)
        if lease is not None:
            self._remove_lease(lease)
        if message.use is SlotOutcome.DONE:
            self._service_times.record(
                message.service, message.endpoint, message.service_ms, now_ms
            )
            peer_median_ms = self._views.peer_median_ms(message.service, message.endpoint)
            self._ejection.record_success(message, peer_median_ms, now_ms)
        elif message.use in (SlotOutcome.FAILED, SlotOutcome.NOT_RUN):
            self._ejection.record_failure(message.endpoint, now_ms)

    def tick(self, now_ms: float) -> None:
        """Expire leases that were not renewed and eject endpoints whose tasks are overdue."""
        ttl = self._settings.timings.lease_ttl_ms
        overdue: dict[str, int] = {}
        for lease in self._leases.present():
            if now_ms - lease.renewed_ms > ttl:
                self._events.append(f"Lease {lease.lease_id} on {lease.endpoint} expired.")
                self._remove_lease(lease)
                continue
            limit = _OVERDUE_RATIO * self._service_times.mean_ms(lease.service, lease.endpoint)
            if now_ms - lease.since_ms > max(_OVERDUE_MIN_MS, limit):
                overdue[lease.endpoint] = overdue.get(lease.endpoint, 0) + 1
        for endpoint, count in overdue.items():
            if count * 2 >= self._leases.busy.get(endpoint, 0):
                self._ejection.eject_overdue(endpoint, now_ms)
        self._service_times.mark_stale(now_ms)
        self._grant_rates.refresh(now_ms)
        self._views.refresh(now_ms)

    def match(self, now_ms: float) -> list[Grant]:
        """Grant slots until no queued request can be served now."""
        grants: list[Grant] = []
        while self._queue:
            grant = self._match_next(now_ms)
            if grant is None:
                break
            grants.append(grant)
        return grants

    def expected_wait_ms(self, service: str) -> float:
        """Return the expected wait of a new task of *service*."""
        rate = self._views.rate_of(service)
        if rate <= 0.0:
            return float(RETRY_MAX_MS)
        excess = self.queued - self.free_slots
        return max(0.0, excess / rate)

    def _match_next(self, now_ms: float) -> Grant | None:
        """Grant one slot, or return ``None`` if no request can be served now."""
        choices: dict[str, Choice | None] = {}
        for pending in self._queue.in_round_robin_order(self._is_customer_full):
            service = pending.request.service
            if service not in choices:
                choices[service] = self._choose(service)
            choice = choices[service]
            if choice is not None:
                recipient = (
                    pending if choice.is_fast else self._recipient_of_slow_slot(service, pending)
                )
                return self._grant(recipient, choice, now_ms)
            if len(choices) == self._queue.service_count and not any(choices.values()):
                return None
        return None

    def _choose(self, service: str) -> Choice | None:
        """Return the slot for the last queued task of *service*, which would wait longest."""
        view = self._views.view_of(service)
        if view is None or self._is_service_full(service):
            return None
        for endpoint in self._ejection.responsive:
            if self._views.has_free_slot(endpoint) and endpoint in view.endpoints:
                return Choice(endpoint, is_fast=False)
        newest = self._queue.newest_of(service)
        size = reference_task_size(self._views.sizes_of(service), newest.request.job_tasks)
        queued_ahead = self._queue.tasks_of_service(service) - 1
        return choose(
            self._policy, view._replace(queued_ahead=queued_ahead, reference_task_size=size)
        )

    def _recipient_of_slow_slot(self, service: str, first: PendingRequest) -> PendingRequest:
        """Return the request that receives a slow slot.

        A request that already has a slow slot is preferred, since its job finishes late anyway;
        otherwise the newest request, which would wait longest for a fast slot. If the queue is
        long, *first* receives it, because then every request waits longer than a slow endpoint
        takes.
        """
        if self.expected_wait_ms(service) > _LONG_QUEUE_MEANS * self._service_times.service_mean_ms(
            service
        ):
            return first
        newest = first
        for pending in self._queue.of_service(service):
            if self._is_customer_full(pending.request.customer):
                continue
            if pending.has_slow:
                return pending
            newest = pending
        return newest

    def _grant(self, pending: PendingRequest, choice: Choice, now_ms: float) -> Grant:
        request, endpoint = pending.request, choice.endpoint
        pending.has_slow = pending.has_slow or not choice.is_fast
        lease_id = next(self._lease_ids)
        self._ejection.record_grant(endpoint)
        self._add_lease(
            Lease(
                lease_id,
                endpoint,
                request.service,
                request.customer,
                pending.coordinator,
                now_ms,
                now_ms,
            )
        )
        self._queue.grant_one(pending)
        self._grant_rates.record(request.customer)
        ttl = self._settings.timings.lease_ttl_ms
        message = SlotGrant(request.request_id, endpoint, lease_id, ttl)
        return Grant(pending.coordinator, message)

    def _check_admission(self, request: SlotRequest) -> SlotRefusal | None:
        """Return a refusal if the request can't be served in time."""
        endpoints = self._endpoints_of.get(request.service, ())
        if not any(endpoint in self._eligible for endpoint in endpoints):
            return SlotRefusal(request.request_id, "no-worker", _NO_ENDPOINT_RETRY_MS)
        active = self._queue.customers | self._grant_rates.customers | {request.customer}
        load = AdmissionLoad(
            self.queued,
            self._queue.tasks_of_customer(request.customer),
            self.free_slots,
            self._views.rate_of(request.service),
            self._config_limits.quota_of(request.customer)
            / sum(map(self._config_limits.quota_of, active)),
            self._grant_rates.rate_of(request.customer),
            self._service_times.service_mean_ms(request.service),
        )
        return check_admission(request, load, self._settings.limits)

    def _is_customer_full(self, customer: str) -> bool:
        return self._config_limits.is_customer_full(
            customer, self._leases.running_of_customer(customer)
        )

    def _is_service_full(self, service: str) -> bool:
        return self._config_limits.is_service_full(
            service, self._leases.running_of_service(service)
        )

    def _add_event(self, sentence: str) -> None:
        self._events.append(sentence)

    def _add_lease(self, lease: Lease) -> None:
        self._leases.add(lease)
        self._views.refresh_free(lease.endpoint, lease.renewed_ms)

    def _remove_lease(self, lease: Lease) -> None:
        self._leases.remove(lease)
        self._views.refresh_free(lease.endpoint, lease.renewed_ms)
