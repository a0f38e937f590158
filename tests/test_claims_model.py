# SPDX-License-Identifier: MIT
"""Exhaustive model checking of the claim protocol."""

from __future__ import annotations

from typing import Any

import pytest
from minicheck import check_safety

from models.boxlist_model import Rules as BoxListRules
from models.boxlist_model import boxlist_protocol
from models.claims_model import Bounds, Rules, claims_protocol

_STATES_MAX = 1_000_000


def _check(rules: Rules, bounds: Bounds) -> dict[str, Any]:
    result = check_safety(claims_protocol(rules, bounds), max_states=_STATES_MAX)
    assert result["exhaustive"], result
    return {name: one["holds"] for name, one in result["properties"].items()}


class TestClaimProtocol:
    """One submission, three replicas, two coordinators."""

    @pytest.mark.timeout(600)
    @pytest.mark.parametrize(
        "bounds",
        [Bounds(0, (1, 1)), Bounds(0, (2, 2)), Bounds(1, (2, 1)), Bounds(2, (1, 1))],
    )
    def test_at_most_one_starter(self, bounds: Bounds) -> None:
        """At most one coordinator starts, and "not run" is accurate, in every reachable state."""
        assert _check(Rules(), bounds) == {"one_starter": True, "not_run_is_true": True}

    @pytest.mark.parametrize(
        ("rule", "bounds", "broken"),
        [
            ("copies_before_voting", Bounds(1, (1, 1)), "one_starter"),
            ("needs_second_vote", Bounds(0, (1, 1)), "one_starter"),
            ("only_coordinator_withdraws", Bounds(0, (1, 1)), "one_starter"),
            ("keeps_differing_copies", Bounds(1, (1, 1)), "one_starter"),
            ("fences_votes", Bounds(1, (1, 1)), "one_starter"),
            ("numbers_attempts", Bounds(0, (2, 1)), "one_starter"),
            ("refuses_only_with_majority", Bounds(0, (1, 1)), "not_run_is_true"),
        ],
    )
    def test_every_rule_is_needed(self, rule: str, bounds: Bounds, broken: str) -> None:
        """Removing any rule yields a counterexample."""
        assert _check(Rules()._replace(**{rule: False}), bounds)[broken] is False


class TestBoxListChange:
    """A change of the box list: old, joint, new."""

    def test_at_most_one_starter(self) -> None:
        """At most one coordinator starts during a change of the box list."""
        result = check_safety(boxlist_protocol(BoxListRules()), max_states=_STATES_MAX)
        assert result["exhaustive"]
        assert result["properties"]["one_starter"]["holds"] is True

    @pytest.mark.parametrize("rule", ["joint_needs_both", "new_waits_for_window"])
    def test_every_rule_is_needed(self, rule: str) -> None:
        """Removing the joint majority or the waiting window yields a counterexample."""
        broken = BoxListRules()._replace(**{rule: False})
        result = check_safety(boxlist_protocol(broken), max_states=_STATES_MAX)
        assert result["properties"]["one_starter"]["holds"] is False
