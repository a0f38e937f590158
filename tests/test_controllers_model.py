# SPDX-License-Identifier: MIT
"""Guards the controllers' protocol against lost entries and two leaders, on a small model."""

from __future__ import annotations

from typing import Any

import pytest
from minicheck import check_safety

from models.controllers_model import Bounds, Rules, controllers_protocol

_STATES_MAX = 1_000_000


def _check(rules: Rules, bounds: Bounds) -> dict[str, Any]:
    result = check_safety(controllers_protocol(rules, bounds), max_states=_STATES_MAX)
    assert result["exhaustive"], result
    return {name: one["holds"] for name, one in result["properties"].items()}


class TestControllersProtocol:
    """Three controllers with terms, votes, entries, crashes and a wiped disk."""

    @pytest.mark.parametrize(
        "bounds", [Bounds(2, 2, 1, 1), Bounds(3, 2, 1, 0), Bounds(3, 2, 0, 1), Bounds(4, 1, 0, 0)]
    )
    def test_confirmed_entries_stay(self, bounds: Bounds) -> None:
        """There is one leader per term, and every later leader holds every confirmed entry."""
        assert _check(Rules(), bounds) == {"one_leader_a_term": True, "confirmed_stays": True}

    @pytest.mark.parametrize(
        ("rule", "bounds", "broken"),
        [
            ("syncs_votes", Bounds(2, 1, 1, 0), "one_leader_a_term"),
            ("readmits_wiped", Bounds(2, 1, 0, 1), "confirmed_stays"),
            ("commits_current_term", Bounds(4, 1, 0, 0), "confirmed_stays"),
            ("others_follow_first", Bounds(2, 1, 0, 1), "one_leader_a_term"),
        ],
    )
    def test_every_rule_is_needed(self, rule: str, bounds: Bounds, broken: str) -> None:
        """Without any one of the rules there is a counterexample."""
        assert _check(Rules()._replace(**{rule: False}), bounds)[broken] is False
