# SPDX-License-Identifier: MIT
"""Benchmarks, run by hand and not in CI."""
