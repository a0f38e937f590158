# SPDX-License-Identifier: MIT
"""Placement: slot leases, shares, limits, health."""
