# SPDX-License-Identifier: MIT
"""The limit on the processor time of generated examples."""

from __future__ import annotations

import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from processor_time import EXAMPLE_MAX_S, limit_processor_time

_OVER_S = EXAMPLE_MAX_S * 1.25


def _spend(processor_s: float) -> None:
    until_s = time.thread_time() + processor_s
    while time.thread_time() < until_s:
        pass


class TestLimit:
    """Only processor time counts, since a loaded machine does not run the process for a while."""

    def test_work(self) -> None:
        """An example that works too long fails."""
        with pytest.raises(AssertionError, match="processor time"):
            limit_processor_time(_spend)(_OVER_S)

    def test_pause(self) -> None:
        """An example during which the process pauses passes."""
        limit_processor_time(time.sleep)(_OVER_S)

    @given(st.none())
    def test_applies_to_generated_tests(self, _value: None) -> None:
        """The limit is part of every generated test."""
        inner_test = type(self).test_applies_to_generated_tests.hypothesis.inner_test
        assert inner_test.__code__ is limit_processor_time(_spend).__code__
