# SPDX-License-Identifier: MIT
"""Placement decisions without sockets or clock: slots, shares, limits, health, retries."""

from __future__ import annotations

import itertools
from collections import Counter
from typing import Any

import pytest

from foldloom.controllers.config import (
    ACTIVE,
    LEAVING,
    Config,
    Customer,
    Endpoint,
    Service,
    empty_config,
)
from foldloom.metrics import Metrics
from foldloom.settings_file import settings_from
from foldloom.static_peers.placement.health import Health
from foldloom.static_peers.placement.leased_slots import LeasedSlots
from foldloom.static_peers.placement.messages import HeldSlot, SlotOutcome, SlotRequest, SlotReturn
from foldloom.static_peers.placement.policies import (
    POLICIES,
    Choice,
    SlotLeases,
    View,
    choose,
    reference_task_size,
)
from foldloom.static_peers.placement.retries import RetryBudget, may_retry
from foldloom.static_peers.placement.service_times import ServiceTimes
from foldloom.static_peers.placement.shard import Grant, Shard
from foldloom.static_peers.placement.shards import FLEET, ManagerCache, manager_of, shard_names
from foldloom.verdicts import may_have_run, not_run

_FAR_DEADLINE_MS = 10**7


def _config(
    endpoint_count: int, customers: dict[str, Customer] | None = None, **service: Any
) -> Config:
    known = customers or {"m1": Customer(quota=1, concurrency_max=0)}
    base = Service(workers=["*"], concurrency_max=0, restart="never")
    return empty_config({}, {})._replace(
        services={"s": Service(**{**base, **service})},
        customers=known,
        endpoints={
            f"w{n}": Endpoint(endpoint="http://w", zone="a", slots=2, state=ACTIVE)
            for n in range(endpoint_count)
        },
    )


def _shard(config: Config, **limits: Any) -> Shard:
    settings = settings_from(
        {
            "box": "a1",
            "zone": "a",
            "roles": ["entry"],
            "listen": "127.0.0.1:1",
            "http": {"host": "127.0.0.1", "port": 1},
            "peers": [{"box": "a1", "zone": "a", "roles": ["entry"], "address": "127.0.0.1:1"}],
            "limits": limits,
        }
    )
    shard = Shard(settings, SlotLeases(), itertools.count(1))
    shard.set_endpoints(config, list(config.endpoints), set(config.endpoints))
    return shard


def _request(
    number: int, tasks: int = 1, customer: str = "m1", left: int = _FAR_DEADLINE_MS
) -> SlotRequest:
    return SlotRequest(number, FLEET, "s", customer, tasks, left, tasks)


def _give_back(shard: Shard, grant: Grant, ms: float, use: SlotOutcome = SlotOutcome.DONE) -> None:
    message = grant.message
    shard.release(SlotReturn(message.lease_id, message.endpoint, "s", ms, use), 0.0)


class TestPolicies:
    """A single placement decision."""

    @pytest.mark.parametrize("name", POLICIES)
    def test_nothing_to_choose_from(self, name: str) -> None:
        """Without an eligible endpoint every policy keeps the task queued."""
        assert choose(POLICIES[name], View([])) is None

    def test_least_local_count(self) -> None:
        """The endpoint with the fewest local tasks is chosen."""
        view = View(["w0", "w1"], local_count={"w0": 2, "w1": 1})
        assert choose(POLICIES["least-local-count"], view) == Choice("w1")

    def test_power_of_two(self) -> None:
        """The endpoint with the lower sum of reported and local load is chosen."""
        view = View(["w0", "w1"], reported_count={"w0": 3, "w1": 1}, local_count={"w1": 1})
        assert choose(POLICIES["power-of-two"], view) == Choice("w1")

    @pytest.mark.parametrize(
        ("free", "busy", "queued_ahead", "expected"),
        [
            ({"f": 1, "s": 2}, {"f": 7}, 0, Choice("f")),
            ({"f": 0, "s": 2}, {"f": 8}, 0, None),
            ({"f": 0, "s": 2}, {"f": 8}, 20, Choice("s", is_fast=False)),
            ({"f": 0, "s": 0}, {"f": 8, "s": 8}, 20, None),
            ({"f": 0, "s": 2}, {"f": 0}, 0, Choice("s", is_fast=False)),
        ],
    )
    def test_slot_leases(
        self,
        free: dict[str, int],
        busy: dict[str, int],
        queued_ahead: int,
        expected: Choice | None,
    ) -> None:
        """A slow slot is used only if it finishes before a fast slot is expected to be free."""
        view = View(["f", "s"], {"f": 100.0, "s": 200.0}, free, busy, {}, {}, queued_ahead)
        assert choose(SlotLeases(), view) == expected


class TestJobSize:
    """The task size that a wait is compared with."""

    @pytest.mark.parametrize(
        ("job_tasks", "expected"), [(1, 4.0), (2, 7.0), (8, 14.0), (1_700, 41.0)]
    )
    def test_more_tasks_hide_a_wait(self, job_tasks: int, expected: float) -> None:
        """The quantile of the sizes rises with the number of tasks of the job."""
        sizes = [float(size) for size in range(1, 101)]
        assert reference_task_size(sizes, job_tasks) == expected

    def test_at_most_the_middle(self) -> None:
        """The quantile is bounded by the median."""
        assert reference_task_size([1.0, 2.0, 3.0, 4.0], 1 << 20) == 3.0

    def test_nothing_known(self) -> None:
        """A service without samples has size 1."""
        assert reference_task_size([], 8) == 1.0


class TestShares:
    """Deficit round robin between customers."""

    @pytest.mark.parametrize(("quota", "expected"), [(1, 50), (3, 75)])
    def test_flood_takes_no_more_than_its_share(self, quota: int, expected: int) -> None:
        """A customer's long queue does not keep another one from its share by quota."""
        customers = {
            "flood": Customer(quota=1, concurrency_max=0),
            "calm": Customer(quota=quota, concurrency_max=0),
        }
        shard = _shard(_config(2, customers))
        shard.add("a1", _request(1, 1_000, "flood"))
        held = shard.match(0.0)
        shard.add("a1", _request(2, 500, "calm"))
        got: Counter[int] = Counter()
        for _ in range(100):
            _give_back(shard, held.pop(0), 100.0)
            for grant in shard.match(0.0):
                got[grant.message.request_id] += 1
                held.append(grant)
        assert abs(got[2] - expected) <= 1

    def test_customer_limit(self) -> None:
        """A customer at its concurrency limit does not block another one."""
        customers = {
            "m1": Customer(quota=1, concurrency_max=1),
            "m2": Customer(quota=1, concurrency_max=0),
        }
        shard = _shard(_config(2, customers))
        shard.add("a1", _request(1, 4))
        shard.add("a1", _request(2, 2, "m2"))
        assert Counter(g.message.request_id for g in shard.match(0.0)) == {1: 1, 2: 2}

    def test_service_limit(self) -> None:
        """A service never exceeds its concurrency limit."""
        shard = _shard(_config(2, None, concurrency_max=3))
        shard.add("a1", _request(1, 4))
        assert len(shard.match(0.0)) == 3


class TestAdmission:
    """Admission control."""

    def test_flooding_customer_is_judged_by_what_it_gets(self) -> None:
        """Admission uses the customer's own grant rate, not the rate of the whole shard."""
        customers = {
            "calm": Customer(quota=1, concurrency_max=0),
            "flood": Customer(quota=1, concurrency_max=0),
        }
        shard = _shard(_config(2, customers))
        numbers = itertools.count(1)
        held: list[Grant] = []
        for step in range(1, 101):
            for customer in ("calm", *["flood"] * 5):
                shard.add("a1", _request(next(numbers), 1, customer))
            for grant in held[:4]:
                _give_back(shard, grant, 100.0)
            held = [*held[4:], *shard.match(step * 100.0)]
            for grant in held:
                lease = grant.message
                shard.hold(
                    "a1", HeldSlot(lease.lease_id, lease.endpoint, "s", "m", 0), step * 100.0
                )
            shard.tick(step * 100.0)
        # Four slots of 100 ms complete 40 tasks per second, of which calm uses 10; the queue of
        # flood drains at 30 per second.
        in_time_s = shard.queued / 35
        left_ms = int(in_time_s / 0.8 * 1_000)
        assert shard.queued > 100
        refusal = shard.add("a1", _request(next(numbers), 1, "flood", left_ms))
        assert refusal is not None
        assert refusal.reason == "too-late"
        assert shard.add("a1", _request(next(numbers), 1, "calm", 2_000)) is None

    def test_too_late(self) -> None:
        """A job that can't meet its deadline is refused with a retry-after."""
        shard = _shard(_config(1))
        assert shard.add("a1", _request(1, 100)) is None
        refusal = shard.add("a1", _request(2, 1, left=1_000))
        assert refusal is not None
        assert refusal.reason == "too-late"
        assert refusal.retry_after_ms > 0

    def test_free_slots_are_never_refused(self) -> None:
        """With a free slot a request is admitted despite a short deadline."""
        assert _shard(_config(1)).add("a1", _request(1, 1, left=50)) is None

    def test_queue_full(self) -> None:
        """A request over its customer's queue limit is refused; another customer's is not."""
        shard = _shard(_config(1), queued_tasks_per_member_max=10)
        shard.add("a1", _request(1, 10))
        refusal = shard.add("a1", _request(2, 1))
        assert refusal is None or refusal.reason == "queue-full"
        assert shard.add("a1", _request(3, 9)) is not None
        assert shard.add("a1", _request(4, 1, "m2")) is None

    def test_no_endpoint(self) -> None:
        """A service without an eligible endpoint is refused."""
        refusal = _shard(_config(1, None, workers=["x*"])).add("a1", _request(1))
        assert refusal is not None
        assert refusal.reason == "no-worker"


class TestLeases:
    """Guards against requests counted twice, leases kept too long and slots granted twice."""

    def test_resent_request_counts_once(self) -> None:
        """A retransmitted request is queued once."""
        shard = _shard(_config(1))
        shard.add("a1", _request(1, 5))
        shard.add("a1", _request(1, 5))
        assert shard.queued == 5

    def test_lease_runs_out(self) -> None:
        """A lease that is not renewed expires; a renewed one stays."""
        shard = _shard(_config(1))
        shard.add("a1", _request(1, 2))
        kept, _lost = shard.match(0.0)
        held = HeldSlot(kept.message.lease_id, kept.message.endpoint, "s", "m1", 0)
        shard.hold("a1", held, 1_500.0)
        shard.tick(2_500.0)
        assert shard.lease_count == 1

    def test_new_manager_learns_leases(self) -> None:
        """A new lease manager does not grant slots that holders report as leased."""
        shard = _shard(_config(1))
        shard.hold("b1", HeldSlot(77, "w0", "s", "m1", 10), 0.0)
        shard.add("a1", _request(1, 5))
        assert len(shard.match(0.0)) == 1

    def test_leaving_endpoint_gets_nothing(self) -> None:
        """An endpoint in state leaving gets no grant."""
        config = _config(2)
        shard = _shard(config)
        leaving = {**config.endpoints["w0"], "state": LEAVING}
        changed = config._replace(endpoints={**config.endpoints, "w0": leaving})  # type: ignore[dict-item]
        shard.set_endpoints(changed, list(changed.endpoints), {"w1"})
        shard.add("a1", _request(1, 5))
        assert {grant.message.endpoint for grant in shard.match(0.0)} == {"w1"}

    def test_slow_slot_goes_to_job_that_has_one(self) -> None:
        """Slow slots go to one job instead of delaying several."""
        shard = _shard(_config(2))
        for _ in range(20):
            shard.add("a1", _request(1, 4))
            for grant in shard.match(0.0):
                _give_back(shard, grant, 200.0 if grant.message.endpoint == "w1" else 100.0)
            shard.cancel("a1", 1)
        shard.tick(0.0)
        for number in (2, 3):
            shard.add("a1", _request(number, 12))
        slow = [g for g in shard.match(0.0) if g.message.endpoint == "w1"]
        assert len(slow) == 2
        assert len({grant.message.request_id for grant in slow}) == 1


class TestHealth:
    """Ejection of endpoints."""

    def test_failures_eject_up_to_the_share(self) -> None:
        """Three consecutive failures eject an endpoint, up to the largest ejected share."""
        health = Health(1_000, 0.34)
        for endpoint in ("w0", "w1"):
            for _ in range(3):
                health.record_failure(endpoint, 3, 0.0)
        assert health.is_ejected("w0")
        assert not health.is_ejected("w1")

    def test_probe_brings_back(self) -> None:
        """An ejected endpoint is restored by two successful probes after the ejection time."""
        health = Health(1_000, 1.0)
        health.eject("w0", 1, 0.0)
        assert not health.may_probe("w0", 500.0)
        assert health.may_probe("w0", 1_000.0)
        assert not health.record_success("w0")
        assert health.record_success("w0")
        assert not health.is_ejected("w0")

    def test_overdue_tasks_eject(self) -> None:
        """An endpoint whose tasks are all overdue is ejected."""
        shard = _shard(_config(3))
        shard.add("a1", _request(1, 6))
        grants = shard.match(0.0)
        for grant in grants:
            if grant.message.endpoint != "w0":
                _give_back(shard, grant, 100.0)
            else:
                held = HeldSlot(grant.message.lease_id, "w0", "s", "m1", 0)
                shard.hold("a1", held, 1_900.0)
        shard.tick(2_000.0)
        assert "Ejected w0" in " ".join(shard.take_events())

    def test_slow_endpoint_is_probed_only_after_liveness_check(self) -> None:
        """An endpoint ten times slower than its peers gets a probe only after a liveness check."""
        shard = _shard(_config(4))
        for number in range(160):
            endpoint = f"w{number % 4}"
            shard.hold("a1", HeldSlot(number, endpoint, "s", "m1", 0), 0.0)
            ms = 1_000.0 if endpoint == "w3" and number > 40 else 100.0
            shard.release(SlotReturn(number, endpoint, "s", ms, SlotOutcome.DONE), 0.0)
            shard.tick(0.0)
        shard.add("a1", _request(2, 8))
        assert "w3" not in {grant.message.endpoint for grant in shard.match(0.0)}
        assert shard.ejection.due_for_liveness_check(5_000.0) == ["w3"]
        shard.ejection.mark_responsive("w3")
        shard.tick(5_000.0)
        probes = [g for g in shard.match(5_000.0) if g.message.endpoint == "w3"]
        assert len(probes) == 1


class TestSpeeds:
    """Moving averages of service times."""

    def test_stale_average_is_measured_again(self) -> None:
        """An average without recent samples falls back to the service's mean."""
        service_times = ServiceTimes()
        for _ in range(10):
            service_times.record("s", "slow", 500.0, 0.0)
            service_times.record("s", "fast", 100.0, 0.0)
        assert service_times.mean_ms("s", "slow") > 2 * service_times.mean_ms("s", "fast")
        service_times.record("s", "fast", 100.0, 40_000.0)
        service_times.mark_stale(40_000.0)
        assert service_times.mean_ms("s", "slow") == service_times.service_mean_ms("s")
        assert service_times.mean_ms("s", "fast") == pytest.approx(100.0)


class TestRetries:
    """Retry decisions."""

    @pytest.mark.parametrize(
        ("problem", "restart", "repeatable", "expected"),
        [
            (not_run("worker-refused"), "never", False, True),
            (may_have_run("worker-lost"), "never", True, False),
            (may_have_run("worker-lost"), "after-worker-death", False, False),
            (may_have_run("worker-lost"), "after-worker-death", True, True),
            (may_have_run("worker-error"), "after-worker-death", True, False),
            (may_have_run("answer-crossed"), "after-worker-death", True, False),
        ],
    )
    def test_may_retry(self, problem: Any, restart: str, repeatable: bool, expected: bool) -> None:
        """A task that may have run is retried only after a crash, if permitted and repeatable."""
        service = Service(workers=["*"], concurrency_max=0, restart=restart)
        assert may_retry(problem, service, repeatable) is expected

    @pytest.mark.parametrize(("deaths", "expected"), [(1, True), (2, False), (3, False)])
    def test_no_retry_after_two_endpoint_crashes(self, deaths: int, expected: bool) -> None:
        """A task is not retried after it has crashed two endpoints."""
        service = Service(workers=["*"], concurrency_max=0, restart="after-worker-death")
        assert may_retry(may_have_run("worker-lost"), service, True, deaths) is expected
        assert may_retry(not_run("worker-refused"), service, True, deaths)

    def test_budget_is_a_share_of_starts(self) -> None:
        """Beyond the initial budget, retries are a share of the starts."""
        budget = RetryBudget(0.1)
        while budget.consume():
            pass
        for _ in range(100):
            budget.record_start()
        allowed = 0
        while budget.consume():
            allowed += 1
        assert allowed in (9, 10)


class RecordingNetwork:
    """A network that records the messages sent."""

    def __init__(self) -> None:
        """Create it without messages."""
        self.messages: list[tuple[str, object]] = []

    def on(self, _message_type: type, _handler: object) -> None:
        """Ignore the handler."""

    def send(self, box: str, message: object, _ttl_ms: int = 0) -> None:
        """Record a message."""
        self.messages.append((box, message))


class TestLeasedSlots:
    """The coordinator's side of leases."""

    def test_fast_retransmission_after_manager_change(self) -> None:
        """After a change of lease manager, requests are retransmitted quickly, later slowly."""
        network: Any = RecordingNetwork()
        config = _config(1)
        slots = LeasedSlots(
            _shard(config)._settings, network, Metrics(), lambda: config, lambda _shard: "b1", dict
        )
        waiter = slots.open_waiter("s", "m1", 1e12, 1)
        slots.request(waiter, 1)
        slots._refresh_managers()
        began = waiter.last_activity_ms
        slots.retransmit_requests(began, has_manager_changed=True)
        slots.retransmit_requests(began + 300, has_manager_changed=False)
        assert len(network.messages) == 2
        waiter.last_activity_ms = began + 2_600
        slots.retransmit_requests(began + 3_000, has_manager_changed=False)
        assert len(network.messages) == 2
        slots.retransmit_requests(began + 6_000, has_manager_changed=False)
        assert len(network.messages) == 3


class TestShards:
    """Assignment of endpoints to shards and of shards to boxes."""

    def test_small_fleet_is_one_shard(self) -> None:
        """Up to the limit all endpoints form one shard, managed by one live box."""
        assert list(shard_names(_config(24), 64)) == [FLEET]
        boxes = {"a1": "a", "b1": "b", "c1": "c"}
        manager = manager_of(FLEET, boxes)
        del boxes[manager]
        assert manager_of(FLEET, boxes) in boxes
        assert manager_of(FLEET, {}) == ""

    def test_large_fleet_is_split_within_zones(self) -> None:
        """Beyond the limit each endpoint is in one shard of its own zone, managed in that zone."""
        names = shard_names(_config(200), 64)
        assert sorted(w for endpoints in names.values() for w in endpoints) == sorted(
            _config(200).endpoints
        )
        assert all(name.startswith("a/") for name in names)
        assert manager_of("a/0", {"a1": "a", "b1": "b"}) == "a1"


class TestManagers:
    """Cached lease managers."""

    _CACHE_TTL_MS = 100.0

    def test_an_answer_is_kept(self) -> None:
        """A cached lease manager is not looked up again before its time-to-live."""
        lookups: list[int] = []

        def serving() -> dict[str, str]:
            lookups.append(1)
            return {"a1": "a"}

        managers = ManagerCache(serving, self._CACHE_TTL_MS)
        assert [managers.manager_of("a/0", at_ms) for at_ms in (1_000.0, 1_050.0)] == ["a1", "a1"]
        assert len(lookups) == 1
        managers.manager_of("a/0", 1_101.0)
        assert len(lookups) == 2

    def test_a_change_is_seen_at_once(self) -> None:
        """A shard whose manager is gone gets a new one before the cached entry expires."""
        zones = {"a1": "a", "a2": "a"}
        managers = ManagerCache(lambda: dict(zones), self._CACHE_TTL_MS)
        first = managers.manager_of("a/0", 1_000.0)
        del zones[first]
        managers.invalidate()
        assert managers.manager_of("a/0", 1_001.0) == next(iter(zones))
