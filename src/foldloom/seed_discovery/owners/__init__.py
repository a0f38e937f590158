# SPDX-License-Identifier: MIT
"""Owners of endpoints: leases, starts, stops and ends of runs."""
