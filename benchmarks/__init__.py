# SPDX-License-Identifier: MIT
"""Benchmarks: run by hand, never by CI."""
