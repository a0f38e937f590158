# SPDX-License-Identifier: MIT
"""Hypothesis strategies shared by the tests."""

from __future__ import annotations

from hypothesis import strategies as st

payloads = st.binary(max_size=200)
shares = st.floats(min_value=0, max_value=1, exclude_max=True)
coordinator_numbers = st.integers(min_value=0, max_value=1)
replica_numbers = st.integers(min_value=0, max_value=2)
