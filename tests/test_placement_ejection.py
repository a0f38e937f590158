# SPDX-License-Identifier: MIT
"""Guards against faulty endpoints that keep getting tasks, and against ignored limits."""

from __future__ import annotations

from foldloom.controllers.config import Customer, empty_config
from foldloom.static_peers.placement.config_limits import ConfigLimits
from foldloom.static_peers.placement.ejection import Ejection
from foldloom.static_peers.placement.health import Health
from foldloom.static_peers.placement.messages import SlotOutcome, SlotReturn
from foldloom.static_peers.placement.service_times import ServiceTimes

_EJECTION_MS = 1_000
_ENDPOINTS = {"w1", "w2", "w3", "w4"}


def _slot_return(service_ms: float) -> SlotReturn:
    return SlotReturn(1, "w1", "sign", service_ms, SlotOutcome.DONE)


class TestEjection:
    """Ejection and recovery of an endpoint."""

    def _ejection(self) -> tuple[Ejection, list[str]]:
        sentences: list[str] = []
        health = Health(_EJECTION_MS, 0.5)
        ejection = Ejection(health, ServiceTimes(), sentences.append)
        ejection.set_endpoints(_ENDPOINTS)
        return ejection, sentences

    def test_overdue_tasks(self) -> None:
        """An endpoint with overdue tasks is ejected and logged once."""
        ejection, sentences = self._ejection()
        ejection.eject_overdue("w1", 0.0)
        ejection.eject_overdue("w1", 10.0)
        assert ejection.is_ejected("w1")
        assert sentences == ["Ejected w1: its tasks are overdue."]

    def test_failures_in_a_row(self) -> None:
        """Three consecutive failures eject an endpoint; one does not."""
        ejection, sentences = self._ejection()
        ejection.record_failure("w1", 0.0)
        assert not ejection.is_ejected("w1")
        ejection.record_failure("w1", 1.0)
        ejection.record_failure("w1", 2.0)
        assert sentences == ["Ejected w1: consecutive failures."]

    def test_no_probe_without_liveness_check(self) -> None:
        """An ejected endpoint is probed only after its ejection time and a liveness check."""
        ejection, _ = self._ejection()
        ejection.eject_overdue("w1", 0.0)
        assert not ejection.may_probe("w1", _EJECTION_MS)
        assert ejection.due_for_liveness_check(_EJECTION_MS - 1) == []
        assert ejection.due_for_liveness_check(_EJECTION_MS) == ["w1"]
        ejection.mark_responsive("w1")
        assert ejection.due_for_liveness_check(_EJECTION_MS) == []
        assert ejection.may_probe("w1", _EJECTION_MS)

    def test_probe_uses_up_liveness_check(self) -> None:
        """A probe needs a new liveness check if the previous one has been used."""
        ejection, sentences = self._ejection()
        ejection.eject_overdue("w1", 0.0)
        ejection.mark_responsive("w1")
        ejection.record_grant("w1")
        assert not ejection.may_probe("w1", _EJECTION_MS)
        assert sentences[-1] == "Probing w1 with one task."

    def test_back_after_probes(self) -> None:
        """Two probes at normal speed restore an endpoint."""
        ejection, sentences = self._ejection()
        ejection.eject_overdue("w1", 0.0)
        ejection.record_success(_slot_return(100.0), 100.0, _EJECTION_MS)
        assert ejection.is_ejected("w1")
        ejection.record_success(_slot_return(100.0), 100.0, _EJECTION_MS)
        assert not ejection.is_ejected("w1")
        assert sentences[-1] == "w1 is healthy again."

    def test_a_slow_probe_counts_against_it(self) -> None:
        """A probe above four times the peers' mean extends the ejection."""
        ejection, _ = self._ejection()
        ejection.eject_overdue("w1", 0.0)
        ejection.record_success(_slot_return(401.0), 100.0, 500.0)
        ejection.mark_responsive("w1")
        assert not ejection.may_probe("w1", _EJECTION_MS)
        assert ejection.may_probe("w1", 500.0 + _EJECTION_MS)


class TestBounds:
    """Limits of the configuration in force."""

    def test_before_a_configuration(self) -> None:
        """Without a configuration no service has capacity, and all customers have a quota of 1."""
        config_limits = ConfigLimits()
        assert config_limits.is_service_full("sign", 0)
        assert config_limits.slots_of("w1") == 0
        assert config_limits.quota_of("x") == 1

    def test_a_customers_tasks_at_a_time(self) -> None:
        """A concurrency limit of 0 means no limit."""
        config_limits = ConfigLimits()
        customers = {
            "calm": Customer(quota=3, concurrency_max=2),
            "free": Customer(quota=1, concurrency_max=0),
        }
        config_limits.apply_config(empty_config({}, {})._replace(customers=customers))
        assert not config_limits.is_customer_full("calm", 1)
        assert config_limits.is_customer_full("calm", 2)
        assert not config_limits.is_customer_full("free", 1_000)
        assert not config_limits.is_customer_full("unknown", 1_000)
        assert config_limits.quota_of("calm") == 3
