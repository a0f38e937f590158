# SPDX-License-Identifier: MIT
"""Owners of workers: leases, starts, stops and ends of runs."""
