# SPDX-License-Identifier: MIT
"""Placement: slot leases, fair shares, concurrency limits, endpoint health."""
